"""Runs a pool with a crowd of clients that submit jobs: run_untrusted_jobs.py BUILD CASE.

Guards against an entry or an agent that ends, or uses more memory or descriptors than its
machine has, because of jobs that it has accepted, and against a crowd that leaves an
ordinary caller without an answer. Checks no times and no share of served requests. Without
arguments, prints the cases."""

import asyncio
import dataclasses
import sys
from typing import Callable

import crowd
import job_crowd
from cell import CLIENT_PORT, Cell
from web import read_message

# Not used by the scenarios, the soak and run_untrusted.py.
CELL = 176
LIMITS = {"memory_mb": 100, "file_descriptors": 1_500}
SEND_S = 20.0
# Lets the process read what the kernel still holds before the next clients send.
BATCH_INTERVAL_S = 0.1
# Lets the process read what the kernel still holds before its memory is compared.
SETTLE_S = 3.0
ATTEMPTS = 5
ATTEMPT_TIMEOUT_S = 5.0
# Shorter than the timeout, so that an answer at the deadline arrives in time.
DEADLINE_MS = 4_000
FIRST_ORDINARY_JOB = 1 << 60


@dataclasses.dataclass(frozen=True)
class Case:
    # Returns what the client with this number sends.
    payload: Callable
    connections: int
    # Connections that send at the same time. A body that many send at once is refused
    # while it is received.
    batch: int = 800
    entries: int = 1
    # Numbers of the entries that forward jobs at any load.
    overloaded: tuple = ()


CASES = {
    "entry-waiting-jobs": Case(job_crowd.waiting_job, 800),
    "entry-pipelined-jobs": Case(job_crowd.pipelined_jobs, 800),
    "entry-repeated-job": Case(job_crowd.repeated_job, 800),
    "entry-callers-that-leave": Case(job_crowd.unread_jobs, 800),
    "entry-large-specs": Case(job_crowd.large_specs, 800, batch=20),
    "entry-large-labels": Case(job_crowd.large_label, 800, batch=20),
    "entry-ended-jobs": Case(job_crowd.ended_jobs, 800),
    "entry-tasks-without-needs": Case(job_crowd.tasks_without_needs, 60),
    "peer-waiting-jobs": Case(
        job_crowd.waiting_job, 800, entries=2, overloaded=(0,)
    ),
}


async def submit_ordinary_job(address, job_id):
    """Returns the status and the body of the response; status 0 if there was none."""
    writer = None
    try:
        async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(job_crowd.ordinary_job(job_id, DEADLINE_MS))
            message = await read_message(reader)
            return (0, b"") if message is None else (int(message[0][1]), message[2])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def find_answer(address, first_job, is_wanted):
    """Submits an ordinary job until a response is as wanted. Returns a description of the
    responses if none is."""
    statuses = []
    for n in range(ATTEMPTS):
        status, body = await submit_ordinary_job(address, first_job + n)
        if is_wanted(status, body):
            return None
        statuses.append(status)
        await asyncio.sleep(1.0)
    return f"statuses {statuses}"


def is_answer(status, _):
    return status != 0


def is_completion(status, body):
    return status == 200 and b"completed" in body


async def run(cell, case):
    address = (cell.host_address(1, 0), CLIENT_PORT)
    batches = [
        crowd.Crowd(
            [
                (address, case.payload(n + 1), 1)
                for n in range(first, min(first + case.batch, case.connections))
            ]
        )
        for first in range(0, case.connections, case.batch)
    ]
    problems = []
    try:
        await cell.start()
        if not await cell.wait_ready():
            return ["an entry is not ready after 10 s"]
        with crowd.DescriptorCount(cell.entries[0].process.pid) as descriptors:
            for batch in batches:
                await asyncio.to_thread(batch.send, SEND_S)
                await asyncio.sleep(BATCH_INTERVAL_S)
            await asyncio.sleep(SETTLE_S)
            failure = await find_answer(address, FIRST_ORDINARY_JOB, is_answer)
            if failure:
                problems.append(f"no answer while the crowd is connected: {failure}")
        for batch in batches:
            batch.close()
        failure = await find_answer(
            address, FIRST_ORDINARY_JOB + ATTEMPTS, is_completion
        )
        if failure:
            problems.append(f"no job completes after the crowd has left: {failure}")
        for daemon in cell.entries + cell.agents:
            print(daemon.name, end=": ")
            problems += [
                f"{daemon.name}: {it}"
                for it in crowd.find_problems(
                    daemon.process.pid, lambda it=daemon: it.process.poll() is None,
                    descriptors.highest if daemon is cell.entries[0] else 0,
                    LIMITS["memory_mb"], LIMITS["file_descriptors"]
                )
            ]
        return (
            problems + cell.run_checker.violations + cell.find_undocumented_events()
        )
    finally:
        for batch in batches:
            batch.close()
        await cell.stop()


def main():
    if len(sys.argv) == 1:
        print("\n".join(CASES))
        return 0
    case = CASES[sys.argv[2]]
    cell = Cell(
        sys.argv[1], CELL, entries=case.entries, agents=1,
        overloaded_entries=case.overloaded, extra_settings={"limits": LIMITS}
    )
    problems = asyncio.run(run(cell, case))
    if not problems:
        return 0
    print("\n".join(problems))
    print(cell.log_tails())
    return 1


sys.exit(main())
