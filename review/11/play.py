"""The channel of a job is reset as its answer passes, and the client hands the job in again
at another entry. A copy of the request arrives at a third one, seconds after the answer was
sent."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from pool import BOUNDS, BROKEN, FRONT, HELD, NOT_RUN, Pool, run_case  # noqa: E402
from proxy import Proxy  # noqa: E402

JOB = "00000000000000e1"
TASKS = 2
TASK_S = 1.8
DEADLINE_MS = 15_000
RESEND_S = BOUNDS["resend_ms"] / 1000
COPY_AFTER_S = 2.0
# Shorter overlaps are not counted.
MIN_OVERLAP_MS = 20


def find_pairs(runs):
    """Returns pairs of runs of one task that were at work at the same time on different
    minions: task, minions, begin and end of the overlap."""
    by_task = {}
    for run in runs:
        by_task.setdefault(run["task"], []).append(run)
    pairs = []
    for task, its in by_task.items():
        for n, a in enumerate(its):
            for b in its[n + 1:]:
                begin, end = max(a["begin"], b["begin"]), min(a["end"], b["end"])
                if end - begin >= MIN_OVERLAP_MS and a["minion"] != b["minion"]:
                    pairs.append((task, a["minion"], b["minion"], begin, end))
    return pairs


async def play(record, has_trouble):
    pool = Pool(record)
    # The first entry's clients reach it through the proxy.
    proxy = Proxy(pool.host(4, 0), FRONT, pool.front(0), record)
    direct = pool.front
    pool.front = lambda n: proxy.address if n == 0 else direct(n)
    runs = []

    def on_start(minion, task, run):
        pool.on_start(minion, task, run)
        runs.append({"task": task, "run": run, "minion": minion.name,
                     "begin": record.now_ms(), "end": 1 << 40})

    def on_end(minion, task, run, how):
        pool.on_end(minion, task, run, how)
        for it in runs:
            if (it["task"], it["run"], it["minion"]) == (task, run, minion.name):
                it["end"] = record.now_ms()

    for minion in pool.minions:
        minion.on_start, minion.on_end = on_start, on_end

    async def submit(n):
        return await pool.submit(n, JOB, count=TASKS, duration_s=TASK_S,
                                 deadline_ms=DEADLINE_MS)

    async def hand_in_again():
        await asyncio.sleep(RESEND_S)
        return await submit(1)

    try:
        await proxy.start()
        if not await pool.start():
            return NOT_RUN
        proxy.resets_answers = has_trouble
        first = await submit(0)
        proxy.resets_answers = False
        if first[0] != (0 if has_trouble else 200):
            return NOT_RUN
        attempts = [asyncio.create_task(hand_in_again())] if has_trouble else []
        await asyncio.sleep(COPY_AFTER_S)
        await asyncio.gather(submit(2), *attempts)
        pairs = find_pairs(runs)
        for task, a, b, begin, end in pairs:
            record(f"TWICE: {task} is at work on {a} and on {b} from {begin} to {end} ms")
        return BROKEN if pairs else HELD
    finally:
        await pool.stop()
        await proxy.stop()


sys.exit(run_case(FOLDER, play))
