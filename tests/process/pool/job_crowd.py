"""Complete submissions of a crowd of untrusted clients. Each body is within the limits of
the platform by itself."""

import json

LONG_DEADLINE_MS = 300_000
SHORT_DEADLINE_MS = 1
TASKS_OF_LARGE_JOB = 1_000
TASKS_WITHOUT_NEEDS = 4_000
LARGE_SPEC_BYTES = 200_000
LONGEST_SPEC_BYTES = 3_900
TASK_CPU_MILLIS = 6_000
PIPELINED_JOBS = 41
LARGE_SPECS_PER_CONNECTION = 1
ENDED_JOBS_PER_CONNECTION = 60
# Duration, cpu and outcome, for the stand-in of a minion.
SPEC = "0.1 6000 done"


def submission(job_id, step, spec=SPEC, deadline_ms=LONG_DEADLINE_MS):
    body = json.dumps({"best_effort": True, "spec": spec, "steps": [step]}).encode()
    header = (
        f"POST /q/{job_id:016x} HTTP/1.1\r\nHost: h\r\n"
        f"X-Dottereltrack-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return header.encode() + body


def pipeline(client, count, *job):
    """Returns `count` submissions of the same job under ids of their own."""
    return b"".join(submission(client << 20 | n, *job) for n in range(count))


def waiting_job(client):
    """A job that needs more than the whole pool, and states no duration."""
    step = {"count": TASKS_OF_LARGE_JOB, "cpu": TASK_CPU_MILLIS}
    return submission(client << 20, step)


def pipelined_jobs(client):
    step = {"count": 100, "cpu": TASK_CPU_MILLIS}
    return pipeline(client, PIPELINED_JOBS, step)


def repeated_job(_):
    """The same job from all clients, several times from each."""
    step = {"count": 1, "cpu": 10 * TASK_CPU_MILLIS}
    return submission(1, step) * PIPELINED_JOBS


def unread_jobs(client):
    """As many waiting jobs as the server reads from one connection."""
    step = {"count": 1, "cpu": TASK_CPU_MILLIS}
    return pipeline(client, 4, step, "30 6000 done")


def large_specs(client):
    step = {"count": 1, "cpu": TASK_CPU_MILLIS}
    spec = SPEC + " " * LARGE_SPEC_BYTES
    return pipeline(client, LARGE_SPECS_PER_CONNECTION, step, spec)


def large_label(client):
    step = {"count": 1, "cpu": TASK_CPU_MILLIS, "affinity": "r" * LARGE_SPEC_BYTES}
    return submission(client << 20, step)


def ended_jobs(client):
    """Jobs whose deadline passes at once, so that their outcomes are kept."""
    step = {"count": 1, "cpu": TASK_CPU_MILLIS}
    spec = SPEC + " " * LONGEST_SPEC_BYTES
    return pipeline(client, ENDED_JOBS_PER_CONNECTION, step, spec, SHORT_DEADLINE_MS)


def tasks_without_needs(client):
    """Tasks that fit on each minion in any number."""
    spec = "30 0 done" + " " * LONGEST_SPEC_BYTES
    return submission(client << 20, {"count": TASKS_WITHOUT_NEEDS}, spec)


def ordinary_job(job_id, deadline_ms):
    step = {"count": 1, "cpu": TASK_CPU_MILLIS, "estimated_ms": 100}
    return submission(job_id, step, SPEC, deadline_ms)
