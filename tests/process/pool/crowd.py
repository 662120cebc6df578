"""A crowd of clients that send unfinished requests and frames, and stay open."""

import os
import resource
import selectors
import socket
import threading
import time

LARGE_BODY_BYTES = 250_000
LARGE_CHUNK_BYTES = 50_000
SMALL_CHUNKS = 60_000
EXTENSION_BYTES = 2_000
EXTENDED_CHUNKS = 120
# Announced and sent bytes of a frame; the link protocol allows 8 MiB.
FRAME_BYTES = 7 << 20
SENT_FRAME_BYTES = 400_000

SEND_BYTES = 64 << 10
SELECT_TIMEOUT_S = 0.2
SAMPLE_INTERVAL_S = 0.05
# Open sockets of the largest crowd and of the test itself.
DESCRIPTORS = 4_096

CHUNKED_HEADER = (
    b"POST /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def large_chunks():
    """A body that lacks its last ten bytes."""
    chunk = b"%x\r\n" % LARGE_CHUNK_BYTES + b"x" * LARGE_CHUNK_BYTES + b"\r\n"
    body = chunk * (LARGE_BODY_BYTES // LARGE_CHUNK_BYTES)
    return CHUNKED_HEADER + body[:-10]


def small_chunks():
    """A body in chunks of one byte that lacks its last chunk."""
    return CHUNKED_HEADER + b"1\r\nx\r\n" * SMALL_CHUNKS


def chunk_extensions():
    chunk = b"1;" + b"e" * EXTENSION_BYTES + b"\r\nx\r\n"
    return CHUNKED_HEADER + chunk * EXTENDED_CHUNKS


def header():
    """A header without its last line."""
    return b"POST /q/1 HTTP/1.1\r\nHost: h\r\nX-Long: " + b"x" * 3_000


def frame():
    return FRAME_BYTES.to_bytes(4, "little") + b"\0" * SENT_FRAME_BYTES


def short_frame():
    return FRAME_BYTES.to_bytes(4, "little") + b"\0" * 100


class Crowd:
    """Opens `count` connections to an address for each (address, payload, count)."""

    def __init__(self, groups):
        self.groups = groups
        self.sockets = []

    def send(self, seconds):
        """Connects and sends until all is sent or refused, or the time has passed. The
        sockets stay open until close()."""
        raise_descriptor_limit()
        selector = selectors.DefaultSelector()
        for address, payload, count in self.groups:
            for _ in range(count):
                it = socket.socket()
                it.setblocking(False)
                it.connect_ex(address)
                self.sockets.append(it)
                selector.register(it, selectors.EVENT_WRITE, memoryview(payload))
        end = time.monotonic() + seconds
        while selector.get_map() and time.monotonic() < end:
            for key, _ in selector.select(SELECT_TIMEOUT_S):
                self.send_part(selector, key)
        selector.close()

    def send_part(self, selector, key):
        try:
            sent = key.fileobj.send(key.data[:SEND_BYTES])
        except BlockingIOError:
            return
        except OSError:
            selector.unregister(key.fileobj)
            return
        if sent == len(key.data):
            selector.unregister(key.fileobj)
        else:
            selector.modify(key.fileobj, selectors.EVENT_WRITE, key.data[sent:])

    def close(self):
        for it in self.sockets:
            it.close()
        self.sockets = []


def raise_descriptor_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(DESCRIPTORS, hard)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def peak_memory_mb(pid):
    """The largest resident size of the process so far."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


class DescriptorCount:
    """Samples the number of open descriptors of a process on a thread."""

    def __init__(self, pid):
        self.pid = pid
        self.highest = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.thread.join()

    def run(self):
        while not self.stopping.wait(SAMPLE_INTERVAL_S):
            try:
                count = len(os.listdir(f"/proc/{self.pid}/fd"))
            except OSError:
                return
            self.highest = max(self.highest, count)


def find_problems(pid, is_running, descriptors, max_memory_mb, max_descriptors):
    """Compares a process with its bounds. Prints what was seen."""
    if not is_running():
        return ["the process has ended"]
    memory_mb = peak_memory_mb(pid)
    print(f"peak memory {memory_mb:.0f} MB, at most {descriptors} descriptors")
    problems = []
    if memory_mb > max_memory_mb:
        problems.append(f"memory {memory_mb:.0f} MB exceeds {max_memory_mb} MB")
    if descriptors > max_descriptors:
        problems.append(f"{descriptors} descriptors exceed {max_descriptors}")
    return problems
