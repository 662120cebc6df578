"""A cell on the local machine: a store, entries, agents and endpoints."""

import contextlib
import dataclasses
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from typing import List

import processes
from api import OPERATOR_TOKEN, Address, call, operate

HTTP_PORT = 18080
LINK_PORT = 18081
READY_TIMEOUT_S = 30.0
# Total time for all processes to exit after SIGTERM before they are killed.
STOP_ALL_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class Layout:
    """Number and configuration of the processes of a cell."""

    build_dir: str
    entries: int = 2
    agents: int = 3
    slots: int = 8
    # Rack and data centre of each agent and its endpoint. If there are more
    # agents than values, the last value is used for the rest.
    racks: tuple = ("r1", "r2", "r3")
    data_centres: tuple = ("kgn-a", "kgn-b", "spt-a")
    # Additional settings of the entries, as (key, value) pairs.
    entry_settings: tuple = ()
    # Additional settings of the agents.
    agent_settings: tuple = ()


@dataclasses.dataclass
class Cell:
    """The running processes of a cell."""

    layout: Layout
    work_dir: str
    store: processes.Process
    entries: List[processes.Process]
    agents: List[processes.Process]
    endpoints: List[processes.Process]


def host(number):
    """Returns a loopback address derived from the process id, so that
    concurrent runs use different addresses."""
    pid = os.getpid()
    return f"127.{1 + pid // 250 % 250}.{1 + pid % 250}.{number}"


def store_address(_cell=None):
    return Address(host(1), HTTP_PORT)


def entry_address(n):
    return Address(host(10 + n), HTTP_PORT)


def agent_address(n):
    return Address(host(50 + n), HTTP_PORT)


def endpoint_address(n):
    return Address(host(100 + n), HTTP_PORT)


def pick(values, n):
    return values[min(n, len(values) - 1)]


def entry_file(layout, n):
    settings = {
        "http_listen": str(entry_address(n)),
        "link_listen": f"{host(10 + n)}:{LINK_PORT}",
        "cell": "local",
        "store_url": f"http://{store_address()}",
        "data_centre": pick(layout.data_centres, n),
        "operator_token": OPERATOR_TOKEN,
    }
    settings.update(dict(layout.entry_settings))
    return settings


def agent_file(layout, n):
    settings = {
        "http_listen": str(agent_address(n)),
        "entry_seeds": [f"{host(10 + k)}:{LINK_PORT}"
                        for k in range(layout.entries)],
        "data_centre": pick(layout.data_centres, n),
        "rack": pick(layout.racks, n),
    }
    settings.update(dict(layout.agent_settings))
    return settings


def start_daemon(layout, work_dir, program, name, settings):
    path = os.path.join(work_dir, name + ".json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(settings, file, indent=2)
    binary = os.path.join(layout.build_dir, "apps", program.split("-")[1],
                          program)
    return processes.start(name, [binary, "--settings", path], work_dir)


def start_store(layout, work_dir):
    binary = os.path.join(layout.build_dir, "tools/standins/standin-store")
    return processes.start(
        "store", [binary, f"--host={store_address().host}",
                  f"--port={HTTP_PORT}"], work_dir)


def start_entry(layout, work_dir, n):
    return start_daemon(layout, work_dir, "dotterel-entry", f"entry-{n}",
                        entry_file(layout, n))


def start_agent(layout, work_dir, n):
    return start_daemon(layout, work_dir, "dotterel-agent", f"agent-{n}",
                        agent_file(layout, n))


def start_endpoint(layout, work_dir, n):
    binary = os.path.join(layout.build_dir, "tools/standins/standin-endpoint")
    return processes.start(
        f"endpoint-{n}",
        [binary, f"--host={endpoint_address(n).host}", f"--port={HTTP_PORT}",
         f"--agent={agent_address(n)}", f"--name=minion-{n}",
         f"--slots={layout.slots}", f"--rack={pick(layout.racks, n)}",
         f"--data-centre={pick(layout.data_centres, n)}",
         f"--labels=site={pick(layout.data_centres, n)}"], work_dir)


def all_processes(cell):
    return cell.endpoints + cell.agents + cell.entries + [cell.store]


def status(n):
    """Returns the status of an entry, or None if it does not answer."""
    response = operate(entry_address(n), "GET", "/v1/status", timeout_s=2.0)
    return response.body if response.status == 200 else None


def dispatcher(cell):
    """Returns the number of the dispatcher that has authority, or None."""
    for n, process in enumerate(cell.entries):
        if not processes.is_running(process):
            continue
        state = status(n)
        if state and state["role"] == "dispatcher" and state["has_authority"]:
            return n
    return None


def ready_agents(n):
    """Returns the agents that dispatcher `n` has fenced and whose minion is
    known."""
    state = status(n) or {"agents": []}
    return [agent for agent in state["agents"]
            if agent["phase"] == "fenced" and agent["slots"] > 0]


def is_ready(cell):
    leader = dispatcher(cell)
    if leader is None or len(ready_agents(leader)) < cell.layout.agents:
        return False
    state = status(leader)
    table = state["table"].get("table", state["table"])
    return (len(table["members"]) == cell.layout.entries and
            len(table["roster"]) == cell.layout.agents)


def start_cell(layout, work_dir):
    cell = Cell(layout, work_dir, start_store(layout, work_dir), [], [], [])
    try:
        processes.wait_until(
            lambda: call(store_address(), "GET", "/counts").status == 200,
            READY_TIMEOUT_S, "the store")
        for n in range(layout.entries):
            cell.entries.append(start_entry(layout, work_dir, n))
        for n in range(layout.agents):
            cell.agents.append(start_agent(layout, work_dir, n))
            cell.endpoints.append(start_endpoint(layout, work_dir, n))
        processes.wait_until(lambda: is_ready(cell), READY_TIMEOUT_S,
                             "a dispatcher with all agents")
    except BaseException:
        print_logs(cell)
        stop_cell(cell)
        raise
    return cell


def stop_cell(cell):
    """Stops all remaining processes. When the whole cell stops, the last agent
    has no other agent to hand its ledger to and would wait for leave_timeout,
    so processes are killed after STOP_ALL_TIMEOUT_S."""
    for process in all_processes(cell):
        processes.send(process, signal.SIGCONT)
        processes.send(process, signal.SIGTERM)
    end = time.monotonic() + STOP_ALL_TIMEOUT_S
    for process in all_processes(cell):
        if processes.wait(process, max(0.0, end - time.monotonic())) is None:
            processes.kill(process)


def print_logs(cell):
    for process in all_processes(cell):
        print(f"--- {process.name} (exit code {process.child.poll()})",
              file=sys.stderr)
        print(processes.log_tail(process), file=sys.stderr)


@contextlib.contextmanager
def local_cell(layout):
    """Context manager for a ready cell. On exit, it stops all processes and
    deletes their files."""
    # Raise SystemExit on SIGTERM, so that the processes are stopped then, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    work_dir = tempfile.mkdtemp(prefix="dottereltrack-")
    try:
        cell = start_cell(layout, work_dir)
        try:
            yield cell
        except BaseException:
            print_logs(cell)
            raise
        finally:
            stop_cell(cell)
    finally:
        shutil.rmtree(work_dir, ignore_errors=True)
