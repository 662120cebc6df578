"""Runs one scenario: run_scenario.py BUILD NAME."""

import asyncio
import sys
import time

from cell import Callers, Cell
from scenarios import SCENARIOS

# The fault is injected under load. Jobs submitted in the last half second before it may
# be affected.
FAULT_AT_S = 1.5
UNAFFECTED_S = 1.0
SETTLE_S = 2.0
CALM_S = 1.5
LONGEST_FAULT_S = 20.0


async def strike(cell, fault, begin, callers):
    """Injects the fault under load and stops the load some time afterwards. Returns the
    time at which the fault ended, in seconds since the start of the load."""
    await asyncio.sleep(FAULT_AT_S)
    await fault(cell)
    end = time.monotonic() - begin
    await asyncio.sleep(SETTLE_S + CALM_S)
    callers.stop()
    return end


def judge(callers, ledger, fault_end, bound):
    calm_at = fault_end + SETTLE_S
    parts = {
        "before": (callers.completed(0, UNAFFECTED_S), 1.0),
        "during": (callers.completed(UNAFFECTED_S, calm_at), bound),
        "after": (callers.completed(calm_at), 1.0),
    }
    problems = list(ledger.faults)
    for part, ((served, asked), share) in parts.items():
        print(f"{part} the fault {served} of {asked} jobs completed")
        if asked == 0 or served < share * asked:
            problems.append(f"{part} the fault: the required share is {share}")
    print(f"{ledger.starts} runs started")
    return problems


async def run(cell, name):
    fault, bound = SCENARIOS[name]
    try:
        await cell.start()
        if not await cell.wait_ready():
            return ["the entries are not ready after 10 s"]
        callers = Callers(cell, seed=1)
        begin = time.monotonic()
        end, _ = await asyncio.gather(
            strike(cell, fault, begin, callers), callers.run(LONGEST_FAULT_S)
        )
        problems = await cell.check_metrics() + cell.check_events()
        return problems + judge(callers, cell.ledger, end, bound)
    finally:
        await cell.stop()


def main():
    name = sys.argv[2]
    cell = Cell(sys.argv[1], list(SCENARIOS).index(name))
    problems = asyncio.run(run(cell, name))
    if not problems:
        return 0
    print("\n".join(problems))
    print(cell.logs())
    return 1


sys.exit(main())
