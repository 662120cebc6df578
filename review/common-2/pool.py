"""A cell of the deployed programs for the cases of the second review: the project's own
stand-ins, a record of what was sent, answered and run, and a client that follows
PROTOCOL.md."""

import asyncio
import os
import pathlib
import socket
import sys
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(REPOSITORY / "tests/process/pool"))
sys.dont_write_bytecode = True

from cell import LINK_PORT, STORE_PORT, Cell  # noqa: E402
from web import call_json  # noqa: E402

# The build folder of deploy/system.toml.
BUILD = REPOSITORY / "target"
EXIT_HELD, EXIT_BROKEN, EXIT_CANNOT_RUN = 0, 1, 2
# Bounds of the sites in force.
RESEND_S = 1.3
CONTACT_S = 3.0
CLIENT_DEADLINE_S = 1.5
REFUSALS = (404, 429, 503)


class CannotRun(Exception):
    """The case cannot be judged, for a reason that the message gives."""


class Record:
    """Writes record.txt: one line for each thing that a client, a minion or the
    operator has seen."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_cell_number():
    """A number whose loopback addresses are not in use."""
    for number in range(20, 200):
        with socket.socket() as store, socket.socket() as link:
            try:
                store.bind((f"127.{40 + number}.0.1", STORE_PORT))
                link.bind((f"127.{40 + number}.1.1", LINK_PORT))
            except OSError:
                continue
            return number
    raise CannotRun("no free loopback addresses")


def make_cell(minion_type=None, entries=4, agents=11, **options):
    """A cell of the size of the small sites. `minion_type` replaces the stand-in for
    minions."""
    cell = Cell(BUILD, find_free_cell_number(), entries, agents, **options)
    if minion_type is not None:
        for minion in cell.minions:
            minion.__class__ = minion_type
    return cell


def make_job(spec, count, cpu_millis, estimate_ms):
    return {
        "best_effort": True,
        "spec": spec,
        "steps": [
            {
                "count": count,
                "cpu": cpu_millis,
                "task_memory_mb": 10,
                "estimated_ms": estimate_ms,
            }
        ],
    }


async def submit(record, cell, entry, job, body, deadline_s=CLIENT_DEADLINE_S):
    """One attempt to hand a job in. Returns the status and the answer; status 0 if
    there was none."""
    record.write(f"client: POST /q/{job} to entry-{entry + 1}")
    status, answer = await call_json(
        cell.client_addresses[entry],
        "POST",
        f"/q/{job}",
        body,
        {"Host": "h", "X-Dottereltrack-Deadline-Ms": str(int(deadline_s * 1000))},
        timeout=deadline_s,
    )
    record.write(f"client: job {job} answered {status or 'not at all'} {answer or ''}")
    return status, answer


async def submit_until_answered(record, cell, job, body, until_s, first_entry=0):
    """Hands a job in again `resend_ms` after each attempt that was not answered or
    answered with 502 or 504. Returns the last status and answer."""
    attempt = first_entry
    status, answer = 0, None
    while record.now() < until_s:
        status, answer = await submit(
            record, cell, attempt % len(cell.entries), job, body
        )
        if status not in (0, 502, 504):
            break
        attempt += 1
        await asyncio.sleep(RESEND_S)
    return status, answer


def run_case(folder, play):
    """Runs `play(record)`, which returns the broken rules as texts, and exits with the
    code of the case."""
    if not (BUILD / "apps/pool_entry/dotterel-pool-entry").exists():
        print("cannot run: build the programs of deploy/system.toml first")
        sys.exit(EXIT_CANNOT_RUN)
    record = Record(folder)
    try:
        broken = asyncio.run(play(record))
    except (CannotRun, OSError) as problem:
        record.write(f"cannot run: {problem}")
        print(f"cannot run: {problem}")
        sys.exit(EXIT_CANNOT_RUN)
    for text in broken:
        record.write(f"BROKEN: {text}")
        print(f"broken: {text}")
    if not broken:
        record.write("the rule held")
        print("the rule held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
