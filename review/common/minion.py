"""A stand-in for a minion, after "Running tasks" and "Service discovery" of
PROTOCOL.md."""

import asyncio
import time

from net import Server, call

HOLD_MAX_MS = 1_000
STOP_S = 0.045
HEARTBEAT_S = 1.5
UPDATE_INTERVAL_S = 0.002
MAX_ENDS_LISTED = 500


class MinionRun:
    def __init__(self, recorded, number, work_s):
        self.recorded = recorded
        self.number = number
        self.work_s = work_s
        self.began_at = time.monotonic()
        self.is_stopping = False

    def percent(self):
        return min(99, int(100 * (time.monotonic() - self.began_at) / self.work_s))


class Minion:
    """`spec` of a task is its work in milliseconds. `clock_rate` is the speed of the
    minion's steady clock: 0.98 is 2% slow."""

    def __init__(self, cell, name, host, port, agent, capacity_cpu, clock_rate=1.0):
        self.cell = cell
        self.recorder = cell.recorder
        self.id = name
        self.address = (host, port)
        # Where reports go: the control address of this machine.
        self.agent = agent
        self.capacity_cpu = capacity_cpu
        self.clock_rate = clock_rate
        self.steady_begin = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.token = 0
        self.runs = {}
        self.highest_ended = {}
        self.ends = []
        self.end_count = 0
        self.lease_ends_ms = 0
        self.is_up = False
        self.end_listed = asyncio.Event()
        self.server = Server(self.handle)
        self.jobs = []
        # Called with the task after a start was accepted.
        self.on_start = None

    def clock_ms(self):
        elapsed_s = (time.monotonic() - self.steady_begin) * self.clock_rate
        return 5_000 + int(elapsed_s * 1000)

    async def start(self):
        await self.server.start(*self.address)
        self.is_up = True
        self.jobs = [
            asyncio.create_task(self.send_reports()),
            asyncio.create_task(self.update_runs()),
        ]

    async def end(self):
        """Ends the minion's process; everything on it terminates."""
        if not self.is_up:
            return
        self.is_up = False
        for task in list(self.runs):
            self.end_run(task, "ended with its minion")
        self.recorder.write(f"minion {self.id} has ended")
        for job in self.jobs:
            if job is not asyncio.current_task():
                job.cancel()
        await self.server.stop()

    def report(self):
        self.sequence += 1
        return {
            "service": self.cell.service,
            "address": "%s:%d" % self.address,
            "zone": "kgn-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "capacity": {
                "cpu": self.capacity_cpu, "task_memory_mb": 262_144, "gpu": 0
            },
            "labels": ["a", "r1-1"],
            "clock_ms": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def send_report(self):
        path = f"/-/instances/{self.id}/heartbeat"
        report = self.report()
        status, _ = await call(self.agent, "POST", path, report, timeout_s=1.0)
        self.recorder.write(
            f"minion {self.id} reports {report['state']}, "
            f"sequence {report['sequence']}: {status or 'no answer'}"
        )
        return status == 200

    async def send_reports(self):
        while True:
            is_acked = await self.send_report()
            await asyncio.sleep(HEARTBEAT_S if is_acked else 0.2)

    async def update_runs(self):
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            now = time.monotonic()
            for task, run in list(self.runs.items()):
                if self.clock_ms() >= self.lease_ends_ms:
                    self.end_run(task, "lapsed")
                elif now - run.began_at >= run.work_s and not run.is_stopping:
                    self.end_run(task, "done")

    def end_run(self, task, how):
        run = self.runs.pop(task, None)
        if run is None:
            return
        self.recorder.end_run(run.recorded, how)
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, task, run.number, how, ""])
        self.end_listed.set()
        self.end_listed = asyncio.Event()

    def extend_lease(self, body):
        if "deadline_ms" in body:
            limit = self.clock_ms() + HOLD_MAX_MS
            self.lease_ends_ms = max(
                self.lease_ends_ms, min(body["deadline_ms"], limit)
            )

    async def handle(self, method, path, query, headers, body):
        expected = headers.get("x-dottereltrack-expected-instance", self.id)
        if expected != self.id:
            return 421, {}
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        calls = {
            "/-/run-start": self.run_start,
            "/-/run-stop": self.run_stop,
            "/-/hold": self.hold,
        }
        if path not in calls:
            return 404, {}
        return await calls[path](body)

    async def run_start(self, body):
        task, number = body["task"], body["run"]
        clock = {"clock_ms": self.clock_ms()}
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, clock
        if number <= self.highest_ended.get(task, 0):
            self.extend_lease(body)
            return 409, {**clock, "reason": "old"}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self.extend_lease(body)
        recorded = self.recorder.begin_run(self.id, task, number)
        self.runs[task] = MinionRun(recorded, number, int(body["spec"]) / 1000)
        if self.on_start is not None:
            self.on_start(task)
        return 200, clock

    async def run_stop(self, body):
        task, number = body["task"], body["run"]
        self.highest_ended[task] = max(self.highest_ended.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and not run.is_stopping:
            run.is_stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end_stopped_run, task, run)
        return 200, {"clock_ms": self.clock_ms()}

    def end_stopped_run(self, task, run):
        if self.runs.get(task) is run:
            self.end_run(task, "stopped")

    async def hold(self, body):
        self.extend_lease(body)
        self.ends = [end for end in self.ends if end[0] > body["last_seen"]]
        if not self.ends and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self.end_listed.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": [
                [task, run.number, "", run.percent(), 0]
                for task, run in self.runs.items()
            ],
            "finished": self.ends[:MAX_ENDS_LISTED],
        }
