"""Runs two agents with their endpoints and one entry: run_agent.py BUILD_DIR

Guards against an agent whose minion is not known to the dispatcher, a lost
result, a task that is started twice, a cancelled task that keeps running, an
entry that mishandles malformed input, and an agent that does not exit on
SIGTERM."""

import random
import socket
import sys
import threading

import processes
from api import call
from cell import (LINK_PORT, Layout, agent_address, entry_address, local_cell,
                  ready_agents)
from checks import count_starts
from jobs import JobSpec, submission_id, submit

PAYLOADS = tuple(f"{40 + n} task-{n}" for n in range(20))
AGENTS = 2
# Limit in the design document for a leave to reach all entries.
LEAVE_TIMEOUT_S = 2.0

LONG_TASK_MS = 20_000
# Far below the run time of the long task.
CANCEL_TIMEOUT_S = 5.0

# Input from peers that do not speak the link protocol.
MALFORMED_INPUTS = (
    b"GET / HTTP/1.1\r\n\r\n",
    b"\xff\xff\xff\xff",
    b"\x08\x00\x00\x00" + random.Random(1).randbytes(8),
    b"\x00\x00\x00\x00",
)

# An invalid announcement, and a part of the error message that it must get.
INVALID_ANNOUNCEMENTS = (
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


def check_debug_state_and_metrics():
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


def check_invalid_announcements():
    for body, text in INVALID_ANNOUNCEMENTS:
        response = call(agent_address(0), "POST", "/v1/announce", body)
        assert response.status == 400, response
        assert text in response.body["error"]["message"], response


def running_tasks():
    return sum(call(agent_address(n), "GET", "/debug/state").body["running"]
               for n in range(AGENTS))


def check_cancel():
    key = "cancelled"
    body = {"team": "north", "key": key, "tasks": [
        {"payload": f"{LONG_TASK_MS} x", "declared_ms": LONG_TASK_MS}]}
    replies = []
    caller = threading.Thread(target=lambda: replies.append(
        call(entry_address(0), "POST", "/v1/jobs", body)))
    caller.start()
    processes.wait_until(lambda: running_tasks() == 1, CANCEL_TIMEOUT_S,
                         "the start")
    path = "/v1/jobs/" + submission_id("north", key)
    call(entry_address(0), "DELETE", path)
    processes.wait_until(lambda: running_tasks() == 0, CANCEL_TIMEOUT_S,
                         "the abort")
    caller.join(CANCEL_TIMEOUT_S)
    assert replies, "the caller of a cancelled job has no reply"
    states = [task["state"] for task in replies[0].body["tasks"]]
    assert states == ["unknown"], replies


def check_malformed_input():
    address = (entry_address(0).host, LINK_PORT)
    for data in MALFORMED_INPUTS:
        with socket.create_connection(address, CANCEL_TIMEOUT_S) as link:
            link.sendall(data)
            assert link.recv(1) == b"", data
    assert len(ready_agents(0)) == AGENTS


def is_draining(minion):
    return any(agent["minion"] == minion and agent["draining"]
               for agent in ready_agents(0))


def check_leave(cell):
    """Checks that the dispatcher learns of the leave, and that the agent exits
    on SIGTERM after handing its ledger over to the other agent."""
    wrong = {"instance": "0000000000000001"}
    assert call(agent_address(0), "POST", "/v1/leave", wrong).status == 409
    assert call(agent_address(0), "POST", "/v1/leave").status == 200
    processes.wait_until(lambda: is_draining("minion-0"), LEAVE_TIMEOUT_S,
                         "the dispatcher to know of the leave")
    code = processes.stop(cell.agents[0])
    assert code == 0, f"the agent ended with {code}"
    state = call(agent_address(1), "GET", "/debug/state").body
    # One more than the payloads: the cancelled task.
    assert state["ledger"]["size"] == len(PAYLOADS) + 1, state


def main(build_dir):
    with local_cell(Layout(build_dir, entries=1, agents=AGENTS)) as cell:
        check_job(cell)
        check_debug_state_and_metrics()
        check_invalid_announcements()
        check_malformed_input()
        check_cancel()
        check_leave(cell)


if __name__ == "__main__":
    main(sys.argv[1])
