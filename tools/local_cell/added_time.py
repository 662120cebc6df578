"""Measures the latency that the system adds to a task on an idle cell:
added_time.py BUILD_DIR. Compares jobs of one task with direct calls of the
endpoint."""

import http.client
import json
import statistics
import sys
import time

from cell import Layout, dispatcher, endpoint_address, entry_address, local_cell

CALLS = 200
PAYLOAD = "5 x"


def times_ms(address, path, body):
    """Measures response times over one persistent connection."""
    connection = http.client.HTTPConnection(address.host, address.port)
    times = []
    for n in range(CALLS):
        begin = time.monotonic()
        connection.request("POST", path, body(n))
        response = connection.getresponse()
        response.read()
        times.append(1000 * (time.monotonic() - begin))
        assert response.status == 200, response.status
    return times


def job(_n):
    return json.dumps({"team": "north", "tasks": [
        {"payload": PAYLOAD, "declared_ms": 5}]})


def main(build_dir):
    with local_cell(Layout(build_dir)) as cell:
        leader = dispatcher(cell)
        direct = times_ms(endpoint_address(0), "/run", lambda n: PAYLOAD)
        print("| path | p50 ms | p99 ms |\n| --- | --- | --- |")
        rows = (("endpoint alone", direct),
                ("through the dispatcher",
                 times_ms(entry_address(leader), "/v1/jobs", job)),
                ("through a member",
                 times_ms(entry_address(1 - leader), "/v1/jobs", job)))
        for name, values in rows:
            cuts = statistics.quantiles(values, n=100)
            print(f"| {name} | {cuts[49]:.2f} | {cuts[98]:.2f} |")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
