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
from web import call_json, fetch_text
from standins import RunChecker, Minion, Store

CLIENT_PORT, READINESS_PORT, REPORT_PORT, LINK_PORT, MINION_PORT, STORE_PORT = \
    8161, 8167, 8166, 7720, 8165, 8169
MINION_PROXY_PORT = 8185
METRICS_PORT = 9464
MINION_CPU_MILLIS = 24_000
TASK_CPU_MILLIS = 6_000
RESEND_DELAY_S = 1.3
# Any turn of the event loop makes it busy for a larger share of the time.
MIN_OVERLOAD_SHARE = 1e-6
DOCS = pathlib.Path(__file__).resolve().parents[3] / "docs"


class Daemon:
    """A daemon process and its settings file."""

    def __init__(self, cell, name, program, settings):
        self.cell = cell
        self.name = name
        self.program = program
        self.settings_path = cell.folder / f"{name}.json"
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = cell.folder / f"{name}.log"
        self.process = None
        # Exits that the test has not requested.
        self.unexpected_exits = []

    def start(self):
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [str(self.program)],
                stdout=log,
                stderr=log,
                env={**os.environ, "DOTTERELTRACK_CONFIG": str(self.settings_path)},
            )

    def signal(self, signal_number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    async def wait_for_exit(self, seconds):
        """Waits for the process to exit. Returns its exit code, or None on timeout."""
        end = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def read_events(self):
        """The events that the process has logged."""
        return [
            json.loads(line)
            for line in self.log_path.read_text().splitlines()
            if line.startswith("{") and line.endswith("}")
        ]

    def record_unexpected_exit(self):
        code = self.process.poll()
        if code is not None:
            self.unexpected_exits.append(f"exited unexpectedly with code {code}")

    async def kill(self, downtime_s):
        self.record_unexpected_exit()
        self.signal(signal.SIGKILL)
        self.process.wait()
        await asyncio.sleep(downtime_s)
        self.start()

    async def freeze(self, seconds):
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    async def restart(self):
        """Restarts like the platform: SIGTERM, then SIGKILL after the grace period."""
        self.record_unexpected_exit()
        self.signal(signal.SIGTERM)
        code = await self.wait_for_exit(6.0)
        if code != 0:
            self.cell.run_checker.violations.append(
                f"{self.name}: exit code {code} after SIGTERM"
            )
            self.signal(signal.SIGKILL)
            self.process.wait()
        await asyncio.sleep(0.1)
        self.start()


class Cell:
    """Entries, agents with their minions, and the store. All addresses are in one /16
    of the loopback range, so that several cells can run side by side. If `use_proxies`
    is set, the store (for each process), the minions and the entries are reached
    through proxies. The `overloaded_entries`, by number, forward jobs at any load."""

    def __init__(
        self, build, number, entries=3, agents=4, use_proxies=False,
        overloaded_entries=(), extra_settings=None
    ):
        self.overloaded_entries = overloaded_entries
        self.extra_settings = extra_settings or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="pool-"))
        self.run_checker = RunChecker()
        self.store = Store()
        self.network_prefix = f"127.{40 + number}"
        self.build = pathlib.Path(build)
        self.config_version = 0
        self.use_proxies = use_proxies
        self.proxies = []
        self.entries = [self.make_entry(n) for n in range(entries)]
        self.agents = [self.make_agent(n) for n in range(agents)]
        self.minions = [
            Minion(
                self.host_address(2, n),
                MINION_PORT,
                (self.host_address(2, n), REPORT_PORT),
                f"z{n % 2}",
                self.run_checker,
                MINION_CPU_MILLIS,
                self.add_proxy(
                    (self.host_address(2, n), MINION_PORT),
                    (self.host_address(2, n), MINION_PROXY_PORT)
                ),
            )
            for n in range(agents)
        ]
        self.client_addresses = [
            self.add_proxy(
                (self.host_address(1, n), CLIENT_PORT),
                (self.host_address(4, n), CLIENT_PORT)
            )
            for n in range(entries)
        ]

    def host_address(self, kind, n):
        return f"{self.network_prefix}.{kind}.{n + 1}"

    def add_proxy(self, target, address):
        """Returns the address at which to reach the target: that of a proxy if proxies
        are used."""
        if not self.use_proxies:
            return target
        self.proxies.append(Proxy(*address, target))
        return address

    def make_settings(self, name, host, zone, listen, **extra_settings):
        return {
            "node_name": name,
            "ip": host,
            "zone": zone,
            "listen": {key: f"{host}:{port}" for key, port in listen.items()},
            "internal_ports": [LINK_PORT, LINK_PORT + 15],
            "seeds": [],
            "platform": {"address": "%s:%d" % self.store_address(host)},
            **self.extra_settings,
            **extra_settings,
        }

    def store_address(self, host):
        # The proxy for each process is in the same /16 as the process.
        kind, n = host.split(".")[2:]
        return self.add_proxy(
            (self.host_address(0, 0), STORE_PORT),
            (f"{self.network_prefix}.{int(kind) + 4}.{n}", STORE_PORT)
        )

    def make_entry(self, n):
        name = f"entry-{n + 1}"
        listen = {"front": CLIENT_PORT, "readiness": READINESS_PORT}
        settings = self.make_settings(
            name, self.host_address(1, n), f"z{n % 2}", listen
        )
        if n in self.overloaded_entries:
            settings["limits"] = {
                **settings.get("limits", {}), "overload_share": MIN_OVERLOAD_SHARE
            }
        program = self.build / "apps/pool_entry/dotterel-pool-entry"
        return Daemon(self, name, program, settings)

    def make_agent(self, n):
        name = f"agent-{n + 1}"
        host = self.host_address(2, n)
        settings = self.make_settings(
            name,
            host,
            f"z{n % 2}",
            {"control": REPORT_PORT},
            app=f"{host}:{MINION_PORT}",
            service="svc",
        )
        program = self.build / "apps/pool_agent/dotterel-pool-agent"
        return Daemon(self, name, program, settings)

    def write_config(self, *queues):
        self.config_version += 3
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
        config = {"version": self.config_version, "routes": routes, "services": []}
        self.store.put("op/config", json.dumps(config))

    def evacuate(self, zone, bound_s):
        """Evacuates a data centre. Returns the revision of the store; from `bound_s` on
        no run may start there."""
        self.store.put(f"op/evacuate/{zone}", "{}")
        self.run_checker.evacuated_from[zone] = time.monotonic() + bound_s
        return self.store.revision

    def end_evacuation(self, zone):
        del self.run_checker.evacuated_from[zone]
        self.store.remove(f"op/evacuate/{zone}")

    async def start_by_uninformed_entry(self):
        """Registers an entry that does not know of evacuations and sends one start to
        each agent. Returns what has become of them."""
        host = self.host_address(1, len(self.entries))
        key = f"dottereltrack/entries/{host}:{LINK_PORT}"
        program = self.build / "tests/process/uninformed-entry"
        process = await asyncio.create_subprocess_exec(
            program, host, str(LINK_PORT), stdout=asyncio.subprocess.PIPE
        )
        lines = []
        try:
            self.store.put(key, f"{host}:{LINK_PORT}")
            async with asyncio.timeout(5.0):
                while len(lines) < len(self.agents):
                    lines.append((await process.stdout.readline()).decode().strip())
        except TimeoutError:
            pass
        finally:
            process.kill()
            await process.wait()
            self.store.remove(key)
        return lines

    async def restart_without_store(self, daemon):
        """Restarts a daemon with a store address at which nothing listens."""
        settings = json.loads(daemon.settings_path.read_text())
        settings["platform"]["address"] = settings["ip"] + ":1"
        daemon.settings_path.write_text(json.dumps(settings))
        await daemon.kill(0.1)

    async def start(self):
        await self.store.server.start(self.host_address(0, 0), STORE_PORT)
        self.write_config("q")
        for proxy in self.proxies:
            await proxy.start()
        for daemon in self.entries + self.agents:
            daemon.start()
        for minion in self.minions:
            await minion.start()

    async def stop(self):
        for daemon in self.entries + self.agents:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()
        for minion in self.minions:
            await minion.stop()
        for proxy in self.proxies:
            await proxy.stop()
        await self.store.server.stop()

    async def is_ready(self, n):
        address = (self.host_address(1, n), READINESS_PORT)
        status, _ = await call_json(address, "GET", "/-/ready", {}, timeout=1.0)
        return status == 200

    async def wait_ready(self, seconds=10.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            states = [await self.is_ready(n) for n in range(len(self.entries))]
            if all(states):
                return True
            await asyncio.sleep(0.05)
        return False

    async def find_metrics_problems(self):
        """Compares the metrics of one entry and one agent with docs/metrics.md and
        reads their state dumps. Returns the problems found."""
        page = (DOCS / "metrics.md").read_text().split("## Pool", 1)[1]
        documented = set(re.findall(r"dottereltrack_[a-z_]+", page))
        served = set()
        problems = []
        for kind, table in ((1, "jobs"), (2, "runs")):
            address = (self.host_address(kind, 0), METRICS_PORT)
            text = await fetch_text(address, "/metrics")
            served |= set(re.findall(r"^# TYPE (\S+)", text, re.MULTILINE))
            state = await fetch_text(address, "/state")
            if table not in (json.loads(state) if state else {}):
                problems.append(f"the state dump has no table {table}")
        if served != documented:
            problems.append(
                f"served and documented metrics differ: {served ^ documented}"
            )
        return problems

    async def expect_event(self, daemon, event, seconds=5.0, **fields):
        """Records a violation if the daemon does not log the event with these fields in
        time."""
        end = time.monotonic() + seconds
        wanted = {"event": event, **fields}
        while time.monotonic() < end:
            for line in daemon.read_events():
                if wanted.items() <= line.items():
                    return
            await asyncio.sleep(0.1)
        self.run_checker.violations.append(f"{daemon.name} has not logged {wanted}")

    def find_undocumented_events(self):
        """Reports logged events that docs/OPERATIONS.md does not explain."""
        page = (DOCS / "OPERATIONS.md").read_text()
        documented = set(re.findall(r"`([a-z_]+)`", page))
        events = {
            line["event"]
            for daemon in self.entries + self.agents
            for line in daemon.read_events()
        }
        return [
            f"OPERATIONS.md does not explain event {it}" for it in events - documented
        ]

    def log_tails(self):
        return "".join(
            f"== {daemon.name}\n{daemon.log_path.read_text()[-4000:]}"
            for daemon in self.entries + self.agents
            if daemon.log_path.exists()
        )


class Ingress:
    """Chooses entries for new connections like the platform: checks each one's readiness
    once a second and takes it out of rotation after two misses, until it is ready again.
    Uses all entries if fewer than half are in rotation."""

    CHECK_INTERVAL_S = 1.0
    MAX_MISSES = 2

    def __init__(self, cell):
        self.cell = cell
        self.misses = [0] * len(cell.entries)

    async def check(self, n):
        while True:
            self.misses[n] = 0 if await self.cell.is_ready(n) else self.misses[n] + 1
            await asyncio.sleep(self.CHECK_INTERVAL_S)

    async def run(self):
        await asyncio.gather(*(self.check(n) for n in range(len(self.misses))))

    def in_rotation(self):
        ready = [n for n, it in enumerate(self.misses) if it < self.MAX_MISSES]
        return ready if 2 * len(ready) >= len(self.misses) else range(len(self.misses))


class LoadGenerator:
    """Submits jobs at a steady rate. Like the platform's clients, resends a job without
    a response to another entry. With an ingress, it uses the entries in rotation."""

    def __init__(
        self, cell, seed, jobs_per_s=15,
        tasks_per_job=3, task_duration_s=0.1, task_outcome="done", ingress=None
    ):
        self.cell = cell
        self.ingress = ingress
        self.random = random.Random(seed)
        self.interval_s = 1 / jobs_per_s
        self.tasks_per_job = tasks_per_job
        self.task_duration_s = task_duration_s
        self.task_outcome = task_outcome
        self.outcomes = []
        self.stopped = False

    def stop(self):
        self.stopped = True

    def make_job(self):
        return {
            "best_effort": True,
            "spec": f"{self.task_duration_s} {TASK_CPU_MILLIS} {self.task_outcome}",
            "steps": [
                {
                    "count": self.tasks_per_job,
                    "cpu": TASK_CPU_MILLIS,
                    "task_memory_mb": 10,
                    "estimated_ms": int(self.task_duration_s * 1000),
                }
            ],
        }

    async def submit_to(self, n, queue):
        """Submits a job of a queue to one entry. Returns the status."""
        job = f"{self.random.getrandbits(64):016x}"
        address = self.cell.client_addresses[n]
        status, _ = await call_json(
            address, "POST", f"/{queue}/{job}", self.make_job(), {"Host": "h"}, 5.0
        )
        return status

    async def submit(self, submitted_at, timeout_s=3.0):
        job = f"{self.random.getrandbits(64):016x}"
        body = self.make_job()
        entries = range(len(self.cell.entries))
        order = list(self.ingress.in_rotation() if self.ingress else entries)
        self.random.shuffle(order)
        started = time.monotonic()
        statuses = []
        for n in order:
            remaining_s = timeout_s - (time.monotonic() - started)
            if remaining_s <= 0:
                break
            headers = {
                "Host": "h",
                "Request-Id": job,
                "X-Dottereltrack-Deadline-Ms": str(int(remaining_s * 1000)),
            }
            address = self.cell.client_addresses[n]
            status, answer = await call_json(
                address, "POST", f"/q/{job}", body, headers, timeout=remaining_s
            )
            statuses.append(status)
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RESEND_DELAY_S)
        seconds = time.monotonic() - started
        state = answer.get("state") if status == 200 else None
        self.outcomes.append((submitted_at, status, state, seconds))
        refused = [s for s in statuses if s in (404, 429, 503)]
        if len(refused) == len(statuses) and job in self.cell.run_checker.started_jobs:
            self.cell.run_checker.violations.append(
                f"job {job} was refused but has run"
            )

    async def run(self, seconds):
        begin = time.monotonic()
        pending = []
        while time.monotonic() - begin < seconds and not self.stopped:
            submitted_at = time.monotonic() - begin
            pending.append(asyncio.create_task(self.submit(submitted_at)))
            await asyncio.sleep(self.interval_s)
        await asyncio.gather(*pending)

    def count_completed(self, begin=0.0, end=1e9):
        rows = [o for o in self.outcomes if begin <= o[0] < end]
        completed = [o for o in rows if o[2] == "completed"]
        return len(completed), len(rows)
