"""Faults that a test injects while jobs run."""

import signal
import threading
import time

import processes
from api import call, operate
from cell import READY_TIMEOUT_S, dispatcher, entry_address, store_address

# Longer than authority_timeout (3 s) and peer_timeout (2 s) of the settings.
FREEZE_S = 5.0


def find_dispatcher(cell):
    """Waits until there is a dispatcher and returns the number of its entry."""
    leader = processes.wait_until(
        lambda: (dispatcher(cell) is not None and [dispatcher(cell)]),
        READY_TIMEOUT_S, "a dispatcher")
    return leader[0]


def set_store_mode(mode, delay_ms=0):
    response = call(store_address(), "PUT", "/faults",
                    {"mode": mode, "delay_ms": delay_ms})
    assert response.status == 200, response


def no_fault(_cell):
    pass


def kill_dispatcher(cell):
    processes.kill(cell.entries[find_dispatcher(cell)])


def kill_agent(cell):
    processes.kill(cell.agents[0])


def kill_dispatcher_and_agent(cell):
    leader = find_dispatcher(cell)
    processes.send(cell.agents[0], signal.SIGKILL)
    processes.kill(cell.entries[leader])
    cell.agents[0].child.wait()
    find_dispatcher(cell)


def freeze_dispatcher(cell):
    """Suspends the dispatcher for longer than its authority lasts. It resumes
    while jobs are still running."""
    process = cell.entries[find_dispatcher(cell)]
    processes.send(process, signal.SIGSTOP)
    time.sleep(FREEZE_S)
    processes.send(process, signal.SIGCONT)


def store_down(cell):
    """Makes the store refuse all calls. A configuration change by an operator
    must then be refused with store_unavailable and not_run."""
    set_store_mode("down")
    response = operate(entry_address(0), "PUT", "/v1/config", config_body(0))
    assert response.status >= 400, response
    assert response.body["error"]["code"] == "store_unavailable", response
    assert response.body["error"]["outcome"] == "not_run", response


def stop_dispatcher(cell):
    """Stops the dispatcher with SIGTERM. The load balancer stops choosing it
    once its health check fails; its open calls must still be answered."""
    process = cell.entries[find_dispatcher(cell)]
    processes.send(process, signal.SIGTERM)
    threading.Thread(target=processes.wait, args=(process,)).start()


def config_body(version, **changes):
    body = {"expected_version": version, "teams": {}, "label_overrides": {},
            "drained_minions": []}
    body.update(changes)
    return body
