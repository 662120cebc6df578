"""Failures that a test brings about while jobs run."""

import signal
import threading
import time

import processes
from api import call, operate
from cell import READY_TIMEOUT_S, dispatcher, entry_address, store_address

# Longer than authority_timeout (3 s) and peer_timeout (2 s) of the settings.
FREEZE_S = 5.0


def find_dispatcher(cell):
    """Number of the entry that dispatches; waits until there is one."""
    leader = processes.wait_until(
        lambda: (dispatcher(cell) is not None and [dispatcher(cell)]),
        READY_TIMEOUT_S, "a dispatcher")
    return leader[0]


def set_store(mode, delay_ms=0):
    response = call(store_address(), "PUT", "/faults",
                    {"mode": mode, "delay_ms": delay_ms})
    assert response.status == 200, response


def nothing(_cell):
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


def freeze_dispatcher(cell):
    """Longer than its authority lasts; it goes on while jobs still run."""
    process = cell.entries[find_dispatcher(cell)]
    processes.send(process, signal.SIGSTOP)
    time.sleep(FREEZE_S)
    processes.send(process, signal.SIGCONT)


def store_down(cell):
    """The store refuses all calls; an operator's change must say so."""
    set_store("down")
    response = operate(entry_address(0), "PUT", "/v1/config", config_body(0))
    assert response.status >= 400, response
    assert response.body["error"]["code"] == "store_unavailable", response
    assert response.body["error"]["outcome"] == "not_run", response


def stop_dispatcher(cell):
    """SIGTERM. The balancer chooses it no longer once its health check fails;
    its open calls must be answered."""
    process = cell.entries[find_dispatcher(cell)]
    processes.send(process, signal.SIGTERM)
    threading.Thread(target=processes.wait, args=(process,)).start()


def config_body(version, **changes):
    body = {"expected_version": version, "teams": {}, "label_overrides": {},
            "drained_minions": []}
    body.update(changes)
    return body
