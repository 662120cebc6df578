"""Runs a cell with a crowd of untrusted clients: run_untrusted.py BUILD_DIR CASE

Guards against an entry or an agent that ends, hangs, or uses more memory or
descriptors than its settings allow, because many clients leave their requests
or frames unfinished. Checks no times and no share of served requests. Without
arguments, prints the cases."""

import os
import sys
import time

import processes
from api import call
from cell import (HTTP_PORT, LINK_PORT, Layout, agent_address, entry_address,
                  local_cell)

sys.path.append(os.path.join(os.path.dirname(__file__), "pool"))
import crowd  # pylint: disable=wrong-import-position

MEMORY_MB = 100
MAX_DESCRIPTORS = 1_500
LIMITS = (("memory_mb", MEMORY_MB), ("max_descriptors", MAX_DESCRIPTORS))
SEND_S = 20.0
# Lets the process read what the kernel still holds before its memory is compared.
SETTLE_S = 3.0
ATTEMPTS = 5
ATTEMPT_TIMEOUT_S = 5.0

BODIES = ((crowd.large_chunks, 400), (crowd.small_chunks, 200),
          (crowd.chunk_extensions, 100))

# Rows: the process, and payloads with their number of connections for each
# port.
CASES = {
    "entry-clients": ("entry", {HTTP_PORT: BODIES}),
    "entry-links": ("entry", {LINK_PORT: ((crowd.frame, 600),)}),
    "entry-headers": ("entry", {LINK_PORT: ((crowd.short_frame, 800),),
                                HTTP_PORT: ((crowd.header, 800),)}),
    "agent-announcements": ("agent", {HTTP_PORT: BODIES}),
    "agent-headers": ("agent", {HTTP_PORT: ((crowd.header, 1_700),)}),
}


def is_answered(address):
    for _ in range(ATTEMPTS):
        response = call(address, "GET", "/healthz",
                        timeout_s=ATTEMPT_TIMEOUT_S)
        if response.status == 200:
            return True
    return False


def attack(process, address, ports):
    clients = crowd.Crowd(
        [((address.host, port), payload(), count)
         for port, payloads in ports.items() for payload, count in payloads])
    pid = process.child.pid
    try:
        with crowd.DescriptorCount(pid) as descriptors:
            clients.send(SEND_S)
            time.sleep(SETTLE_S)
            answered = is_answered(address)
        problems = crowd.find_problems(
            pid, lambda: processes.is_running(process), descriptors.highest,
            MEMORY_MB, MAX_DESCRIPTORS)
    finally:
        clients.close()
    if not answered:
        problems.append("a request is not answered while the crowd is connected")
    return problems


def main(build_dir, name):
    kind, ports = CASES[name]
    layout = Layout(build_dir, entries=1, agents=1, entry_settings=LIMITS,
                    agent_settings=LIMITS)
    with local_cell(layout) as cell:
        if kind == "entry":
            problems = attack(cell.entries[0], entry_address(0), ports)
        else:
            problems = attack(cell.agents[0], agent_address(0), ports)
        assert not problems, problems


if __name__ == "__main__":
    if len(sys.argv) == 1:
        print("\n".join(CASES))
    else:
        main(*sys.argv[1:])
