"""Randomized soak test of a pool of real processes:
soak.py BUILD SEED [SECONDS [ENTRIES AGENTS]].

Injects overlapping faults of all kinds: signals to the processes, faults of the minions
and of the store, input that no process can use, and proxies before the store, the
minions and the entries that delay traffic, block one or both directions or reset
connections, and crowds of clients that leave requests and frames unfinished or submit
jobs that fill memory and minions. Signals also come in series. Some clients submit jobs
over one connection each and keep using it until the process is gone. The Answers of some
jobs are lost, and copies of them arrive while the client's next attempt is at work. The stand-ins check
throughout that no task has two runs at once, that no minion exceeds its capacity, that no
refused job has run and that no task crashes minion after minion. No process may exit by
itself or exceed its memory, and after the faults all jobs must complete. Equal seeds give equal faults; the
timing of the processes differs.
"""

import asyncio
import random
import signal
import sys
import time

import crowd
import job_crowd
import odd_input
from cell import (CLIENT_PORT, LINK_PORT, METRICS_PORT, READINESS_PORT, REPORT_PORT,
                  RESEND_DELAY_S, LoadGenerator, Cell)
from proxy import FROM_TARGET, TO_TARGET
from web import call_json, read_message

# Mean time between the starts of two faults, and the range of their durations.
FAULT_INTERVAL_S = 0.5
FAULT_DURATION_RANGE_S = (0.1, 2.5)
# Half of the minions' capacity.
JOBS_PER_S = 25
RECOVERY_S = 3.0
# An evacuation is in force 5 s after its write, and 6 s later while faults go on.
EVACUATION_BOUND_S = 11.0
# No run may start in the evacuated data centre for this long after the recovery.
EVACUATION_CHECK_S = 1.0
LOAD_AFTER_RECOVERY_S = 2.0
DEFAULT_SECONDS = 15.0

# Mean time between two crowds of clients, the size of a crowd, the time to send, and the
# memory that a process assumes when its settings name none.
CROWD_INTERVAL_S = 2.0
CROWD_SIZE_RANGE = (20, 120)
CROWD_SEND_S = 2.0
MACHINE_MEMORY_MB = 120
JOB_PAYLOADS = (
    job_crowd.waiting_job, job_crowd.pipelined_jobs, job_crowd.large_label,
    job_crowd.ended_jobs, job_crowd.tasks_without_needs
)

# Mean time between two series of signals, and the pauses within a series.
SERIES_INTERVAL_S = 3.0
SERIES_PAUSE_RANGE_S = (0.0, 0.2)
SERIES_SIGNALS = (2, 5)
EXIT_TIMEOUT_S = 6.0

# Clients of each entry that keep their connection, and what they do meanwhile.
LASTING_CLIENTS = 3
LASTING_PAUSE_S = 0.05
LASTING_DEADLINE_MS = 1_500
RECONNECT_PAUSE_S = 0.1
REFUSALS = (404, 429, 503)

# Jobs whose first answer is lost: mean time between two, their tasks, and when copies
# arrive after that answer. The next attempt takes 1.3 to 2.8 s after it.
LOST_ANSWER_INTERVAL_S = 0.3
LOST_ANSWER_TASKS = 2
LOST_ANSWER_TASK_S = 1.5
LOST_ANSWER_TASK_CPU_MILLIS = 600
LOST_ANSWER_DEADLINE_S = 4.0
COPY_DELAY_RANGE_S = (1.0, 3.0)
MAX_COPIES = 2


class FaultInjector:
    """Injects random faults and waits for them to end."""

    def __init__(self, cell, seed):
        self.cell = cell
        self.random = random.Random(seed)
        self.busy_targets = set()
        self.fault_log = []

    def random_duration(self):
        return self.random.uniform(*FAULT_DURATION_RANGE_S)

    async def run_exclusively(self, target, action):
        """Runs the action unless another one is using the target."""
        if target in self.busy_targets:
            return
        self.busy_targets.add(target)
        try:
            await action()
        finally:
            self.busy_targets.discard(target)

    def daemon_fault(self):
        daemon = self.random.choice(self.cell.entries + self.cell.agents)
        kind = self.random.choice(["kill", "freeze", "restart", "reload"])
        actions = {
            "kill": lambda: daemon.kill(self.random_duration()),
            "freeze": lambda: daemon.freeze(self.random_duration()),
            "restart": daemon.restart,
            "reload": lambda: reload_settings(daemon),
        }
        return f"{kind} {daemon.name}", daemon, actions[kind]

    def minion_fault(self):
        minion = self.random.choice(self.cell.minions)
        kind = self.random.choice(
            [
                "crash", "silence", "lose_answers", "errors", "refuse_stops", "leave",
                "drain", "odd_rows", "odd_report"
            ]
        )
        odd_report = self.random.choice(odd_input.reports())
        actions = {
            "crash": lambda: minion.crash(self.random_duration()),
            "silence": lambda: set_temporarily(
                minion, "mode", "silent", "up", self.random_duration()
            ),
            "lose_answers": lambda: lose_answers(minion, self.random_duration()),
            "errors": lambda: set_temporarily(
                minion, "error_rate", 0.2, 0.0, self.random_duration()
            ),
            "refuse_stops": lambda: set_temporarily(
                minion, "refuses_stops", True, False, self.random_duration()
            ),
            "leave": lambda: announce_end(minion),
            "drain": lambda: set_temporarily(
                minion, "draining", True, False, self.random_duration()
            ),
            "odd_rows": lambda: set_temporarily(
                minion, "odd_rows", odd_input.RUN_ROWS, [], self.random_duration()
            ),
            "odd_report": lambda: send_odd_report(minion, odd_report),
        }
        return f"{kind} of {minion.host}", minion, actions[kind]

    def store_fault(self):
        store = self.cell.store
        kind = self.random.choice(
            ["down", "silent", "leases", "history", "config", "odd_item"]
        )
        odd_item = self.random.choice(odd_input.store_items())
        actions = {
            "down": lambda: set_temporarily(
                store, "mode", "down", "up", self.random_duration()
            ),
            "silent": lambda: set_temporarily(
                store, "mode", "silent", "up", self.random_duration()
            ),
            "leases": lambda: end_all_leases(store),
            "history": lambda: discard_history(store),
            "config": lambda: add_queue_to_config(self.cell),
            "odd_item": lambda: put_odd_item(store, odd_item),
        }
        return f"store: {kind}", store, actions[kind]

    def network_fault(self):
        proxy = self.random.choice(self.cell.proxies)
        kind = self.random.choice(["delay", "up", "down", "silence", "reset"])
        actions = {
            "delay": lambda: set_temporarily(
                proxy, "delay_s", 0.08, 0.0, self.random_duration()
            ),
            "up": lambda: block_proxy(proxy, self.random_duration(), TO_TARGET),
            "down": lambda: block_proxy(proxy, self.random_duration(), FROM_TARGET),
            "silence": lambda: block_proxy(
                proxy, self.random_duration(), TO_TARGET, FROM_TARGET
            ),
            "reset": lambda: reset_proxy(proxy),
        }
        return f"network {kind} before {proxy.target}", proxy, actions[kind]

    def crashing_job(self):
        seed = self.random.getrandbits(32)
        client = LoadGenerator(
            self.cell, seed, tasks_per_job=2, task_outcome="crash"
        )
        return "job that crashes minions", client, lambda: client.submit(0)

    async def run(self, seconds):
        begin = time.monotonic()
        running = []
        while time.monotonic() - begin < seconds:
            make_fault = self.random.choice(
                [
                    self.daemon_fault,
                    self.minion_fault,
                    self.store_fault,
                    self.network_fault,
                    self.crashing_job,
                ]
            )
            name, target, action = make_fault()
            self.fault_log.append(f"{time.monotonic() - begin:.2f} {name}")
            running.append(
                asyncio.create_task(self.run_exclusively(id(target), action))
            )
            await asyncio.sleep(self.random.expovariate(1 / FAULT_INTERVAL_S))
        await asyncio.gather(*running)


class CrowdInjector:
    """Sends crowds of clients to random processes. Has a generator of its own, which
    keeps the faults that the seeds draw."""

    def __init__(self, cell, seed):
        self.cell = cell
        self.random = random.Random(f"crowd {seed}")
        self.crowd_log = []

    def next_crowd(self):
        kind = self.random.choice((1, 2))
        daemons = self.cell.entries if kind == 1 else self.cell.agents
        host = self.cell.host_address(kind, self.random.randrange(len(daemons)))
        ports = (CLIENT_PORT, READINESS_PORT, METRICS_PORT, LINK_PORT) if kind == 1 \
            else (REPORT_PORT, METRICS_PORT)
        port = self.random.choice(ports)
        count = self.random.randint(*CROWD_SIZE_RANGE)
        if port == CLIENT_PORT and self.random.random() < 0.7:
            payload = self.random.choice(JOB_PAYLOADS)
            first = self.random.getrandbits(40)
            groups = [((host, port), payload(first + n), 1) for n in range(count)]
        else:
            payload = self.random.choice(
                (crowd.frame, crowd.short_frame) if port == LINK_PORT else (
                    crowd.large_chunks, crowd.small_chunks, crowd.chunk_extensions,
                    crowd.header
                )
            )
            groups = [((host, port), payload(), count)]
        self.crowd_log.append(f"{count} x {payload.__name__} to {host}:{port}")
        return crowd.Crowd(groups)

    async def send(self, clients, open_s):
        try:
            await asyncio.to_thread(clients.send, CROWD_SEND_S)
            await asyncio.sleep(open_s)
        finally:
            clients.close()

    async def run(self, seconds):
        end = time.monotonic() + seconds
        running = []
        while time.monotonic() < end:
            open_s = self.random.uniform(*FAULT_DURATION_RANGE_S)
            running.append(asyncio.create_task(self.send(self.next_crowd(), open_s)))
            await asyncio.sleep(self.random.expovariate(1 / CROWD_INTERVAL_S))
        await asyncio.gather(*running)


class SignalInjector:
    """Sends several signals to a process in series, the last ones also while it stops,
    and starts it again. Has a generator of its own."""

    def __init__(self, fault_injector, seed):
        self.cell = fault_injector.cell
        self.fault_injector = fault_injector
        self.random = random.Random(f"signals {seed}")

    async def send_series(self, daemon):
        daemon.record_unexpected_exit()
        kinds = [
            self.random.choice((signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
            for _ in range(self.random.randint(*SERIES_SIGNALS))
        ]
        for kind in kinds + [signal.SIGTERM]:
            daemon.signal(kind)
            await asyncio.sleep(self.random.uniform(*SERIES_PAUSE_RANGE_S))
        code = await daemon.wait_for_exit(EXIT_TIMEOUT_S)
        if code != 0:
            names = ", ".join(kind.name for kind in kinds)
            self.cell.run_checker.violations.append(
                f"{daemon.name}: exit code {code} after {names}, SIGTERM"
            )
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()
        daemon.start()

    async def run(self, seconds):
        end = time.monotonic() + seconds
        running = []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.expovariate(1 / SERIES_INTERVAL_S))
            daemon = self.random.choice(self.cell.entries + self.cell.agents)
            self.fault_injector.fault_log.append(f"series of signals to {daemon.name}")
            running.append(
                asyncio.create_task(
                    self.fault_injector.run_exclusively(
                        id(daemon), lambda it=daemon: self.send_series(it)
                    )
                )
            )
        await asyncio.gather(*running)


class LostAnswerClients:
    """Submit jobs whose first answer is lost, and again 1.3 s later. Copies of the
    submission arrive at any entry. Has a generator of its own."""

    def __init__(self, cell, seed):
        self.cell = cell
        self.random = random.Random(f"lost answers {seed}")
        self.lost_answers = 0

    async def submit(self, job, entry):
        step = {
            "count": LOST_ANSWER_TASKS, "cpu": LOST_ANSWER_TASK_CPU_MILLIS,
            "task_memory_mb": 10, "estimated_ms": int(1000 * LOST_ANSWER_TASK_S)
        }
        spec = f"{LOST_ANSWER_TASK_S} {LOST_ANSWER_TASK_CPU_MILLIS} done"
        body = {"best_effort": True, "spec": spec, "steps": [step]}
        headers = {
            "Host": "h",
            "X-Dottereltrack-Deadline-Ms": str(int(1000 * LOST_ANSWER_DEADLINE_S)),
        }
        status, _ = await call_json(
            self.cell.client_addresses[entry], "POST", f"/q/{job}", body, headers,
            timeout=LOST_ANSWER_DEADLINE_S
        )
        return status

    async def submit_later(self, job, entry, delay_s):
        await asyncio.sleep(delay_s)
        return await self.submit(job, entry)

    async def play(self, job, attempts, copies):
        if await self.submit(job, attempts[0]) != 200:
            return
        self.lost_answers += 1
        await asyncio.gather(
            self.submit_later(job, attempts[1], RESEND_DELAY_S),
            *(self.submit_later(job, entry, delay_s) for entry, delay_s in copies)
        )

    async def run(self, seconds):
        end = time.monotonic() + seconds
        running = []
        entries = range(len(self.cell.entries))
        while time.monotonic() < end:
            job = f"{self.random.getrandbits(64):016x}"
            attempts = self.random.sample(entries, 2)
            copies = [
                (self.random.choice(entries), self.random.uniform(*COPY_DELAY_RANGE_S))
                for _ in range(self.random.randint(1, MAX_COPIES))
            ]
            running.append(asyncio.create_task(self.play(job, attempts, copies)))
            await asyncio.sleep(self.random.expovariate(1 / LOST_ANSWER_INTERVAL_S))
        await asyncio.gather(*running)


class LastingClient:
    """Submits jobs to one entry, one after the other, and keeps its connection until the
    entry ends it."""

    def __init__(self, cell, entry, number):
        self.cell = cell
        self.address = (cell.host_address(1, entry), CLIENT_PORT)
        self.next_job = (entry * LASTING_CLIENTS + number + 1) << 50
        self.refused_jobs = []
        self.answers = 0

    async def use_connection(self):
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            while True:
                self.next_job += 1
                writer.write(
                    job_crowd.ordinary_job(self.next_job, LASTING_DEADLINE_MS)
                )
                message = await read_message(reader)
                if message is None:
                    return
                self.answers += 1
                if int(message[0][1]) in REFUSALS:
                    self.refused_jobs.append(f"{self.next_job:016x}")
                await asyncio.sleep(LASTING_PAUSE_S)
        finally:
            writer.close()

    async def run(self):
        while True:
            try:
                await self.use_connection()
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def find_problems(self):
        started = self.cell.run_checker.started_jobs
        return [
            f"job {job} was refused but has run"
            for job in self.refused_jobs if job in started
        ]


async def reload_settings(daemon):
    daemon.signal(signal.SIGHUP)


async def set_temporarily(target, attribute, fault_value, normal_value, seconds):
    setattr(target, attribute, fault_value)
    await asyncio.sleep(seconds)
    setattr(target, attribute, normal_value)


async def lose_answers(minion, seconds):
    """Answers are late or, for some starts, lost with their connection; such a start is
    refused when it is resent."""
    minion.resend_refusal_rate = 0.1
    await set_temporarily(minion, "response_loss_rate", 0.2, 0.0, seconds)
    minion.resend_refusal_rate = 0.0


async def end_all_leases(store):
    for lease in list(store.leases):
        store.end_lease(lease)


async def discard_history(store):
    store.discard_history()
    store.server.abort_connections()


async def put_odd_item(store, text):
    store.put_odd_item(odd_input.ENTRY_PREFIX, text)


async def announce_end(minion):
    """The minion lives on, as after a leave whose answer is lost."""
    path = f"/-/instances/{minion.id}/deregister"
    await call_json(minion.agent, "POST", path, {}, timeout=1.0)


async def send_odd_report(minion, text):
    path = "/-/instances/odd/heartbeat"
    await call_json(minion.agent, "POST", path, text.encode(), timeout=1.0)


async def add_queue_to_config(cell):
    cell.write_config("q", f"more-{cell.config_version}")


async def block_proxy(proxy, seconds, *directions):
    proxy.block(*directions)
    await asyncio.sleep(seconds)
    proxy.restore()


async def reset_proxy(proxy):
    proxy.reset_connections()


async def evacuate_meanwhile(cell, seed, seconds):
    """Evacuates a data centre early in the run, once the store accepts writes, and
    another one for a while. Returns the one that stays evacuated."""
    # A generator of its own keeps the faults that the soak's seeds draw.
    generator = random.Random(f"evacuation {seed}")
    zones = ["z0", "z1"]
    generator.shuffle(zones)
    for n, zone in enumerate(zones):
        await asyncio.sleep(generator.uniform(0.1, seconds / 6))
        while cell.store.mode != "up":
            await asyncio.sleep(0.05)
        cell.evacuate(zone, EVACUATION_BOUND_S)
        if n == 0:
            await asyncio.sleep(generator.uniform(0.1, seconds / 6))
            cell.end_evacuation(zone)
    return zones[1]


def find_problems(cell, load_generator, recovered_at):
    problems = list(cell.run_checker.violations) + cell.find_undocumented_events()
    for daemon in cell.entries + cell.agents:
        if daemon.process.poll() is not None:
            problems.append(f"{daemon.name} exited with code {daemon.process.poll()}")
        else:
            memory_mb = crowd.peak_memory_mb(daemon.process.pid)
            if memory_mb > MACHINE_MEMORY_MB:
                problems.append(f"{daemon.name} has used {memory_mb:.0f} MB")
        problems += [f"{daemon.name} {exit}" for exit in daemon.unexpected_exits]
    completed, total = load_generator.count_completed()
    completed_after, total_after = load_generator.count_completed(recovered_at)
    print(
        f"{completed} of {total} jobs completed, "
        f"{completed_after} of {total_after} after the faults"
    )
    if total_after == 0 or completed_after < total_after:
        problems.append("not all jobs completed after the faults")
    return problems


async def run(cell, seed, seconds):
    fault_injector = FaultInjector(cell, seed)
    crowd_injector = CrowdInjector(cell, seed)
    signal_injector = SignalInjector(fault_injector, seed)
    lost_answer_clients = LostAnswerClients(cell, seed)
    clients = [
        LastingClient(cell, n, number)
        for n in range(len(cell.entries)) for number in range(LASTING_CLIENTS)
    ]
    client_tasks = []
    try:
        await cell.start()
        if not await cell.wait_ready():
            return ["the entries are not ready after 10 s"], fault_injector
        load_generator = LoadGenerator(cell, seed, jobs_per_s=JOBS_PER_S)
        begin = time.monotonic()
        client_tasks = [asyncio.create_task(it.run()) for it in clients]
        load_task = asyncio.create_task(load_generator.run(10 * seconds + 60))
        zone, *_ = await asyncio.gather(
            evacuate_meanwhile(cell, seed, seconds),
            fault_injector.run(seconds),
            crowd_injector.run(seconds),
            signal_injector.run(seconds),
            lost_answer_clients.run(seconds),
        )
        fault_injector.fault_log += crowd_injector.crowd_log
        await asyncio.sleep(RECOVERY_S)
        cell.run_checker.evacuated_from[zone] = time.monotonic()
        await asyncio.sleep(EVACUATION_CHECK_S)
        cell.end_evacuation(zone)
        await asyncio.sleep(RECOVERY_S)
        recovered_at = time.monotonic() - begin
        await asyncio.sleep(LOAD_AFTER_RECOVERY_S)
        load_generator.stop()
        await load_task
        problems = find_problems(cell, load_generator, recovered_at)
        print(f"{lost_answer_clients.lost_answers} answers were lost")
        for client in clients:
            problems += client.find_problems()
            if client.answers == 0:
                problems.append(f"no answer to the client of {client.address}")
        return problems, fault_injector
    finally:
        for task in client_tasks:
            task.cancel()
        await cell.stop()


def main():
    seed = int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_SECONDS
    # Cells of different seeds use different addresses, so that they can run side by
    # side.
    entries, agents = (int(it) for it in sys.argv[4:6] or (4, 4))
    cell = Cell(
        sys.argv[1], 20 + seed % 100, entries, agents, use_proxies=True,
        overloaded_entries=(0,)
    )
    problems, fault_injector = asyncio.run(run(cell, seed, seconds))
    if not problems:
        return 0
    print(f"seed {seed}")
    print("\n".join(problems + fault_injector.fault_log))
    print(cell.log_tails())
    return 1


sys.exit(main())
