"""Test jobs, and a caller that resubmits them as documented for callers."""

import dataclasses
import hashlib
import random
import struct
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Callable, Tuple

from api import ABORTED, NOT_CONNECTED, call

RESUBMIT_WAIT_S = 0.2
# Far longer than any job takes; only prevents a hanging test.
SUBMIT_TIMEOUT_S = 120.0
SAME_KEY = ("no_dispatcher", "undecided", "not_found")


@dataclasses.dataclass(frozen=True)
class JobSpec:
    """A job to submit. Each payload contains the names of its job and task."""

    name: str
    team: str
    payloads: Tuple[str, ...]
    timed_key: bool
    first_entry: int


@dataclasses.dataclass(frozen=True)
class JobRun:
    """State and outcome of the submission of a job."""

    spec: JobSpec
    key: str
    answer: Any = None
    # Keys that were refused with not_run; none of their tasks may be started.
    refused_keys: Tuple[str, ...] = ()
    attempts: int = 0
    # Number of calls whose connection ended without a response.
    aborted: int = 0
    # Unix time at which the key was created.
    issued_at: float = 0.0


def submission_id(team, key):
    """Returns the submission id that the system derives from a team and a
    key."""
    team_bytes = team.encode()
    data = struct.pack("<Q", len(team_bytes)) + team_bytes + key.encode()
    return hashlib.sha256(data).digest()[:16].hex()


def make_jobs(count, max_tasks, max_ms, seed, keys="both"):
    """Returns jobs of 1 to max_tasks tasks. Keys are "timed", "opaque" or
    "both" (alternating)."""
    rng = random.Random(seed)
    jobs = []
    for n in range(count):
        payloads = tuple(
            f"{rng.randint(10, max_ms)} job-{n}-task-{k}-{rng.getrandbits(32)}"
            for k in range(rng.randint(1, max_tasks)))
        jobs.append(JobSpec(f"job-{n}", rng.choice(("north", "south")),
                            payloads, keys == "timed" or
                            (keys == "both" and n % 2 == 0), n // 2 % 2))
    return jobs


def make_key(spec):
    if not spec.timed_key:
        return f"{spec.name}-{uuid.uuid4().hex}"
    ms = int(time.time() * 1000)
    value = (ms << 80) | (0x7 << 76) | (random.getrandbits(12) << 64)
    value |= (0x2 << 62) | random.getrandbits(62)
    return str(uuid.UUID(int=value))


def body_of(spec, key):
    return {"team": spec.team, "key": key, "deadline_ms": 60000,
            "tasks": [{"payload": payload,
                       "declared_ms": max(1, int(payload.split()[0]))}
                      for payload in spec.payloads]}


def after_refusal(run, error):
    """Returns the run with a new key if the refusal says that nothing ran
    (not_run), and with the same key otherwise."""
    if error.get("outcome") != "not_run":
        return run
    return dataclasses.replace(run, key=make_key(run.spec),
                               issued_at=time.time(),
                               refused_keys=run.refused_keys + (run.key,))


def submit(spec, entries: Callable[[], list]):
    """Submits a job until there is an answer. `entries` returns the addresses
    that the load balancer would choose from."""
    run = JobRun(spec, make_key(spec), issued_at=time.time())
    end = time.monotonic() + SUBMIT_TIMEOUT_S
    while time.monotonic() < end:
        choices = entries()
        address = choices[(spec.first_entry + run.attempts) % len(choices)]
        response = call(address, "POST", "/v1/jobs", body_of(spec, run.key))
        run = dataclasses.replace(
            run, attempts=run.attempts + 1,
            aborted=run.aborted + (1 if response.status == ABORTED else 0))
        body = response.body if isinstance(response.body, dict) else {}
        if response.status == 200 and "tasks" in body:
            return dataclasses.replace(run, answer=body)
        if response.status not in (NOT_CONNECTED, ABORTED, 202):
            run = after_refusal(run, body.get("error", {}))
        time.sleep(RESUBMIT_WAIT_S)
    return run


def run_jobs(jobs, entries, threads=16, on_progress=None):
    """Runs jobs concurrently. Calls on_progress with the number of finished
    jobs after each job."""
    lock = threading.Lock()
    finished = []

    def run_one(spec):
        run = submit(spec, entries)
        with lock:
            finished.append(run)
            n = len(finished)
        if on_progress:
            on_progress(n)
        return run

    with ThreadPoolExecutor(threads) as pool:
        return list(pool.map(run_one, jobs))
