"""An agent with one entry and one endpoint: run_agent.py BUILD_DIR

Guards against a daemon that does not announce its minion, loses a result,
starts a task twice, or does not end on SIGTERM."""

import sys

import processes
from api import call
from cell import (Layout, agent_address, endpoint_address, entry_address,
                  local_cell, ready_agents)
from jobs import JobSpec, submission_id, submit

PAYLOADS = tuple(f"{40 + n} task-{n}" for n in range(20))
# The slot counts of the agent and of the dispatcher agree within this time.
SETTLE_S = 5.0

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
    counts = call(endpoint_address(0), "GET", "/counts").body
    submission = submission_id("north", run.key)
    assert counts["starts"] == {
        f"{submission}/{n}": 1 for n in range(len(PAYLOADS))}, counts
    assert counts["most_running"] <= cell.layout.slots, counts


def check_views():
    state = call(agent_address(0), "GET", "/debug/state").body
    assert state["minion"]["name"] == "minion-0", state
    assert state["ledger"]["size"] == len(PAYLOADS), state
    assert state["running"] == 0, state
    metrics = call(agent_address(0), "GET", "/metrics").body
    assert f"dottereltrack_agent_starts_total {len(PAYLOADS)}" in metrics
    assert call(agent_address(0), "GET", "/healthz").status == 200
    assert call(agent_address(0), "GET", "/nothing").status == 404
    assert call(agent_address(0), "GET", "/v1/announce").status == 405


def check_wrong_announcements():
    for body, text in WRONG_ANNOUNCEMENTS:
        response = call(agent_address(0), "POST", "/v1/announce", body)
        assert response.status == 400, response
        assert text in response.body["error"]["message"], response


def check_leave(cell):
    """The dispatcher sees the minion's leave; the agent ends on SIGTERM."""
    assert call(agent_address(0), "POST", "/v1/leave", {
        "instance": "0000000000000001"}).status == 409
    assert call(agent_address(0), "POST", "/v1/leave").status == 200
    processes.wait_until(lambda: ready_agents(0)[0]["draining"], SETTLE_S,
                         "the dispatcher to know of the leave")
    code = processes.stop(cell.agents[0])
    assert code == 0, f"the agent ended with {code}"


def main(build_dir):
    with local_cell(Layout(build_dir, entries=1, agents=1)) as cell:
        check_job(cell)
        check_views()
        check_wrong_announcements()
        check_leave(cell)


if __name__ == "__main__":
    main(sys.argv[1])
