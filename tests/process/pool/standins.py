"""Stand-ins for the platform's store and for minions, after the platform's
documentation."""

import asyncio
import base64
import collections
import itertools
import json
import random
import time

from web import DropConnection, Server, call_json

MAX_LEASE_EXTENSION_S = 1.0
STOP_DURATION_S = 0.03
ERRORS_AFTER_EXECUTION = [500, 502, 504]
REFUSALS = [429, 503]
FIRST_TASK = ".0.0.0"
CRASH_DELAY_S = 0.01
CRASH_DOWNTIME_S = 1.0
# The platform's rule: a task that has crashed three minions is started less than three
# times more.
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3


class Store:
    """Stores keys with revisions and leases, and serves watches. `mode` is up, down,
    silent or reset."""

    def __init__(self):
        self.mode = "up"
        self.revision = 1
        self.items = {}
        self.history = []
        # Items that another program has written: revision, prefix and JSON text.
        self.odd_items = []
        self.leases = {}
        self.change_event = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, key, value, lease=0):
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value.encode()).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.append_event(item)

    def put_odd_item(self, prefix, text):
        self.revision += 1
        self.odd_items.append((self.revision, prefix, text))
        self.change_event.set()
        self.change_event = asyncio.Event()

    def with_odd_items(self, answer, name, prefix, after=0):
        """Returns the answer as text, with the odd items in its list `name`."""
        texts = [json.dumps(item) for item in answer[name]] + [
            text
            for revision, odd_prefix, text in self.odd_items
            if revision > after and odd_prefix == prefix
        ]
        rest = json.dumps({k: v for k, v in answer.items() if k != name})
        return f'{{"{name}":[{",".join(texts)}],{rest[1:]}'.encode()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.append_event({"key": key, "revision": self.revision, "deleted": True})

    def append_event(self, event):
        self.history.append(event)
        self.change_event.set()
        self.change_event = asyncio.Event()

    def discard_history(self):
        self.history.clear()

    def end_expired_leases(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end < now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def apply_mode(self):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "reset":
            raise DropConnection

    async def handle(self, method, path, query, headers, body):
        await self.apply_mode()
        if self.mode == "down":
            return 503, {}
        self.end_expired_leases()
        name = path.removeprefix("/-/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if name == "kv-range":
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"])
            ]
            answer = {"items": items, "truncated": False, "as_of": self.revision}
            return 200, self.with_odd_items(answer, "items", query["prefix"])
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.commit_transaction(body)
        if name == "kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            ttl = body["ttl_ms"]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        verb, _, number = name.partition("/")
        lease = int(number or 0)
        if lease not in self.leases:
            return 404, {}
        if verb == "kv-keep":
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    def commit_transaction(self, body):
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return 404, {}
        for put in body["puts"]:
            value = base64.b64decode(put["value"]).decode()
            self.put(put["key"], value, put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            await self.apply_mode()
            self.end_expired_leases()
            oldest = self.history[0]["revision"] if self.history else self.revision
            if after + 1 < oldest:
                return 410, {}
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(query["prefix"])
            ]
            has_odd_events = any(
                revision > after and prefix == query["prefix"]
                for revision, prefix, _ in self.odd_items
            )
            remaining_s = end - time.monotonic()
            if events or has_odd_events or remaining_s <= 0:
                answer = {"events": events, "as_of": self.revision}
                return 200, self.with_odd_items(
                    answer, "events", query["prefix"], after
                )
            try:
                await asyncio.wait_for(self.change_event.wait(), min(remaining_s, 0.2))
            except TimeoutError:
                pass


class RunChecker:
    """Records the runs of all minions and detects two simultaneous runs of a task, and
    tasks that are started three times after they have crashed three minions."""

    def __init__(self):
        self.active_runs = {}
        self.crashes = collections.Counter()
        self.starts_after_crashes = collections.Counter()
        self.violations = []
        # For each evacuated data centre, the time from which on no run may start.
        self.evacuated_from = {}
        self.starts_by_zone = collections.Counter()
        self.starts = 0
        self.started_jobs = set()

    def record_start(self, minion, zone, task, run):
        self.starts += 1
        self.starts_by_zone[zone] += 1
        if time.monotonic() >= self.evacuated_from.get(zone, float("inf")):
            self.violations.append(f"task {task} started in {zone}, which is evacuated")
        self.started_jobs.add(task.split(".")[0])
        other = self.active_runs.get(task)
        if other is not None:
            self.violations.append(
                f"task {task}: run {run} on {minion} started during "
                f"run {other[1]} on {other[0]}"
            )
        self.active_runs[task] = (minion, run)
        if self.crashes[task] < MAX_CRASHES:
            return
        self.starts_after_crashes[task] += 1
        if self.starts_after_crashes[task] == MAX_STARTS_AFTER_CRASHES:
            self.violations.append(
                f"task {task} was started again after {self.crashes[task]} minions "
                "have crashed under it"
            )

    def record_end(self, task, run):
        if self.active_runs.get(task, (None, None))[1] == run:
            del self.active_runs[task]


class Run:
    def __init__(self, task, number, duration_s, cpu_millis, outcome):
        self.task = task
        self.number = number
        self.duration_s = duration_s
        self.cpu_millis = cpu_millis
        self.outcome = outcome
        self.started_at = time.monotonic()
        self.stopping = False

    def progress_percent(self):
        fraction = (time.monotonic() - self.started_at) / self.duration_s
        return min(99, int(100 * fraction))


class Minion:
    """The minion of one agent. The payload of a task gives its duration, cpu and
    outcome: "SECONDS CPU OUTCOME". With the outcome "crash", the first task of the job
    crashes the minion."""

    instance_numbers = itertools.count(1)

    def __init__(self, host, port, agent, zone, run_checker, cpu_millis, address):
        self.host = host
        self.port = port
        self.agent = agent
        self.zone = zone
        self.run_checker = run_checker
        self.cpu_millis = cpu_millis
        # Address at which the agent reaches the minion; possibly that of a proxy.
        self.address = address
        self.mode = "up"
        self.response_loss_rate = 0.0
        # Share of the calls that are executed and answered with an error.
        self.error_rate = 0.0
        # Share of the starts that are executed and whose connection is then closed
        # without a response. Such a start is refused when it is resent.
        self.resend_refusal_rate = 0.0
        self.unanswered_starts = set()
        self.resend_refusal_random = random.Random(f"resends {host}")
        # Whether calls to stop a run are answered with an error and not executed.
        self.refuses_stops = False
        # Rows that no program of this system can read.
        self.odd_rows = []
        self.random = random.Random(host)
        self.server = Server(self.handle)
        self.background_tasks = []
        self.crash_tasks = set()
        self.is_down = False
        self.reset()

    def reset(self):
        self.id = f"m-{next(Minion.instance_numbers)}"
        self.started_at_ms = int(time.time() * 1000)
        self.fencing_token = 0
        self.sequence = 0
        self.runs = {}
        self.ended_runs = []
        self.highest_run_number = {}
        self.lease_ends_at = 0.0
        self.draining = False
        self.run_ended_event = asyncio.Event()

    def clock_ms(self):
        return int(time.time() * 1000) - self.started_at_ms + 1000

    async def start(self):
        await self.server.start(self.host, self.port)
        self.background_tasks = [
            asyncio.create_task(self.send_reports()),
            asyncio.create_task(self.update_runs()),
        ]

    async def stop(self):
        for task in self.background_tasks:
            task.cancel()
        await self.server.stop()

    async def crash(self, downtime_s):
        """Ends all runs; a new instance starts after `downtime_s`."""
        if self.is_down:
            return
        self.is_down = True
        await self.stop()
        for run in list(self.runs.values()):
            self.run_checker.record_end(run.task, run.number)
        self.reset()
        await asyncio.sleep(downtime_s)
        await self.start()
        self.is_down = False

    async def crash_under(self, task):
        instance = self.id
        await asyncio.sleep(CRASH_DELAY_S)
        if self.id != instance or task not in self.runs:
            return
        self.run_checker.crashes[task] += 1
        await self.crash(CRASH_DOWNTIME_S)

    async def send_report(self):
        self.sequence += 1
        value = {
            "service": "svc",
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu_millis, "task_memory_mb": 1000, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.started_at_ms,
        }
        path = f"/-/instances/{self.id}/heartbeat"
        return await call_json(self.agent, "POST", path, value, timeout=1.0)

    async def send_reports(self):
        while True:
            status, _ = await self.send_report()
            await asyncio.sleep(1.0 if status == 200 else 0.2)

    async def update_runs(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if self.runs and now > self.lease_ends_at:
                for run in list(self.runs.values()):
                    self.end_run(run, "lapsed")
            for run in list(self.runs.values()):
                if run.outcome != "hang" and now - run.started_at >= run.duration_s:
                    self.end_run(run, run.outcome)

    def end_run(self, run, outcome):
        if self.runs.pop(run.task, None) is None:
            return
        self.run_checker.record_end(run.task, run.number)
        number = self.ended_runs[-1][0] + 1 if self.ended_runs else \
            getattr(self, "last_end_number", 0) + 1
        self.last_end_number = number
        self.ended_runs.append([number, run.task, run.number, outcome, ""])
        self.run_ended_event.set()
        self.run_ended_event = asyncio.Event()

    def extend_lease(self, deadline_ms):
        remaining_s = min((deadline_ms - self.clock_ms()) / 1000, MAX_LEASE_EXTENSION_S)
        self.lease_ends_at = max(self.lease_ends_at, time.monotonic() + remaining_s)

    async def handle(self, method, path, query, headers, body):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        expected = headers.get("x-dottereltrack-expected-instance")
        if expected not in (None, self.id):
            return 421, {}
        token = body.get("fencing_token", 0)
        if token < self.fencing_token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fencing_token = token
        if self.refuses_stops and path == "/-/run-stop":
            return 500, {}
        start = (body.get("task"), body.get("run"))
        if path == "/-/run-start" and start in self.unanswered_starts:
            return self.random.choice(REFUSALS), {}
        answer = {
            "/-/run-start": self.run_start,
            "/-/run-stop": self.run_stop,
            "/-/hold": self.hold,
        }[path](body)
        answer = await answer
        if path == "/-/run-start" and self.draw_resend_refusal():
            self.unanswered_starts.add(start)
            raise DropConnection
        if self.random.random() < self.response_loss_rate:
            await asyncio.sleep(3600)
        if self.random.random() < self.error_rate:
            return self.random.choice(ERRORS_AFTER_EXECUTION), {}
        return answer

    def draw_resend_refusal(self):
        # A generator of its own keeps the faults that the soak's seeds draw.
        return self.resend_refusal_random.random() < self.resend_refusal_rate

    async def run_start(self, body):
        task, number = body["task"], body["run"]
        clock = {"clock_ms": self.clock_ms()}
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, clock
        if number <= self.highest_run_number.get(task, 0):
            return 409, {**clock, "reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self.extend_lease(body["deadline_ms"])
        duration_s, cpu_millis, outcome = body["spec"].split()
        run = Run(task, number, float(duration_s), int(cpu_millis), outcome)
        if known is not None:
            self.run_checker.violations.append(f"task {task}: second run on one minion")
        self.runs[task] = run
        self.highest_run_number[task] = number
        self.run_checker.record_start(self.id, self.zone, task, number)
        if outcome == "crash" and task.endswith(FIRST_TASK):
            crash = asyncio.create_task(self.crash_under(task))
            self.crash_tasks.add(crash)
            crash.add_done_callback(self.crash_tasks.discard)
        used = sum(r.cpu_millis for r in self.runs.values())
        if used > self.cpu_millis:
            self.run_checker.violations.append(
                f"{self.id}: {used} of {self.cpu_millis} CPU millis in use"
            )
        return 200, clock

    async def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest_run_number[task] = max(
            self.highest_run_number.get(task, 0), number
        )
        run = self.runs.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                STOP_DURATION_S, self.end_run, run, "stopped"
            )
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        if "deadline_ms" in body and body["deadline_ms"] > self.clock_ms():
            self.extend_lease(body["deadline_ms"])
        self.ended_runs = [end for end in self.ended_runs if end[0] > body["last_seen"]]
        if not self.ended_runs and body.get("wait_ms"):
            try:
                await asyncio.wait_for(
                    self.run_ended_event.wait(), body["wait_ms"] / 1000
                )
            except TimeoutError:
                pass
        running = [
            [
                r.task, r.number, "",
                r.progress_percent() if r.outcome != "hang" else 1, 0
            ]
            for r in self.runs.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.started_at_ms,
            "running": self.odd_rows + running,
            "finished": self.odd_rows + self.ended_runs[:500],
        }
