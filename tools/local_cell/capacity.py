"""Measures CPU time, memory and messages of real processes, idle and under
load: capacity.py BUILD_DIR. Prints the tables that docs/CAPACITY.md uses."""

import os
import re
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from api import call, operate
from cell import (Layout, agent_address, dispatcher, entry_address, local_cell,
                  store_address)

AGENT_COUNTS = (3, 10, 30)
IDLE_S = 10.0
CALLERS = 16
JOBS_PER_CALLER = 60
TASKS_PER_JOB = 8
TASK_MS = 20
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(process):
    """CPU time used by a process so far."""
    with open(f"/proc/{process.child.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mb(process):
    with open(f"/proc/{process.child.pid}/status", encoding="utf-8") as file:
        return int(re.search(r"VmRSS:\s+(\d+) kB", file.read())[1]) / 1024


def metric(address, name):
    body = str(call(address, "GET", "/metrics").body)
    found = re.search(rf"(?m)^{name} (\S+)$", body)
    return float(found[1]) if found else 0.0


def store_calls():
    counts = call(store_address(), "GET", "/counts").body
    return sum(n for n in counts.values() if isinstance(n, int))


def mean(values):
    return sum(values) / len(values)


class Sample:
    """Snapshot of the counters of all processes."""

    def __init__(self, cell, leader):
        entry = entry_address(leader)
        self.time = time.monotonic()
        self.entry_cpu = cpu_s(cell.entries[leader])
        self.agent_cpu = mean([cpu_s(agent) for agent in cell.agents])
        self.sent = (metric(entry, "dottereltrack_entry_messages_to_agents_total")
                     + metric(entry, "dottereltrack_entry_messages_to_peers_total"))
        self.starts = metric(entry, "dottereltrack_entry_starts_sent_total")
        self.store = store_calls()


def job(caller, n):
    return {"team": "north", "deadline_ms": 60000,
            "key": f"capacity-{os.getpid()}-{caller}-{n}-{time.time_ns()}",
            "tasks": [{"payload": f"{TASK_MS} x", "declared_ms": TASK_MS}]
                     * TASKS_PER_JOB}


def run_caller(leader, caller):
    """Submits jobs sequentially. Returns their response times in seconds."""
    times = []
    for n in range(JOBS_PER_CALLER):
        begin = time.monotonic()
        response = call(entry_address(leader), "POST", "/v1/jobs",
                        job(caller, n))
        assert response.status == 200 and response.body["complete"], response
        times.append(time.monotonic() - begin)
    return times


def print_row(agents, kind, before, after, cell, leader):
    seconds = after.time - before.time
    tasks = max(1.0, after.starts - before.starts)
    print(f"| {agents} | {kind} | {(after.starts - before.starts) / seconds:.0f}"
          f" | {100 * (after.entry_cpu - before.entry_cpu) / seconds:.2f}"
          f" | {100 * (after.agent_cpu - before.agent_cpu) / seconds:.3f}"
          f" | {1e6 * (after.entry_cpu - before.entry_cpu) / tasks:.0f}"
          f" | {1e6 * (after.agent_cpu - before.agent_cpu) * agents / tasks:.0f}"
          f" | {rss_mb(cell.entries[leader]):.1f}"
          f" | {mean([rss_mb(agent) for agent in cell.agents]):.1f}"
          f" | {(after.sent - before.sent) / seconds:.2f}"
          f" | {(after.store - before.store) / seconds:.2f} |")


def measure(build_dir, agents):
    layout = Layout(build_dir, agents=agents,
                    racks=tuple(f"r{n}" for n in range(10)))
    with local_cell(layout) as cell:
        leader = dispatcher(cell)
        before = Sample(cell, leader)
        time.sleep(IDLE_S)
        idle = Sample(cell, leader)
        print_row(agents, "idle", before, idle, cell, leader)
        with ThreadPoolExecutor(CALLERS) as pool:
            list(pool.map(lambda n: run_caller(leader, n), range(CALLERS)))
        print_row(agents, "load", idle, Sample(cell, leader), cell, leader)


def main(build_dir):
    print("| agents | kind | starts/s | entry % core | agent % core "
          "| entry us/task | agent us/task | entry MB | agent MB "
          "| entry messages/s | store calls/s |")
    print("|" + " --- |" * 11)
    for agents in AGENT_COUNTS:
        measure(build_dir, agents)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
