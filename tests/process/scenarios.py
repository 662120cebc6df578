"""The table of end-to-end tests. Each runs jobs of 1 to 20 tasks over two
entries, brings about a failure while they run, and checks the promises."""

import dataclasses
from typing import Callable

import faults


@dataclasses.dataclass(frozen=True)
class Scenario:
    name: str
    # The failure of the system that the test guards against.
    guards_against: str
    fault: Callable
    # Whether every job must be complete. Only the loss of an agent may fail
    # jobs, and only those with a task on it.
    all_complete: bool = True
    # Whether a call may lose its connection without a response.
    may_abort: bool = False
    jobs: int = 200
    # Most jobs that may fail where not all must be complete.
    max_failed: int = 0


SCENARIOS = (
    Scenario("no failure",
             "answers that reach another caller or are partial, and double "
             "starts in plain operation",
             faults.nothing),
    Scenario("dispatcher killed",
             "a resubmission of the same key that starts tasks again after a "
             "takeover, and results that are lost with the dispatcher",
             faults.kill_dispatcher, may_abort=True),
    # At most 8 slots are in use on the agent, each by another job.
    Scenario("agent killed",
             "tasks of a dead agent that are started again, and jobs that "
             "wait for it for ever",
             faults.kill_agent, all_complete=False, max_failed=8),
    # Jobs of both: 16 callers have at most 16 jobs open.
    Scenario("dispatcher and agent killed",
             "a successor that runs tasks which the dead agent may have "
             "started",
             faults.kill_dispatcher_and_agent, all_complete=False,
             may_abort=True, max_failed=16),
    Scenario("dispatcher frozen",
             "two dispatchers at once: the frozen one goes on after its "
             "successor has started the same tasks",
             faults.freeze_dispatcher),
    Scenario("store down",
             "jobs that need the store, and a configuration change that is "
             "reported as accepted or lost without a word",
             faults.store_down),
    Scenario("dispatcher stopped",
             "a planned stop that aborts a call or loses a job",
             faults.stop_dispatcher),
)

if __name__ == "__main__":
    print("\n".join(row.name for row in SCENARIOS))
