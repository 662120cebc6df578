"""Runs one row of the table: run_scenario.py BUILD_DIR NAME"""

import sys
import threading

import checks
import faults
import processes
from api import call
from cell import Layout, entry_address, local_cell
from jobs import make_jobs, run_jobs
from scenarios import SCENARIOS

# The failure comes when this part of the jobs has finished.
FAULT_AT = 0.25
MAX_TASKS = 20
MAX_TASK_MS = 150
# Jobs after the failure, all of which must complete.
JOBS_AFTER = 20
SEED = 1


class FaultThread(threading.Thread):
    """Brings about the failure beside the jobs and keeps its error."""

    def __init__(self, scenario, cell):
        super().__init__()
        self.scenario = scenario
        self.cell = cell
        self.error = None

    def run(self):
        try:
            self.scenario.fault(self.cell)
        except BaseException as error:  # Raised again by the main thread.
            self.error = error


def balanced_entries(cell):
    """Entries that the platform's balancer would choose now. An entry that
    stops fails its health check; a killed one is only found out by a caller."""
    chosen = [n for n in range(len(cell.entries))
              if call(entry_address(n), "GET", "/healthz",
                      timeout_s=1.0).status not in (503,)]
    return [entry_address(n) for n in chosen or range(len(cell.entries))]


def run_with_fault(scenario, cell):
    fault = FaultThread(scenario, cell)
    begin = threading.Event()

    def on_progress(n):
        if n >= FAULT_AT * scenario.jobs and not begin.is_set():
            begin.set()
            fault.start()

    jobs = make_jobs(scenario.jobs, MAX_TASKS, MAX_TASK_MS, SEED)
    runs = run_jobs(jobs, lambda: balanced_entries(cell),
                    on_progress=on_progress)
    fault.join()
    if fault.error:
        raise fault.error
    return runs


def run_scenario(scenario, cell):
    runs = run_with_fault(scenario, cell)
    after = run_jobs(make_jobs(JOBS_AFTER, MAX_TASKS, MAX_TASK_MS, SEED + 1),
                     lambda: balanced_entries(cell))
    starts = checks.count_starts(cell)
    print(checks.summary(runs, starts))
    checks.check_promises(runs + after, starts)
    checks.check_all_complete(after)
    if scenario.all_complete:
        checks.check_all_complete(runs)
    failed = sum(not run.answer["complete"] for run in runs)
    assert failed <= scenario.max_failed, f"{failed} jobs have failed"
    aborted = sum(run.aborted for run in runs)
    assert scenario.may_abort or aborted == 0, f"{aborted} aborted calls"
    check_stopped(scenario, cell)


def check_stopped(scenario, cell):
    """A process that was asked to stop has ended by itself, without error."""
    if scenario.fault is not faults.stop_dispatcher:
        return
    codes = [processes.wait(entry, 10.0) for entry in cell.entries
             if not processes.is_running(entry)]
    assert codes == [0], f"exit codes of stopped entries: {codes}"


def main(build_dir, name):
    scenario = next(row for row in SCENARIOS if row.name == name)
    print(f"guards against {scenario.guards_against}")
    with local_cell(Layout(build_dir)) as cell:
        run_scenario(scenario, cell)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2]))
