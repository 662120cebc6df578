"""Starts the programs of deploy/system.toml as separate processes, with stand-ins for
the store and the minions, as a small deployment."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from standins import Minion, Store
from web import call

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "h.example"
SERVICE = "svc-1"
ZONES = ("z-a", "z-b", "z-c", "z-d")
FRONT, READINESS, CONTROL, APP, STORE, INTERNAL = 8161, 8167, 8166, 8165, 8169, 7720
# Figures of brushwork-ja (SYSTEM.md).
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


class Record:
    """Writes lines with the time since the start to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now_ms(self):
        return int(1000 * (time.monotonic() - self.begin))

    def __call__(self, text):
        self.file.write(f"{self.now_ms():6d} ms  {text}\n")
        self.file.flush()


class Process:
    """One program of the deploy file on one machine."""

    def __init__(self, name, command, settings, folder):
        self.name = name
        self.command = [str(ROOT / command[0]), *command[1:]]
        self.settings_path = folder / f"{name}.json"
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = folder / f"{name}.log"
        self.process = None

    def start(self):
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "DOTTERELTRACK_CONFIG": str(self.settings_path),
                },
            )

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Pool:
    """`entries` frontend machines and `minions` side machines on loopback addresses of
    their own. Kinds names the kind of each minion."""

    def __init__(self, record, entries=4, kinds=("a", "a", "a", "a")):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.net = find_free_network()
        with (ROOT / "deploy/system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"].values()
        commands = {role["on"]: role["run"].split() for role in roles}
        self.store = Store()
        self.config_version = 0
        self.starts = []
        self.entries = [
            Process(f"frontend-{n + 1}", commands["frontend"],
                    self.entry_settings(n), self.folder)
            for n in range(entries)
        ]
        self.agents = [
            Process(f"side-{n + 1}", commands["side"], self.agent_settings(n),
                    self.folder)
            for n in range(len(kinds))
        ]
        self.minions = [
            Minion(self.host(2, n), APP, (self.host(2, n), CONTROL), SERVICE,
                   ZONES[n % 4], kind, f"r-{n}", record, self.on_start, self.on_end)
            for n, kind in enumerate(kinds)
        ]

    def host(self, group, n):
        return f"{self.net}.{group}.{n + 1}"

    def front(self, n):
        return self.host(1, n), FRONT

    def settings(self, name, machine_class, host, n):
        return {
            "node_name": name,
            "role": machine_class,
            "machine_class": machine_class,
            "serves": [machine_class],
            "ip": host,
            "zone": ZONES[n % 4],
            "region": "r",
            "zones": {zone: "r" for zone in ZONES},
            "internal_ports": [INTERNAL, INTERNAL + 15],
            "seeds": [],
            "bootstrap": True,
            "counts_toward_faults": False,
            "data_directory": None,
            "discovery": "local",
            "entry": "virtual_ip",
            "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched",
                          "platform", "advice", "upkeep", "sharing"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "orders": "request",
            "platform": {
                "address": f"{self.host(0, 0)}:{STORE}", "form": "kv",
                "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
                "value_bytes": 1048576, "min_ttl_ms": 1000,
            },
        }

    def entry_settings(self, n):
        host = self.host(1, n)
        return {
            **self.settings(f"frontend-{n + 1}", "frontend", host, n),
            "listen": {"front": f"{host}:{FRONT}", "readiness": f"{host}:{READINESS}"},
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                       "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
        }

    def agent_settings(self, n):
        host = self.host(2, n)
        return {
            **self.settings(f"side-{n + 1}", "side", host, n),
            "listen": {"control": f"{host}:{CONTROL}"},
            "limits": {"cpu_share": 0.15, "cores": 1, "memory_mb": 128,
                       "file_descriptors": 4096, "link_mbps": 1000.0, "disk_mb": 0},
            "app": f"{host}:{APP}",
            "service": SERVICE,
        }

    def write_config(self, *queues):
        """Writes a config with these routes; returns the time of its ack in ms."""
        self.config_version += 3
        routes = [
            {"name": f"r-{name}", "host": HOST, "prefix": f"/{name}/",
             "kind": "non_idempotent", "timeout_ms": 20_000, "target_latency_ms": 60,
             "priority": 1, "service": SERVICE, "max_attempts": 3, "stretch": 1.6}
            for name in queues
        ]
        services = [
            {"name": SERVICE, "health_path": "/health", "max_connections": 64,
             "protocol": "h1", "tls": False, "admission_check": False,
             "standby": False}
        ]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        config = {"version": self.config_version, "routes": routes,
                  "services": services, "limits": limits}
        self.store.put("op/config", json.dumps(config))
        self.record(f"config {self.config_version} acknowledged, queues {queues}")
        return self.record.now_ms()

    def on_start(self, minion, task, run):
        self.starts.append((self.record.now_ms(), task, minion))
        self.record(f"{minion.name} (kind {minion.kind}) starts {task}, run {run}")

    def on_end(self, minion, task, run, how):
        self.record(f"{minion.name} ends {task}, run {run}: {how}")

    def starts_of(self, job):
        """Times in ms, tasks and minions of the starts of a job's tasks."""
        return [it for it in self.starts if it[1].startswith(f"{job}.")]

    async def start(self):
        """Starts everything. Returns whether all entries were ready within 10 s."""
        await self.store.server.start(self.host(0, 0), STORE)
        self.write_config("q")
        for process in self.entries + self.agents:
            process.start()
        for minion in self.minions:
            await minion.start()
        return await self.wait_ready()

    async def wait_ready(self):
        end = time.monotonic() + 10
        while time.monotonic() < end:
            answers = [
                await call((self.host(1, n), READINESS), "GET", "/-/ready",
                           timeout_s=1.0)
                for n in range(len(self.entries))
            ]
            if all(status == 200 for status, _ in answers):
                # All agents have linked to all entries by then.
                await asyncio.sleep(2.0)
                self.record("all entries are ready")
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for process in self.entries + self.agents:
            process.kill()
        for minion in self.minions:
            await minion.stop()
        await self.store.server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def submit(self, n, job, queue="q", count=2, duration_s=0.2, deadline_ms=10_000,
                     **step):
        """Sends a job to one entry and waits for the answer."""
        cpu = 3100
        body = {
            "best_effort": True,
            "spec": json.dumps({"duration_s": duration_s, "cpu": cpu}),
            "steps": [{"count": count, "cpu": cpu, "task_memory_mb": 64,
                       "estimated_ms": int(1000 * duration_s), **step}],
        }
        headers = {"Host": HOST, "X-Dottereltrack-Deadline-Ms": str(deadline_ms)}
        self.record(f"POST /{queue}/{job} to {self.entries[n].name}")
        status, value = await call(self.front(n), "POST", f"/{queue}/{job}", body,
                                   headers, timeout_s=deadline_ms / 1000)
        self.record(f"POST /{queue}/{job} answered by {self.entries[n].name}: "
                    f"{status} {json.dumps(value)}")
        return status, value

    async def cancel(self, n, job, queue="q"):
        """Cancels a job at one entry. Returns the status and the time of the answer."""
        self.record(f"DELETE /{queue}/{job} to {self.entries[n].name}")
        status, value = await call(self.front(n), "DELETE", f"/{queue}/{job}", None,
                                   {"Host": HOST}, timeout_s=5.0)
        self.record(f"DELETE /{queue}/{job} answered by {self.entries[n].name}: "
                    f"{status} {json.dumps(value)}")
        return status, self.record.now_ms()


def find_free_network():
    """Returns the first two numbers of loopback addresses at which our ports are
    free."""
    for _ in range(100):
        net = f"127.{random.randint(64, 250)}"
        try:
            for group, ports in ((0, [STORE]), (1, [FRONT, READINESS, INTERNAL]),
                                 (2, [CONTROL, APP, INTERNAL])):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{group}.1", port))
            return net
        except OSError:
            continue
    raise OSError("no free loopback addresses")


def run_case(folder, play):
    """Plays a case: `play(pool_factory, record, has_trouble)` returns HELD, BROKEN or
    NOT_RUN. Returns the exit code of the script."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    try:
        code = asyncio.run(asyncio.wait_for(play(record, has_trouble), 110))
    except (OSError, TimeoutError) as error:
        record(f"the case could not run: {error!r}")
        code = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken",
             NOT_RUN: "the case could not run"}
    record(words[code])
    return code
