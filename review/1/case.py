"""A job with the highest id reaches its deadline while other users' jobs are open."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from cell import BOUNDS, READINESS_PORT, CannotRun, run_case  # noqa: E402
from net import call  # noqa: E402

HIGHEST_JOB = "ffffffffffffffff"
CAPACITY_CPU = 64_000
# No minion has room for a task of the job with the highest id.
HOPELESS_CPU, HOPELESS_TASKS, HOPELESS_MS, HOPELESS_DEADLINE_MS = 70_000, 8, 200, 1_500
# What the other users submit at each entry. It fits the minions.
USERS, WORK_MS, CPU, DEADLINE_MS = 24, 6_000, 6_200, 15_000
SUBMIT_AFTER_S = 0.5
OBSERVE_S = 12.0
CHECK_INTERVAL_S = 1.0
# A process that uses this share of a processor and answers nothing doesn't hand the
# processor back.
BUSY_SHARE = 0.9


def processor_seconds(process):
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")


def start_burst(cell):
    """Submits the jobs of many users at all entries at once."""
    numbers = range(USERS * len(cell.entries))
    return [
        asyncio.create_task(cell.submit(
            n % len(cell.entries), f"{0x5c0e7a21d94b3600 + n:016x}", WORK_MS, CPU,
            DEADLINE_MS
        ))
        for n in numbers
    ]


async def submit_as_client(cell):
    """Submits the job with the highest id. Without an answer, the client sends it again
    to the next entry. Returns the last status."""
    status = 0
    for n in range(len(cell.entries)):
        status, _ = await cell.submit(
            n, HIGHEST_JOB, HOPELESS_MS, HOPELESS_CPU, HOPELESS_DEADLINE_MS,
            HOPELESS_TASKS, patience_ms=HOPELESS_DEADLINE_MS + 500
        )
        if status not in (0, 502, 504):
            break
        await asyncio.sleep(BOUNDS["resend_ms"] / 1000)
    return status


async def observe(cell, entry):
    """Returns the share of a processor that the entry uses and the number of readiness
    checks that it answers."""
    used_before, begin = processor_seconds(entry), cell.recorder.now_s()
    answered = 0
    while cell.recorder.now_s() - begin < OBSERVE_S:
        address = (entry.host, READINESS_PORT)
        status, _ = await call(address, "GET", "/-/ready", timeout_s=1.0)
        answered += status != 0
        await asyncio.sleep(CHECK_INTERVAL_S)
    seconds = cell.recorder.now_s() - begin
    return (processor_seconds(entry) - used_before) / seconds, answered


async def play(cell, has_trouble):
    burst = start_burst(cell) if has_trouble else []
    await asyncio.sleep(SUBMIT_AFTER_S)
    if has_trouble and len(cell.recorder.runs) < len(burst):
        raise CannotRun("the other users' tasks have not begun")
    status = await submit_as_client(cell)
    if not has_trouble and status != 429:
        raise CannotRun("the job that can't be done was not answered with 429")
    observations = await asyncio.gather(*(observe(cell, it) for it in cell.entries))
    answers = await asyncio.gather(*burst)
    cell.recorder.write(
        f"{[status for status, _ in answers].count(200)} of {len(burst)} jobs of the "
        "other users were answered with 200"
    )
    problems = []
    for entry, (share, answered) in zip(cell.entries, observations):
        cell.recorder.write(
            f"{entry.name}: {share:.2f} of a processor, {answered} readiness checks "
            f"answered in {OBSERVE_S:.0f} s"
        )
        if share >= BUSY_SHARE and answered == 0:
            problems.append(
                f"{entry.name} doesn't hand the processor back: it used {share:.2f} of "
                f"a processor for {OBSERVE_S:.0f} s and answered nothing"
            )
    return problems


run_case(pathlib.Path(__file__).parent, play, entries=2, agents=7,
         capacity_cpu=CAPACITY_CPU)
