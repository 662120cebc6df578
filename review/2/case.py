"""A liveness report of another writer, with fields missing, arrives at an agent."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from cell import CannotRun, MINION_PORT, run_case  # noqa: E402
from net import call  # noqa: E402

JOB = "5c0e7a21d94b36f8"
WORK_MS, CPU, DEADLINE_MS = 2_500, 6_200, 10_000
REPORT_AFTER_S = 0.5
OBSERVE_S = 4.0
# Shorter overlaps are not counted: an order may be on its way for that long.
TOLERANCE_S = 0.02


def odd_report(cell):
    """A report that lacks `version`, `slots` and `cold_remaining_ms`. Nothing listens at
    its address."""
    return {
        "service": cell.service, "address": f"{cell.network}.29:{MINION_PORT}",
        "zone": "kgn-a", "state": "ready",
        "capacity": {"cpu": 64_000, "task_memory_mb": 262_144, "gpu": 0},
        "labels": ["a", "r1-1"], "clock_ms": 1, "sequence": 1,
        "born": int(time.time() * 1000),
    }


async def play(cell, has_trouble):
    submission = asyncio.create_task(cell.submit(0, JOB, WORK_MS, CPU, DEADLINE_MS))
    await asyncio.sleep(REPORT_AFTER_S)
    runs = cell.recorder.runs_of(JOB)
    if len(runs) != 1:
        raise CannotRun("the job's task has not begun")
    minion = next(it for it in cell.minions if it.id == runs[0].minion)
    if has_trouble:
        cell.recorder.write(
            f"another writer reports to the machine of minion {minion.id}, without "
            "version, slots and cold_remaining_ms"
        )
        path = "/-/instances/odd/heartbeat"
        status, _ = await call(
            minion.agent, "POST", path, odd_report(cell), source=minion.agent[0]
        )
        cell.recorder.write(f"answer to the odd report: {status}")
    await asyncio.sleep(OBSERVE_S)
    await submission
    return [
        f"two runs of task {first.task} were at work at the same time for "
        f"{seconds * 1000:.0f} ms, on {first.minion} and on {second.minion}, both up"
        for first, second, seconds in cell.recorder.overlaps() if seconds > TOLERANCE_S
    ]


run_case(pathlib.Path(__file__).parent, play, entries=1, agents=2, capacity_cpu=64_000)
