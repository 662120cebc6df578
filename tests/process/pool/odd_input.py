"""Input that other programs have written and that no process of a pool can use."""

import time

DEEP_ARRAY = "[" * 200_000 + "1" + "]" * 200_000
DEEP_OBJECT = '{"a":' * 200_000 + "1" + "}" * 200_000
ENTRY_PREFIX = "dottereltrack/entries/"

# Base64 of "10.0.0.1:70000", of "nowhere" and of "[[[".
PORT_OUT_OF_RANGE, NO_ADDRESS, BRACKETS = "MTAuMC4wLjE6NzAwMDA=", "bm93aGVyZQ==", "W1tb"


def store_items():
    """Items of the store as JSON texts."""
    key = f'"key":"{ENTRY_PREFIX}odd"'
    return [
        f'{{{key},"value":"{PORT_OUT_OF_RANGE}","revision":5}}',
        f'{{{key},"value":"{NO_ADDRESS}","revision":5}}',
        f'{{{key},"value":"{BRACKETS}","revision":5}}',
        f'{{{key},"value":"no base64!","revision":5}}',
        f'{{{key},"value":"","revision":1e999}}',
        f'{{{key},"value":"","revision":-1}}',
        f'{{{key},"value":{DEEP_ARRAY},"revision":5}}',
        f'{{{key},"value":{DEEP_OBJECT},"revision":5}}',
        f'{{"key":"{ENTRY_PREFIX}a&b#c %","value":"{NO_ADDRESS}","revision":5}}',
        '{"value":"","revision":5}',
        "17",
        DEEP_ARRAY,
    ]


def report(**fields):
    """A minion's report as JSON text; `fields` are JSON texts that replace others."""
    values = {
        "service": '"svc"',
        "address": '"127.0.0.1:9"',
        "zone": '"z0"',
        "version": '"v1"',
        "slots": "8",
        "state": '"ready"',
        "cold_remaining_ms": "0",
        "capacity": '{"cpu":1000,"task_memory_mb":1000,"gpu":0}',
        "labels": '["a","r1"]',
        "clock_ms": "1",
        "sequence": "1",
        "born": "1",
        **fields,
    }
    return "{" + ",".join(f'"{k}":{v}' for k, v in values.items() if v) + "}"


# Fields that each report of a minion has.
REPORT_FIELDS = [
    "service", "address", "zone", "version", "slots", "state", "cold_remaining_ms",
    "capacity", "labels", "clock_ms", "sequence",
]


def complete_report(**fields):
    """A report whose sender would have started just now, so that it would replace the
    minion of the machine. Nothing listens at its address."""
    return report(born=str(int(time.time() * 1000)), **fields)


def incomplete_reports():
    """Reports that lack one field each."""
    return [complete_report(**{field: ""}) for field in REPORT_FIELDS]


def reports():
    """Reports of minions as JSON texts; none of them names a minion to use."""
    return incomplete_reports() + [
        "no json",
        "[]",
        DEEP_ARRAY,
        report(labels=DEEP_ARRAY),
        report(capacity=DEEP_OBJECT),
        report(address='"10.0.0.1:70000"'),
        report(address='"10.0.0.1:0"'),
        report(sequence="1e999"),
        report(born="9223372036854775807"),
        report(born="9007199254740992"),
        report(capacity='{"cpu":-1}'),
        report(state='"asleep"'),
        report(service='"another"'),
    ]


# Rows of a minion's lists of runs.
RUN_ROWS = [7, "x", [], ["x", 1, "", 0, 0], [None, -1, "", 0, 0]]
