"""Runs a pool of real daemons against stand-ins for the platform, and clients that
submit jobs to it."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import subprocess
import tempfile
import time

from proxy import Proxy
from web import call, fetch_text
from standins import Ledger, Minion, Store

FRONT, READY, CONTROL, INTERNAL, APP, STORE = 8161, 8167, 8166, 7720, 8165, 8169
APP_PROXY = 8185
METRICS = 9464
MINION_CPU = 24_000
TASK_CPU = 6_000
RESEND_S = 1.3
DOCS = pathlib.Path(__file__).resolve().parents[3] / "docs"


class Node:
    """A daemon process and its settings file."""

    def __init__(self, cell, name, program, settings):
        self.cell = cell
        self.name = name
        self.program = program
        self.path = cell.folder / f"{name}.json"
        self.path.write_text(json.dumps(settings))
        self.log = cell.folder / f"{name}.log"
        self.process = None
        # Exits that the test has not requested.
        self.own_exits = []

    def start(self):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [str(self.program)],
                stdout=log,
                stderr=log,
                env={**os.environ, "DOTTERELTRACK_CONFIG": str(self.path)},
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self, seconds):
        """Waits for the process to exit. Returns its exit code, or None on timeout."""
        end = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def lines(self):
        """The events that the process has logged."""
        return [
            json.loads(line)
            for line in self.log.read_text().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]

    def note_own_exit(self):
        code = self.process.poll()
        if code is not None:
            self.own_exits.append(f"exited unexpectedly with code {code}")

    async def kill(self, down_s):
        self.note_own_exit()
        self.signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(down_s)
        self.start()

    async def freeze(self, seconds):
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    async def restart(self):
        """Restarts as the platform does: SIGTERM, then SIGKILL after the grace period."""
        self.note_own_exit()
        self.signal(signal.SIGTERM)
        code = await self.wait(6.0)
        if code != 0:
            self.cell.ledger.faults.append(f"{self.name}: exit code {code} after SIGTERM")
            self.signal(signal.SIGKILL)
            self.process.wait()
        await asyncio.sleep(0.1)
        self.start()


class Cell:
    """Entries, agents with their minions, and the store. All addresses are in one /16
    of the loopback range, so that several cells can run side by side. If `use_proxies`
    is set, the store (for each process), the minions and the entries are reached
    through proxies."""

    def __init__(self, build, number, entries=3, agents=4, proxied=False):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="pool-"))
        self.ledger = Ledger()
        self.store = Store()
        self.net = f"127.{40 + number}"
        self.build = pathlib.Path(build)
        self.version = 0
        self.proxied = proxied
        self.proxies = []
        self.entries = [self.entry(n) for n in range(entries)]
        self.agents = [self.agent(n) for n in range(agents)]
        self.minions = [
            Minion(
                self.host(2, n),
                APP,
                (self.host(2, n), CONTROL),
                f"z{n % 2}",
                self.ledger,
                MINION_CPU,
                self.proxy_to((self.host(2, n), APP), (self.host(2, n), APP_PROXY)),
            )
            for n in range(agents)
        ]
        self.fronts = [
            self.proxy_to((self.host(1, n), FRONT), (self.host(4, n), FRONT))
            for n in range(entries)
        ]

    def host(self, kind, n):
        return f"{self.net}.{kind}.{n + 1}"

    def proxy_to(self, target, address):
        """Returns the address at which to reach the target: that of a proxy if proxies
        are used."""
        if not self.proxied:
            return target
        self.proxies.append(Proxy(*address, target))
        return address

    def settings(self, name, host, zone, listen, **more):
        return {
            "node_name": name,
            "ip": host,
            "zone": zone,
            "listen": {key: f"{host}:{port}" for key, port in listen.items()},
            "internal_ports": [INTERNAL, INTERNAL + 15],
            "seeds": [],
            "platform": {"address": "%s:%d" % self.store_address(host)},
            **more,
        }

    def store_address(self, host):
        # The proxy for each process is in the same /16 as the process.
        kind, n = host.split(".")[2:]
        return self.proxy_to(
            (self.host(0, 0), STORE), (f"{self.net}.{int(kind) + 4}.{n}", STORE)
        )

    def entry(self, n):
        name = f"entry-{n + 1}"
        listen = {"front": FRONT, "readiness": READY}
        settings = self.settings(name, self.host(1, n), f"z{n % 2}", listen)
        program = self.build / "apps/pool_entry/dotterel-pool-entry"
        return Node(self, name, program, settings)

    def agent(self, n):
        name = f"agent-{n + 1}"
        host = self.host(2, n)
        settings = self.settings(
            name,
            host,
            f"z{n % 2}",
            {"control": CONTROL},
            app=f"{host}:{APP}",
            service="svc",
        )
        program = self.build / "apps/pool_agent/dotterel-pool-agent"
        return Node(self, name, program, settings)

    def write_config(self, *queues):
        self.version += 3
        routes = [
            {
                "name": name,
                "host": "h",
                "prefix": f"/{name}/",
                "service": "svc",
                "priority": 0,
                "max_attempts": 2,
                "stretch": 1.6,
                "target_latency_ms": 60,
                "timeout_ms": 1500,
            }
            for name in queues
        ]
        config = {"version": self.version, "routes": routes, "services": []}
        self.store.put("op/config", json.dumps(config))

    async def start(self):
        await self.store.server.start(self.host(0, 0), STORE)
        self.write_config("q")
        for proxy in self.proxies:
            await proxy.start()
        for node in self.entries + self.agents:
            node.start()
        for minion in self.minions:
            await minion.start()

    async def stop(self):
        for node in self.entries + self.agents:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
            node.process.wait()
        for minion in self.minions:
            await minion.stop()
        for proxy in self.proxies:
            await proxy.stop()
        await self.store.server.stop()

    async def is_ready(self, n):
        address = (self.host(1, n), READY)
        status, _ = await call(address, "GET", "/-/ready", {}, timeout=1.0)
        return status == 200

    async def wait_ready(self, seconds=10.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await self.is_ready(n) for n in range(len(self.entries))]
            if all(states):
                return True
            await asyncio.sleep(0.05)
        return False

    async def check_metrics(self):
        """Compares the metrics of one entry and one agent with docs/metrics.md and
        reads their state dumps. Returns the problems found."""
        page = (DOCS / "metrics.md").read_text().split("## Pool", 1)[1]
        documented = set(re.findall(r"dottereltrack_[a-z_]+", page))
        served = set()
        problems = []
        for kind, table in ((1, "jobs"), (2, "runs")):
            address = (self.host(kind, 0), METRICS)
            text = await fetch_text(address, "/metrics")
            served |= set(re.findall(r"^# TYPE (\S+)", text, re.MULTILINE))
            state = await fetch_text(address, "/state")
            if table not in (json.loads(state) if state else {}):
                problems.append(f"the state dump has no table {table}")
        if served != documented:
            problems.append(f"served and documented metrics differ: {served ^ documented}")
        return problems

    async def await_event(self, node, event, seconds=5.0, **fields):
        """Records a violation if the daemon does not log the event with these fields in
        time."""
        end = time.monotonic() + seconds
        wanted = {"event": event, **fields}
        while time.monotonic() < end:
            for line in node.lines():
                if wanted.items() <= line.items():
                    return
            await asyncio.sleep(0.1)
        self.ledger.faults.append(f"{node.name} has not logged {wanted}")

    def check_events(self):
        """Reports logged events that docs/OPERATIONS.md does not explain."""
        page = (DOCS / "OPERATIONS.md").read_text()
        documented = set(re.findall(r"`([a-z_]+)`", page))
        events = {
            line["event"]
            for node in self.entries + self.agents
            for line in node.lines()
        }
        return [f"OPERATIONS.md does not explain event {it}" for it in events - documented]

    def logs(self):
        return "".join(
            f"== {node.name}\n{node.log.read_text()[-4000:]}"
            for node in self.entries + self.agents
            if node.log.exists()
        )


class Callers:
    """Submits jobs at a steady rate. Like the platform's clients, resends a job without
    a response to another entry."""

    def __init__(self, cell, seed, jobs_per_s=15, tasks=3, seconds=0.1, end="done"):
        self.cell = cell
        self.random = random.Random(seed)
        self.interval = 1 / jobs_per_s
        self.tasks = tasks
        self.seconds = seconds
        self.end = end
        self.outcomes = []
        self.stopped = False

    def stop(self):
        self.stopped = True

    async def submit(self, at, patience=3.0):
        job = f"{self.random.getrandbits(64):016x}"
        body = {
            "best_effort": True,
            "spec": f"{self.seconds} {TASK_CPU} {self.end}",
            "steps": [
                {
                    "count": self.tasks,
                    "cpu": TASK_CPU,
                    "task_memory_mb": 10,
                    "estimated_ms": int(self.seconds * 1000),
                }
            ],
        }
        order = list(range(len(self.cell.entries)))
        self.random.shuffle(order)
        started = time.monotonic()
        statuses = []
        for n in order:
            left = patience - (time.monotonic() - started)
            if left <= 0:
                break
            headers = {
                "Host": "h",
                "Request-Id": job,
                "X-Dottereltrack-Deadline-Ms": str(int(left * 1000)),
            }
            address = self.cell.fronts[n]
            status, answer = await call(
                address, "POST", f"/q/{job}", body, headers, timeout=left
            )
            statuses.append(status)
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESEND_S)
        seconds = time.monotonic() - started
        state = answer.get("state") if status == 200 else None
        self.outcomes.append((at, status, state, seconds))
        refused = [s for s in statuses if s in (404, 429, 503)]
        if len(refused) == len(statuses) and job in self.cell.ledger.jobs_started:
            self.cell.ledger.faults.append(f"job {job} was refused but has run")

    async def run(self, seconds):
        begin = time.monotonic()
        pending = []
        while time.monotonic() - begin < seconds and not self.stopped:
            at = time.monotonic() - begin
            pending.append(asyncio.create_task(self.submit(at)))
            await asyncio.sleep(self.interval)
        await asyncio.gather(*pending)

    def completed(self, begin=0.0, end=1e9):
        rows = [o for o in self.outcomes if begin <= o[0] < end]
        served = [o for o in rows if o[2] == "completed"]
        return len(served), len(rows)
