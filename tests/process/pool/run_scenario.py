"""Runs one scenario: run_scenario.py BUILD NAME."""

import asyncio
import sys
import time

from cell import Cell, Ingress, LoadGenerator
from scenarios import INGRESS_SCENARIOS, OVERLOADED_ENTRIES, SCENARIOS

# Number of the first scenario's cell. The soak uses the numbers below, so that both can
# run at the same time.
FIRST_CELL = 120

# The fault is injected under load. Jobs submitted in the last half second before it may
# be affected.
FAULT_AT_S = 1.5
UNAFFECTED_UNTIL_S = 1.0
RECOVERY_S = 2.0
LOAD_AFTER_RECOVERY_S = 1.5
MAX_LOAD_S = 20.0


async def inject_fault(cell, fault, begin, load_generator):
    """Injects the fault under load and stops the load some time afterwards. Returns the
    time at which the fault ended, in seconds since the start of the load."""
    await asyncio.sleep(FAULT_AT_S)
    await fault(cell)
    end = time.monotonic() - begin
    await asyncio.sleep(RECOVERY_S + LOAD_AFTER_RECOVERY_S)
    load_generator.stop()
    return end


def find_problems(load_generator, run_checker, fault_end, min_share):
    recovered_at = fault_end + RECOVERY_S
    periods = {
        "before": (load_generator.count_completed(0, UNAFFECTED_UNTIL_S), 1.0),
        "during": (
            load_generator.count_completed(UNAFFECTED_UNTIL_S, recovered_at), min_share
        ),
        "after": (load_generator.count_completed(recovered_at), 1.0),
    }
    problems = list(run_checker.violations)
    for period, ((completed, total), min_period_share) in periods.items():
        print(f"{period} the fault {completed} of {total} jobs completed")
        if total == 0 or completed < min_period_share * total:
            problems.append(
                f"{period} the fault: the required share is {min_period_share}"
            )
    print(f"{run_checker.starts} runs started")
    return problems


async def run(cell, name):
    fault, min_share = SCENARIOS[name]
    ingress = Ingress(cell) if name in INGRESS_SCENARIOS else None
    ingress_tasks = []
    try:
        await cell.start()
        if not await cell.wait_ready():
            return ["the entries are not ready after 10 s"]
        if ingress is not None:
            ingress_tasks.append(asyncio.create_task(ingress.run()))
        load_generator = LoadGenerator(cell, seed=1, ingress=ingress)
        begin = time.monotonic()
        end, _ = await asyncio.gather(
            inject_fault(cell, fault, begin, load_generator), load_generator.run(
                MAX_LOAD_S
            )
        )
        problems = await cell.find_metrics_problems() + cell.find_undocumented_events()
        return problems + find_problems(
            load_generator, cell.run_checker, end, min_share
        )
    finally:
        for task in ingress_tasks:
            task.cancel()
        await cell.stop()


def main():
    name = sys.argv[2]
    cell = Cell(
        sys.argv[1], FIRST_CELL + list(SCENARIOS).index(name),
        overloaded_entries=OVERLOADED_ENTRIES.get(name, ())
    )
    problems = asyncio.run(run(cell, name))
    if not problems:
        return 0
    print("\n".join(problems))
    print(cell.log_tails())
    return 1


sys.exit(main())
