"""Stand-ins for the platform's store and for minions, after PROTOCOL.md."""

import asyncio
import base64
import json
import time

from web import Server, call

HEARTBEAT_S = 1.5
MAX_LEASE_S = 1.0
STOP_S = 0.03


class Store:
    """Keys with revisions and leases, and watches."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value.encode()).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.add_event(item)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.add_event({"key": key, "revision": self.revision, "deleted": True})

    def add_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_expired_leases(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end < now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def handle(self, method, path, query, headers, body):
        self.end_expired_leases()
        name = path.removeprefix("/-/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if name == "kv-range":
            after = query.get("after", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > after
            ]
            return 200, {"items": items, "truncated": False, "as_of": self.revision}
        if name == "kv-watch":
            return 200, await self.watch(query)
        if name == "kv-txn":
            return self.commit(body)
        if name == "kv-lease":
            lease = 1000 + len(self.leases) + self.revision * 1000
            ttl_ms = body["ttl_ms"]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        verb, _, number = name.partition("/")
        lease = int(number or 0)
        if lease not in self.leases:
            return 404, {}
        if verb == "kv-keep":
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl_ms": ttl_ms}
        self.end_lease(lease)
        return 200, {}

    def commit(self, body):
        for row in body.get("expected_revision", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for put in body.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]).decode(),
                     put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self.end_expired_leases()
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(remaining_s, 0.2))
            except TimeoutError:
                pass


class Run:
    def __init__(self, task, number, duration_s, cpu):
        self.task = task
        self.number = number
        self.duration_s = duration_s
        self.cpu = cpu
        self.started_at = time.monotonic()
        self.is_stopping = False

    def percent(self):
        share = (time.monotonic() - self.started_at) / self.duration_s
        return min(99, int(100 * share))


class Minion:
    """The minion beside one agent. The `spec` of a job is JSON with `duration_s` and
    `cpu`. `on_start(minion, task, run)` is called for each run that begins, and
    `on_end(minion, task, run, how)` for each that ends."""

    def __init__(self, host, port, agent, service, zone, kind, rack, record,
                 on_start, on_end):
        self.host = host
        self.port = port
        self.agent = agent
        self.service = service
        self.zone = zone
        self.kind = kind
        self.rack = rack
        self.record = record
        self.on_start = on_start
        self.on_end = on_end
        self.cpu = 32_000
        self.name = f"minion at {host}"
        self.id = f"i-{host.replace('.', '-')}"
        self.first_sequence = 1
        # Time between the opening of the port and the first report.
        self.register_delay_s = 0.0
        self.server = Server(self.handle)
        self.loops = []
        self.forget()

    def forget(self):
        """What a new life of the minion knows: nothing."""
        self.born_ms = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.sequence = self.first_sequence - 1
        self.fencing_token = 0
        self.runs = {}
        self.ended = []
        self.last_end = 0
        self.highest_ended = {}
        self.lease_ends_at = 0.0
        self.is_draining = False
        self.run_ended = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000)

    async def start(self):
        await self.server.start(self.host, self.port)
        self.loops = [
            asyncio.create_task(self.send_reports()),
            asyncio.create_task(self.update_runs()),
        ]

    async def stop(self):
        for loop in self.loops:
            loop.cancel()
        await self.server.stop()

    async def crash(self):
        """Ends the minion and all that runs on it."""
        await self.stop()
        for run in list(self.runs.values()):
            self.on_end(self, run.task, run.number, "crash")
        self.runs = {}

    async def send_report(self):
        self.sequence += 1
        report = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": {"cpu": self.cpu, "task_memory_mb": 65_536, "gpu": 0},
            "labels": [self.kind, self.rack],
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        path = f"/-/instances/{self.id}/heartbeat"
        status, _ = await call(self.agent, "POST", path, report, timeout_s=1.0)
        self.record(
            f"{self.name} reports: kind {self.kind}, sequence {self.sequence}, "
            f"state {report['state']}: {status}"
        )
        return status

    async def send_reports(self):
        await asyncio.sleep(self.register_delay_s)
        while True:
            status = await self.send_report()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def update_runs(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            for run in list(self.runs.values()):
                if now > self.lease_ends_at:
                    self.end_run(run, "lapsed")
                elif now - run.started_at >= run.duration_s:
                    self.end_run(run, "done")

    def end_run(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.highest_ended[run.task] = max(
            run.number, self.highest_ended.get(run.task, 0)
        )
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.number, how, ""])
        self.on_end(self, run.task, run.number, how)
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    def extend_lease(self, deadline_ms):
        remaining_s = min((deadline_ms - self.clock_ms()) / 1000, MAX_LEASE_S)
        self.lease_ends_at = max(self.lease_ends_at, time.monotonic() + remaining_s)

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        clock = {"clock_ms": self.clock_ms()}
        if headers.get("x-dottereltrack-expected-instance", self.id) != self.id:
            return 421, clock
        token = body.get("fencing_token", 0)
        if token < self.fencing_token:
            return 409, {**clock, "reason": "fence"}
        self.fencing_token = token
        if path == "/-/run-start":
            return self.start_run(body, clock)
        if path == "/-/run-stop":
            return self.stop_run(body, clock)
        if path == "/-/hold":
            return await self.hold(body)
        return 404, clock

    def start_run(self, body, clock):
        task, number = body["task"], body["run"]
        if task in self.runs and self.runs[task].number == number:
            return 200, clock
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self.extend_lease(body["deadline_ms"])
        if number <= self.highest_ended.get(task, 0):
            return 409, {**clock, "reason": "old"}
        spec = json.loads(body["spec"])
        self.runs[task] = Run(task, number, spec["duration_s"], spec["cpu"])
        self.on_start(self, task, number)
        return 200, clock

    def stop_run(self, body, clock):
        task, number = body["task"], body["run"]
        self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number == number and not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(STOP_S, self.end_run, run, "stopped")
        return 200, clock

    async def hold(self, body):
        if "deadline_ms" in body and body["deadline_ms"] > self.clock_ms():
            self.extend_lease(body["deadline_ms"])
        self.ended = [end for end in self.ended if end[0] > body["last_seen"]]
        if not self.ended and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self.run_ended.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", run.percent(), run.cpu]
            for run in self.runs.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "finished": self.ended[:500],
        }
