"""Invariants of jobs and task starts that must hold under every fault."""

from collections import Counter

from api import call
from cell import endpoint_address
from jobs import submission_id

FINAL_STATES = ("done", "failed", "not_run", "unknown")


def count_starts(cell):
    """Returns the starts of each task, summed over all endpoints, by
    "submission/task"."""
    starts = Counter()
    for n in range(len(cell.endpoints)):
        response = call(endpoint_address(n), "GET", "/counts")
        assert response.status == 200, f"endpoint {n} does not answer"
        starts.update(response.body["starts"])
    return starts


def task_name(run, key, n):
    return f"{submission_id(run.spec.team, key)}/{n}"


def violations_of_task(run, n, task, starts):
    """Yields the invariants that one task of an answer violates."""
    where = f"{run.spec.name} task {n} ({task_name(run, run.key, n)})"
    started = starts[task_name(run, run.key, n)]
    payload = run.spec.payloads[n]
    if task["state"] not in FINAL_STATES:
        yield f"{where}: state {task['state']} is not final"
    if task["state"] == "done" and task["result"] != "result of " + payload:
        yield f"{where}: got {task['result']!r} for {payload!r}"
    if task["state"] in ("done", "failed") and started != 1:
        yield f"{where}: {task['state']} after {started} starts"
    if task["state"] == "not_run" and started != 0:
        yield f"{where}: not_run after {started} starts"


def violations_of_run(run, starts):
    """Yields the invariants that one job violates, such as a partial answer,
    the answer of another job, or a not_run refusal although a task was
    started."""
    if run.answer is None:
        yield f"{run.spec.name}: no answer after {run.attempts} attempts"
        return
    tasks = run.answer["tasks"]
    if run.answer["id"] != submission_id(run.spec.team, run.key):
        yield f"{run.spec.name}: the answer has the id of another job"
    if len(tasks) != len(run.spec.payloads):
        yield (f"{run.spec.name}: {len(tasks)} of {len(run.spec.payloads)} "
               "tasks in the answer")
        return
    all_done = all(task["state"] == "done" for task in tasks)
    if run.answer["complete"] != all_done:
        yield f"{run.spec.name}: complete is {run.answer['complete']}"
    for n, task in enumerate(tasks):
        yield from violations_of_task(run, n, task, starts)
    for key in run.refused_keys:
        for n in range(len(tasks)):
            if starts[task_name(run, key, n)]:
                yield f"{run.spec.name}: refused with not_run, but task {n} ran"


def check_invariants(runs, starts):
    """Raises an AssertionError that lists the violated invariants (the first
    20) and their number."""
    faults = [f"{name} started {n} times"
              for name, n in starts.items() if n > 1]
    for run in runs:
        faults.extend(violations_of_run(run, starts))
    assert not faults, "\n".join(faults[:20] + [f"{len(faults)} faults"])


def check_all_complete(runs):
    """Checks that every job completed, for faults that must not fail any
    job."""
    failed = [f"{run.spec.name}: {run.answer['failure']}, " + ", ".join(
        f"{n} {state}" for state, n in sorted(Counter(
            task["state"] for task in run.answer["tasks"]).items()))
        for run in runs if not run.answer["complete"]]
    assert not failed, "jobs that failed:\n" + "\n".join(failed[:20])


def check_no_deadline_passed(runs):
    """Checks that no task waited until its deadline. Deadlines are far above
    any run time, so such a task waited for something that never happened."""
    late = [f"{run.spec.name} task {n}: {task}" for run in runs
            for n, task in enumerate(run.answer["tasks"])
            if "deadline" in task.get("reason", "")]
    assert not late, "tasks that waited for their deadline:\n" + (
        "\n".join(late[:20]))


def summary(runs, starts):
    states = Counter(task["state"] for run in runs if run.answer
                     for task in run.answer["tasks"])
    return (f"{len(runs)} jobs, {sum(starts.values())} starts, tasks "
            f"{dict(states)}, {sum(run.attempts for run in runs)} submissions, "
            f"{sum(len(run.refused_keys) for run in runs)} refused, "
            f"{sum(run.aborted for run in runs)} aborted")
