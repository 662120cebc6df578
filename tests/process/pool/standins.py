"""Stand-ins for the platform's store and for minions, after the platform's
documentation."""

import asyncio
import base64
import itertools
import random
import time

from web import Dropped, Server, call

HOLD_MAX_S = 1.0
STOP_S = 0.03


class Store:
    """Stores keys with revisions and leases, and serves watches. `mode` is up, down,
    silent or reset."""

    def __init__(self):
        self.mode = "up"
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
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
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.history.clear()

    def expire(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end < now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def check_mode(self):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "reset":
            raise Dropped

    async def handle(self, method, path, query, headers, body):
        await self.check_mode()
        if self.mode == "down":
            return 503, {}
        self.expire()
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
            return 200, {"items": items, "truncated": False, "as_of": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.change(body)
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

    def change(self, body):
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
            await self.check_mode()
            self.expire()
            oldest = self.history[0]["revision"] if self.history else self.revision
            if after + 1 < oldest:
                return 410, {}
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(query["prefix"])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except TimeoutError:
                pass


class Ledger:
    """Records the runs of all minions and detects two simultaneous runs of a task."""

    def __init__(self):
        self.live = {}
        self.faults = []
        self.starts = 0
        self.jobs_started = set()

    def begin(self, minion, task, run):
        self.starts += 1
        self.jobs_started.add(task.split(".")[0])
        other = self.live.get(task)
        if other is not None:
            self.faults.append(
                f"task {task}: run {run} on {minion} started during "
                f"run {other[1]} on {other[0]}"
            )
        self.live[task] = (minion, run)

    def end(self, task, run):
        if self.live.get(task, (None, None))[1] == run:
            del self.live[task]


class Run:
    def __init__(self, task, number, seconds, cpu, ends_as):
        self.task = task
        self.number = number
        self.seconds = seconds
        self.cpu = cpu
        self.ends_as = ends_as
        self.started = time.monotonic()
        self.stopping = False

    def percent(self):
        share = (time.monotonic() - self.started) / self.seconds
        return min(99, int(100 * share))


class Minion:
    """The minion of one agent. The payload of a task gives its duration, cpu and
    outcome: "SECONDS CPU END"."""

    numbers = itertools.count(1)

    def __init__(self, host, port, agent, zone, ledger, cpu, address):
        self.host = host
        self.port = port
        self.agent = agent
        self.zone = zone
        self.ledger = ledger
        self.cpu = cpu
        # Address at which the agent reaches the minion; possibly that of a proxy.
        self.address = address
        self.mode = "up"
        self.lost_answers = 0.0
        self.random = random.Random(host)
        self.server = Server(self.handle)
        self.tasks = []
        self.reset()

    def reset(self):
        self.id = f"m-{next(Minion.numbers)}"
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.sequence = 0
        self.runs = {}
        self.ends = []
        self.highest = {}
        self.lease_end = 0.0
        self.draining = False
        self.ended = asyncio.Event()

    def clock_ms(self):
        return int(time.time() * 1000) - self.born + 1000

    async def start(self):
        await self.server.start(self.host, self.port)
        self.tasks = [
            asyncio.create_task(self.report_forever()),
            asyncio.create_task(self.tick_forever()),
        ]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await self.server.stop()

    async def crash(self, seconds):
        """Ends all runs; a new instance starts after `seconds`."""
        await self.stop()
        for run in list(self.runs.values()):
            self.ledger.end(run.task, run.number)
        self.reset()
        await asyncio.sleep(seconds)
        await self.start()

    async def report(self):
        self.sequence += 1
        value = {
            "service": "svc",
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "task_memory_mb": 1000, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }
        path = f"/-/instances/{self.id}/heartbeat"
        return await call(self.agent, "POST", path, value, timeout=1.0)

    async def report_forever(self):
        while True:
            status, _ = await self.report()
            await asyncio.sleep(1.0 if status == 200 else 0.2)

    async def tick_forever(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if self.runs and now > self.lease_end:
                for run in list(self.runs.values()):
                    self.finish(run, "lapsed")
            for run in list(self.runs.values()):
                if run.ends_as != "hang" and now - run.started >= run.seconds:
                    self.finish(run, run.ends_as)

    def finish(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.ledger.end(run.task, run.number)
        number = self.ends[-1][0] + 1 if self.ends else getattr(self, "last", 0) + 1
        self.last = number
        self.ends.append([number, run.task, run.number, how, ""])
        self.ended.set()
        self.ended = asyncio.Event()

    def extend_lease(self, deadline_ms):
        left = min((deadline_ms - self.clock_ms()) / 1000, HOLD_MAX_S)
        self.lease_end = max(self.lease_end, time.monotonic() + left)

    async def handle(self, method, path, query, headers, body):
        if self.mode == "silent":
            await asyncio.sleep(3600)
        expected = headers.get("x-dottereltrack-expected-instance")
        if expected not in (None, self.id):
            return 421, {}
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        answer = {
            "/-/run-start": self.run_start,
            "/-/run-stop": self.run_stop,
            "/-/hold": self.hold,
        }[path](body)
        answer = await answer
        if self.random.random() < self.lost_answers:
            await asyncio.sleep(3600)
        return answer

    async def run_start(self, body):
        task, number = body["task"], body["run"]
        clock = {"clock_ms": self.clock_ms()}
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, clock
        if number <= self.highest.get(task, 0):
            return 409, {**clock, "reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self.extend_lease(body["deadline_ms"])
        seconds, cpu, ends_as = body["spec"].split()
        run = Run(task, number, float(seconds), int(cpu), ends_as)
        if known is not None:
            self.ledger.faults.append(f"task {task}: second run on one minion")
        self.runs[task] = run
        self.highest[task] = number
        self.ledger.begin(self.id, task, number)
        used = sum(r.cpu for r in self.runs.values())
        if used > self.cpu:
            self.ledger.faults.append(f"{self.id}: {used} of {self.cpu} CPU millis in use")
        return 200, clock

    async def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.finish, run, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, body):
        if "deadline_ms" in body and body["deadline_ms"] > self.clock_ms():
            self.extend_lease(body["deadline_ms"])
        self.ends = [end for end in self.ends if end[0] > body["last_seen"]]
        if not self.ends and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self.ended.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        running = [
            [r.task, r.number, "", r.percent() if r.ends_as != "hang" else 1, 0]
            for r in self.runs.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:500],
        }
