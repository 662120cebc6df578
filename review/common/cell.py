"""A small deployment on loopback addresses: the programs of deploy/system.toml as
separate processes, and stand-ins for the store, the minions and the clients."""

import asyncio
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib

from minion import Minion
from net import call
from recorder import Recorder
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, READINESS_PORT, CONTROL_PORT, LINK_PORT, MINION_PORT, STORE_PORT = (
    8161, 8167, 8166, 7720, 8165, 8169
)
METRICS_PORT = 9464
PORTS = (FRONT_PORT, READINESS_PORT, CONTROL_PORT, LINK_PORT, MINION_PORT, STORE_PORT,
         METRICS_PORT)
HOST_COUNT = 32
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# No further round begins after this time, so that a case ends within 120 s.
LAST_ROUND_BEGINS_S = 60

# As the bounds of sites/brushwork-ja.toml.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "recovery_s": 12, "hold_max_ms": 1000, "stop_ms": 50, "gang_timeout_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "remote_factor": 1.5, "checkpoint_s": 2, "restore_ms": 250,
    "notice_ms": 4500, "migration_s": 1.5, "maintenance_s": 2,
    "fencing_enforced": False, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100,
    "harm_ms": 4000, "resend_ms": 1300,
}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice",
             "upkeep", "sharing"]


class CannotRun(Exception):
    """The case could not be brought to the point that it tests."""


def is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def find_free_network():
    """Returns the first three parts of loopback addresses whose ports are free."""
    for _ in range(100):
        network = f"127.{random.randint(100, 250)}.{random.randint(1, 250)}"
        hosts = [f"{network}.{n}" for n in range(1, HOST_COUNT + 1)]
        if all(is_free(host, port) for host in hosts for port in PORTS):
            return network
    raise CannotRun("no loopback addresses with free ports")


class Process:
    """One process of the system. `program` is a `run` line of the deploy file."""

    def __init__(self, cell, name, program, settings):
        self.recorder = cell.recorder
        self.name = name
        self.command = program.split()
        self.settings_path = cell.folder / f"{name}.json"
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = cell.folder / f"{name}.log"
        self.host = settings["ip"]
        self.popen = None

    def start(self):
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["DOTTERELTRACK_CONFIG"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                [str(ROOT / self.command[0]), *self.command[1:]],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        self.recorder.write(f"process {self.name} is started")

    def signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.recorder.write(f"process {self.name} gets {number.name}")
            self.popen.send_signal(number)

    def end(self):
        if self.popen is None:
            return
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class Cell:
    def __init__(self, recorder, entries, agents, capacity_cpu, clock_rate=1.0):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.recorder = recorder
        self.network = find_free_network()
        self.service = "booking"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.store_address = (f"{self.network}.32", STORE_PORT)
        self.store = Store()
        self.entries = [self.make_entry(n) for n in range(entries)]
        self.agents = [self.make_agent(n) for n in range(agents)]
        self.minions = [
            Minion(self, f"i-{n + 1:08x}", agent.host, MINION_PORT,
                   (agent.host, CONTROL_PORT), capacity_cpu, clock_rate)
            for n, agent in enumerate(self.agents)
        ]

    def settings(self, name, machine_class, host, listen, **more):
        return {
            "node_name": name, "role": self.role_of(machine_class),
            "machine_class": machine_class,
            "serves": self.roles[self.role_of(machine_class)]["serves"],
            "ip": host, "zone": "kgn-a", "region": "ja-south",
            "zones": {"kgn-a": "ja-south"},
            "listen": {key: f"{host}:{port}" for key, port in listen.items()},
            "internal_ports": [LINK_PORT, LINK_PORT + 15], "seeds": [],
            "bootstrap": True, "counts_toward_faults": machine_class == "frontend",
            "limits": {
                "cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0,
            },
            "data_directory": None, "discovery": "local", "entry": "virtual_ip",
            "heartbeat_ms": 1500, "contracts": CONTRACTS,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "orders": "request",
            "advice": f"{self.network}.31:{STORE_PORT}",
            "platform": {
                "address": "%s:%d" % self.store_address, "form": "kv",
                "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                "value_bytes": 1048576, "min_ttl_ms": 1000,
            },
            "cloud": {
                "address": f"{self.network}.30:{STORE_PORT}", "rate_per_s": 60.0,
                "duties": [], "duty_per_s": 60.0,
            },
            **more,
        }

    def role_of(self, machine_class):
        return next(
            name for name, role in self.roles.items() if role["on"] == machine_class
        )

    def make_entry(self, n):
        name = f"frontend-kgn-a-{n + 1}"
        host = f"{self.network}.{n + 1}"
        listen = {"front": FRONT_PORT, "readiness": READINESS_PORT}
        settings = self.settings(name, "frontend", host, listen)
        run = self.roles[self.role_of("frontend")]["run"]
        return Process(self, name, run, settings)

    def make_agent(self, n):
        name = f"side-kgn-a-{n + 1}"
        host = f"{self.network}.{n + 9}"
        settings = self.settings(
            name, "side", host, {"control": CONTROL_PORT},
            app=f"{host}:{MINION_PORT}", service=self.service,
        )
        run = self.roles[self.role_of("side")]["run"]
        return Process(self, name, run, settings)

    def front(self, n):
        return (self.entries[n].host, FRONT_PORT)

    def write_config(self):
        route = {
            "name": "r-1", "host": "nony24.example", "prefix": "/lohu930/",
            "kind": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 60,
            "priority": 0, "service": self.service, "max_attempts": 3, "stretch": 1.6,
        }
        service = {
            "name": self.service, "health_path": "/health", "max_connections": 64,
            "protocol": "h1", "tls": False, "admission_check": False,
            "standby": False,
        }
        limits = {
            "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        }
        config = {
            "version": 7, "routes": [route], "services": [service], "limits": limits
        }
        self.store.put("op/config", json.dumps(config))

    async def start(self):
        for process in self.entries + self.agents:
            if not (ROOT / process.command[0]).exists():
                raise CannotRun(f"{process.command[0]} is not built")
        await self.store.server.start(*self.store_address)
        self.write_config()
        for process in self.entries + self.agents:
            process.start()
        await asyncio.sleep(0.3)
        for minion in self.minions:
            await minion.start()
        await self.wait_ready()
        # All agents have linked to all entries.
        await asyncio.sleep(2.0)

    async def wait_ready(self):
        for _ in range(100):
            states = [
                await call((entry.host, READINESS_PORT), "GET", "/-/ready",
                           timeout_s=1.0)
                for entry in self.entries
            ]
            if all(status == 200 for status, _ in states):
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entries are not ready after 10 s")

    async def stop(self):
        for process in self.entries + self.agents:
            process.end()
        for minion in self.minions:
            await minion.end()
        await self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the processes: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def submit(self, n, job, work_ms, cpu, deadline_ms, count=1,
                     patience_ms=None):
        """Submits a best-effort job of `count` tasks at entry `n` over a channel of its
        own and waits for the answer until the deadline, or for `patience_ms`."""
        body = {
            "spec": str(work_ms),
            "steps": [{
                "count": count, "cpu": cpu, "task_memory_mb": 64,
                "estimated_ms": work_ms,
            }],
            "best_effort": True,
        }
        headers = {
            "Host": "nony24.example", "X-Dottereltrack-Deadline-Ms": str(deadline_ms)
        }
        self.recorder.write(f"client submits job {job} at entry {n + 1}")
        status, answer = await call(
            self.front(n), "POST", f"/lohu930/{job}", body, headers,
            timeout_s=(patience_ms or deadline_ms) / 1000,
        )
        self.recorder.write(
            f"client: answer to job {job} from entry {n + 1}: "
            f"{status or 'none'} {json.dumps(answer)}"
        )
        return status, answer

    async def cancel(self, n, job):
        """Cancels a job at entry `n` over a channel of its own."""
        self.recorder.write(f"client cancels job {job} at entry {n + 1}")
        status, _ = await call(
            self.front(n), "DELETE", f"/lohu930/{job}",
            headers={"Host": "nony24.example"}, timeout_s=2.0,
        )
        self.recorder.write(
            f"client: answer to the cancel from entry {n + 1}: {status or 'none'}"
        )
        return status


def raise_descriptor_limit():
    """The stand-ins of clients hold one channel for each job."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 4096 if hard == resource.RLIM_INFINITY else min(4096, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


async def play_round(play, has_trouble, recorder, cell_options):
    cell = Cell(recorder, **cell_options)
    try:
        await cell.start()
        return await play(cell, has_trouble)
    finally:
        await cell.stop()


async def play_rounds(folder, play, rounds, cell_options):
    """Plays rounds until one breaks the rule. Returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    recorder = Recorder(folder / "record.txt")
    recorder.write(f"runs {'with' if has_trouble else 'without'} the disruption")
    for n in range(rounds):
        if recorder.now_s() > LAST_ROUND_BEGINS_S:
            break
        if rounds > 1:
            recorder.write(f"round {n + 1} of {rounds}")
        recorder.runs.clear()
        try:
            problems = await play_round(play, has_trouble, recorder, cell_options)
        # Anything unexpected must not look like a broken rule.
        except Exception as problem:
            recorder.write(f"the case could not run: {problem!r}")
            print(f"the case could not run: {problem!r}")
            return COULD_NOT_RUN
        for problem in problems:
            recorder.write(f"BROKEN: {problem}")
            print(f"broken: {problem}")
        if problems:
            return BROKEN
    recorder.write("the rule held")
    print("held")
    return HELD


def run_case(folder, play, rounds=1, **cell_options):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case
    could not run. `play(cell, has_trouble)` returns the problems found. Each round has
    a deployment of its own."""
    raise_descriptor_limit()
    # Ends the processes of the case also when it is stopped from outside.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(COULD_NOT_RUN))
    sys.exit(asyncio.run(play_rounds(folder, play, rounds, cell_options)))
