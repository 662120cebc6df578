"""A machine beside a minion loses its process right after it gave the first order in a
while, and the minion's clock is 2% slow."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from cell import CannotRun, run_case  # noqa: E402

JOB = "5c0e7a21d94b36f8"
WORK_MS, CPU, DEADLINE_MS = 2_500, 6_200, 10_000
IDLE_S = 50.0
OBSERVE_S = 5.0
RESTART_AFTER_S = 1.5
CLOCK_RATE = 0.98
KILL_AFTER_S = 0.005
# Shorter overlaps are not counted: an order may be on its way for that long.
TOLERANCE_S = 0.02


async def play(cell, has_trouble):
    cell.recorder.write(f"no jobs come for {IDLE_S:.0f} s")
    await asyncio.sleep(IDLE_S)
    started = asyncio.Event()
    for minion, agent in zip(cell.minions, cell.agents):
        def on_start(task, minion=minion, agent=agent):
            if started.is_set():
                return
            started.set()
            if has_trouble:
                asyncio.get_running_loop().call_later(KILL_AFTER_S, kill, agent)

        minion.on_start = on_start

    def kill(agent):
        agent.signal(signal.SIGKILL)
        asyncio.get_running_loop().call_later(RESTART_AFTER_S, agent.start)

    submission = asyncio.create_task(cell.submit(0, JOB, WORK_MS, CPU, DEADLINE_MS))
    await asyncio.sleep(OBSERVE_S)
    if not started.is_set():
        raise CannotRun("the job's task has not begun")
    await submission
    return [
        f"two runs of task {first.task} were at work at the same time for "
        f"{seconds * 1000:.0f} ms, on {first.minion} and on {second.minion}, both up"
        for first, second, seconds in cell.recorder.overlaps() if seconds > TOLERANCE_S
    ]


run_case(pathlib.Path(__file__).parent, play, entries=1, agents=11, capacity_cpu=64_000,
         clock_rate=CLOCK_RATE)
