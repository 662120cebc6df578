"""Runs a cell with a crowd of clients that submit jobs: run_untrusted_jobs.py BUILD_DIR CASE

Guards against an entry or an agent that ends, or uses more memory or descriptors
than its settings allow, because of jobs that the entry has accepted, and against
a crowd that leaves an ordinary caller without an answer. Checks no times and no
share of served requests. Without arguments, prints the cases."""

import json
import os
import sys
import time

import processes
from api import call
from cell import HTTP_PORT, Layout, entry_address, local_cell

sys.path.append(os.path.join(os.path.dirname(__file__), "pool"))
import crowd  # pylint: disable=wrong-import-position

MEMORY_MB = 100
MAX_DESCRIPTORS = 1_500
LIMITS = (("memory_mb", MEMORY_MB), ("max_descriptors", MAX_DESCRIPTORS))
SEND_S = 20.0
# Lets the process read what the kernel still holds before the next clients send.
BATCH_INTERVAL_S = 0.1
# Lets the process read what the kernel still holds before its memory is compared.
SETTLE_S = 3.0
ATTEMPTS = 5
ATTEMPT_TIMEOUT_S = 5.0
# Shorter than the timeout, so that an answer at the deadline arrives in time.
DEADLINE_MS = 2_000
# Run time of a task, in the words of the stand-in of a minion.
TASK_MS = 2_000
LARGE_PAYLOAD_BYTES = 1_000_000
TASKS_OF_LARGE_JOB = 1_100


def job(payload, tasks, deadline_ms):
    return {"team": "crowd", "deadline_ms": deadline_ms,
            "tasks": [{"payload": payload}] * tasks}


def submission(body):
    text = json.dumps(body).encode()
    header = (f"POST /v1/jobs HTTP/1.1\r\nHost: h\r\n"
              f"Content-Length: {len(text)}\r\n\r\n")
    return header.encode() + text


def large_payload():
    payload = f"{TASK_MS} " + "x" * LARGE_PAYLOAD_BYTES
    return submission(job(payload, 1, 600_000))


def large_result():
    """The stand-in of a minion answers with the payload."""
    return submission(job("10 " + "x" * LARGE_PAYLOAD_BYTES, 1, 600_000))


def many_tasks():
    return submission(job(f"{TASK_MS} x", TASKS_OF_LARGE_JOB, 600_000))


# Rows: what a client sends, the number of clients, and how many send at the same
# time. A body that many send at once is refused while it is received.
CASES = {
    "entry-waiting-payloads": (large_payload, 120, 4),
    "entry-waiting-tasks": (many_tasks, 400, 50),
    "entry-kept-answers": (large_result, 200, 4),
}


def is_answered():
    for _ in range(ATTEMPTS):
        response = call(entry_address(0), "POST", "/v1/jobs",
                        job("10 x", 1, DEADLINE_MS), ATTEMPT_TIMEOUT_S)
        if response.status > 0:
            return True
    return False


def attack(cell, payload, count, batch):
    address = entry_address(0)
    batches = [crowd.Crowd([((address.host, HTTP_PORT), payload(), batch)])
               for _ in range(0, count, batch)]
    problems = []
    entry = cell.entries[0]
    try:
        with crowd.DescriptorCount(entry.child.pid) as descriptors:
            for it in batches:
                it.send(SEND_S)
                time.sleep(BATCH_INTERVAL_S)
            time.sleep(SETTLE_S)
            if not is_answered():
                problems.append(
                    "a job is not answered while the crowd is connected")
    finally:
        for it in batches:
            it.close()
    if not is_answered():
        problems.append("a job is not answered after the crowd has left")
    for process in cell.entries + cell.agents:
        problems += crowd.find_problems(
            process.child.pid, lambda it=process: processes.is_running(it),
            descriptors.highest if process is entry else 0,
            MEMORY_MB, MAX_DESCRIPTORS)
    return problems


def main(build_dir, name):
    layout = Layout(build_dir, entries=1, agents=1, entry_settings=LIMITS,
                    agent_settings=LIMITS)
    with local_cell(layout) as cell:
        problems = attack(cell, *CASES[name])
        assert not problems, problems


if __name__ == "__main__":
    if len(sys.argv) == 1:
        print("\n".join(CASES))
    else:
        main(*sys.argv[1:])
