"""Runs a pool with a crowd of untrusted clients: run_untrusted.py BUILD CASE.

Guards against a process that ends, hangs, or uses more memory or descriptors than its
machine has, because many clients leave their requests or frames unfinished. Checks no
times and no share of served requests. Without arguments, prints the cases."""

import asyncio
import sys

import crowd
from cell import (CLIENT_PORT, LINK_PORT, METRICS_PORT, READINESS_PORT, REPORT_PORT,
                  Cell, LoadGenerator)
from web import fetch_text

# Not used by the scenarios and the soak.
CELL = 175
LIMITS = {"memory_mb": 100, "file_descriptors": 1_500}
SEND_S = 20.0
# Lets the process read what the kernel still holds before its memory is compared.
SETTLE_S = 3.0
ATTEMPTS = 5
ATTEMPT_TIMEOUT_S = 5.0
ENTRY, AGENT = 1, 2

# Number of connections for each kind of payload: about 330 MB on the unchanged server.
BODIES = ((crowd.large_chunks, 400), (crowd.small_chunks, 200),
          (crowd.chunk_extensions, 100))

# Rows: the process, and payloads with their number of connections for each port.
CASES = {
    "entry-clients": (ENTRY, {CLIENT_PORT: BODIES}),
    "entry-readiness": (ENTRY, {READINESS_PORT: BODIES}),
    "entry-metrics": (ENTRY, {METRICS_PORT: BODIES}),
    "entry-links": (ENTRY, {LINK_PORT: ((crowd.frame, 600),)}),
    "entry-headers": (
        ENTRY,
        {
            LINK_PORT: ((crowd.short_frame, 500),),
            CLIENT_PORT: ((crowd.header, 500),),
            READINESS_PORT: ((crowd.header, 500),),
            METRICS_PORT: ((crowd.header, 500),),
        },
    ),
    "agent-reports": (AGENT, {REPORT_PORT: BODIES}),
    "agent-metrics": (AGENT, {METRICS_PORT: BODIES}),
    "agent-headers": (
        AGENT,
        {port: ((crowd.header, 800),) for port in (REPORT_PORT, METRICS_PORT)},
    ),
}


async def job_completes(cell):
    client = LoadGenerator(cell, seed=1, tasks_per_job=1)
    await client.submit(0, ATTEMPT_TIMEOUT_S)
    return client.count_completed()[0] == 1


async def serves_metrics(cell, kind):
    address = (cell.host_address(kind, 0), METRICS_PORT)
    return bool(await fetch_text(address, "/metrics", ATTEMPT_TIMEOUT_S))


async def accepts_report(cell):
    return (await cell.minions[0].send_report())[0] == 200


async def is_answered(request):
    for _ in range(ATTEMPTS):
        if await request():
            return True
        await asyncio.sleep(1.0)
    return False


async def find_unanswered(cell, kind):
    requests = {
        "a job": lambda: job_completes(cell),
        "a request for metrics": lambda: serves_metrics(cell, kind),
    }
    if kind == AGENT:
        requests["a report"] = lambda: accepts_report(cell)
    return [
        f"{name} is not answered while the crowd is connected"
        for name, request in requests.items() if not await is_answered(request)
    ]


async def run(cell, name):
    kind, ports = CASES[name]
    daemon = (cell.entries if kind == ENTRY else cell.agents)[0]
    host = cell.host_address(kind, 0)
    clients = crowd.Crowd(
        [
            ((host, port), payload(), count)
            for port, payloads in ports.items() for payload, count in payloads
        ]
    )
    try:
        await cell.start()
        if not await cell.wait_ready():
            return ["the entry is not ready after 10 s"]
        pid = daemon.process.pid
        with crowd.DescriptorCount(pid) as descriptors:
            await asyncio.to_thread(clients.send, SEND_S)
            await asyncio.sleep(SETTLE_S)
            unanswered = await find_unanswered(cell, kind)
        return unanswered + crowd.find_problems(
            pid, lambda: daemon.process.poll() is None, descriptors.highest,
            LIMITS["memory_mb"], LIMITS["file_descriptors"]
        ) + cell.run_checker.violations + cell.find_undocumented_events()
    finally:
        clients.close()
        await cell.stop()


def main():
    if len(sys.argv) == 1:
        print("\n".join(CASES))
        return 0
    cell = Cell(
        sys.argv[1], CELL, entries=1, agents=1, extra_settings={"limits": LIMITS}
    )
    problems = asyncio.run(run(cell, sys.argv[2]))
    if not problems:
        return 0
    print("\n".join(problems))
    print(cell.log_tails())
    return 1


sys.exit(main())
