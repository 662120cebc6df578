"""Two agents with their endpoints and one entry: run_agent.py BUILD_DIR

Guards against a daemon that does not announce its minion, loses a result,
starts a task twice, or does not end on SIGTERM."""

import sys

import processes
from api import call
from cell import (Layout, agent_address, entry_address, local_cell,
                  ready_agents)
from checks import count_starts
from jobs import JobSpec, submission_id, submit

PAYLOADS = tuple(f"{40 + n} task-{n}" for n in range(20))
AGENTS = 2
# Bound of the design page for a leave to reach all entries.
LEAVE_S = 2.0

# An announcement and the start of the message that refuses it.
WRONG_ANNOUNCEMENTS = (
    ({}, "'name'"),
    ({"name": "x", "instance": 5}, "'instance'"),
    ([], "the body"),
)


def check_job(cell):
    spec = JobSpec("first", "north", PAYLOADS, True, 0)
    run = submit(spec, lambda: [entry_address(0)])
    assert run.answer is not None, run
    tasks = run.answer["tasks"]
    assert [task["state"] for task in tasks] == ["done"] * len(PAYLOADS), tasks
    results = [task["result"] for task in tasks]
    assert results == ["result of " + it for it in PAYLOADS], results
    submission = submission_id("north", run.key)
    assert count_starts(cell) == {
        f"{submission}/{n}": 1 for n in range(len(PAYLOADS))}


def check_views():
    states = [call(agent_address(n), "GET", "/debug/state").body
              for n in range(AGENTS)]
    for n, state in enumerate(states):
        assert state["minion"]["name"] == f"minion-{n}", state
        assert state["running"] == 0, state
        metrics = call(agent_address(n), "GET", "/metrics").body
        started = state["ledger"]["size"]
        assert f"dottereltrack_agent_starts_total {started}\n" in metrics
    ledgers = [state["ledger"]["size"] for state in states]
    assert sum(ledgers) == len(PAYLOADS), ledgers
    assert call(agent_address(0), "GET", "/healthz").status == 200
    assert call(agent_address(0), "GET", "/nothing").status == 404
    assert call(agent_address(0), "GET", "/v1/announce").status == 405


def check_wrong_announcements():
    for body, text in WRONG_ANNOUNCEMENTS:
        response = call(agent_address(0), "POST", "/v1/announce", body)
        assert response.status == 400, response
        assert text in response.body["error"]["message"], response


def is_draining(minion):
    return any(agent["minion"] == minion and agent["draining"]
               for agent in ready_agents(0))


def check_leave(cell):
    """The dispatcher hears of the leave, and the agent ends on SIGTERM once the
    other agent has its records."""
    wrong = {"instance": "0000000000000001"}
    assert call(agent_address(0), "POST", "/v1/leave", wrong).status == 409
    assert call(agent_address(0), "POST", "/v1/leave").status == 200
    processes.wait_until(lambda: is_draining("minion-0"), LEAVE_S,
                         "the dispatcher to know of the leave")
    code = processes.stop(cell.agents[0])
    assert code == 0, f"the agent ended with {code}"
    state = call(agent_address(1), "GET", "/debug/state").body
    assert state["ledger"]["size"] == len(PAYLOADS), state


def main(build_dir):
    with local_cell(Layout(build_dir, entries=1, agents=AGENTS)) as cell:
        check_job(cell)
        check_views()
        check_wrong_announcements()
        check_leave(cell)


if __name__ == "__main__":
    main(sys.argv[1])
