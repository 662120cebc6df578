"""Measures the processor time of an entry for each request over a kept connection:
measure_requests.py BUILD [REQUESTS]. Prints requests a second and microseconds of
processor time a request, for a readiness check and for a submission of 1 KiB that is
refused. Not a test."""

import os
import pathlib
import socket
import sys
import time

from cell import CLIENT_PORT, READINESS_PORT, Cell

CELL = 176
ROUNDS = 5
WARM_UP_REQUESTS = 2_000


def processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def exchange(connection, request, count):
    for _ in range(count):
        connection.sendall(request)
        answer = connection.recv(65_536)
        assert answer.startswith(b"HTTP/1.1"), answer


def measure(pid, address, request, count):
    with socket.create_connection(address) as connection:
        exchange(connection, request, WARM_UP_REQUESTS)
        rows = []
        for _ in range(ROUNDS):
            begin, processor = time.monotonic(), processor_seconds(pid)
            exchange(connection, request, count)
            seconds = time.monotonic() - begin
            used = processor_seconds(pid) - processor
            rows.append((used / count * 1e6, count / seconds))
        return sorted(rows)[ROUNDS // 2]


def main():
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 20_000
    cell = Cell(sys.argv[1], CELL, entries=1, agents=0)
    entry = cell.entries[0]
    entry.start()
    try:
        time.sleep(0.5)
        host = cell.host_address(1, 0)
        body = b'{"x":"' + b"x" * 1_016 + b'"}'
        submission = (
            b"POST /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        check = b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n"
        for name, port, request in (
            ("readiness", READINESS_PORT, check),
            ("submission", CLIENT_PORT, submission),
        ):
            used, rate = measure(entry.process.pid, (host, port), request, count)
            print(f"{name}: {rate:.0f} requests/s, {used:.1f} us a request")
    finally:
        entry.process.kill()
        entry.process.wait()


main()
