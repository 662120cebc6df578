"""Faults that a pool of real processes must tolerate. Each row: name, the fault, and
the smallest share of jobs that must complete during it. In all scenarios no task may
have two runs at once, no minion may exceed its capacity, no refused job may have run,
and from 2 s after the fault on all jobs must complete."""

import asyncio
import json
import signal

import odd_input
from cell import RESEND_DELAY_S, TASK_CPU_MILLIS, LoadGenerator
from web import call_json


async def no_fault(cell):
    await asyncio.sleep(0)


async def kill_agent(cell):
    await cell.agents[0].kill(0.5)


async def kill_entry(cell):
    await cell.entries[0].kill(0.5)


async def freeze_agent(cell):
    await cell.agents[0].freeze(2.0)


async def freeze_entry(cell):
    await cell.entries[0].freeze(2.0)


async def kill_all(cell):
    daemons = cell.entries + cell.agents
    await asyncio.gather(*(daemon.kill(0.5) for daemon in daemons))


async def restart_entries_in_turn(cell):
    for daemon in cell.entries:
        await daemon.restart()


async def restart_agents_in_turn(cell):
    for daemon in cell.agents[:2]:
        await daemon.restart()


async def crash_minion(cell):
    await cell.minions[0].crash(1.0)


async def silence_minion(cell):
    cell.minions[0].mode = "silent"
    await asyncio.sleep(1.5)
    cell.minions[0].mode = "up"


async def lose_responses(cell):
    for minion in cell.minions[:2]:
        minion.response_loss_rate = 0.2
    await asyncio.sleep(2.0)
    for minion in cell.minions:
        minion.response_loss_rate = 0.0


async def answer_with_errors(cell):
    for minion in cell.minions:
        minion.error_rate = 0.2
    await asyncio.sleep(2.0)
    for minion in cell.minions:
        minion.error_rate = 0.0


async def refuse_resent_starts(cell):
    """Minions execute starts, close the connections without a response, and refuse these
    starts when libcurl resends them on other connections."""
    for minion in cell.minions:
        minion.resend_refusal_rate = 0.2
    await asyncio.sleep(2.0)
    for minion in cell.minions:
        minion.resend_refusal_rate = 0.0


async def refuse_stops_and_kill_entry(cell):
    """The clients of long jobs submit them to another entry while the minions refuse to
    stop the runs that the first entry has started."""
    client = LoadGenerator(cell, seed=8, tasks_per_job=1, task_duration_s=2.0)
    jobs = [asyncio.create_task(client.submit(0, timeout_s=8.0)) for _ in range(8)]
    await asyncio.sleep(0.3)
    for minion in cell.minions:
        minion.refuses_stops = True
    await cell.entries[0].kill(0.5)
    await asyncio.sleep(2.0)
    for minion in cell.minions:
        minion.refuses_stops = False
    await asyncio.gather(*jobs)


async def submit_twice(cell, job, patience_s):
    """A client submits a long job, leaves, and submits it to another entry."""
    body = {
        "best_effort": True,
        "spec": f"2.0 {TASK_CPU_MILLIS} done",
        "steps": [
            {"count": 1, "cpu": TASK_CPU_MILLIS, "task_memory_mb": 10,
             "estimated_ms": 2000}
        ],
    }
    headers = {"Host": "h", "X-Dottereltrack-Deadline-Ms": "8000"}
    for n, timeout in ((0, patience_s), (1, 3.0)):
        address = cell.client_addresses[n]
        await call_json(address, "POST", f"/q/{job}", body, headers, timeout)
        await asyncio.sleep(RESEND_DELAY_S)


async def refuse_stops_while_clients_leave(cell, fault):
    """Clients leave while the minions refuse to stop their runs; then `fault` happens."""
    patience_s = 0.5
    clients = [
        asyncio.create_task(submit_twice(cell, f"{n + 1:016x}", patience_s))
        for n in range(8)
    ]
    await asyncio.sleep(patience_s - 0.05)
    for minion in cell.minions:
        minion.refuses_stops = True
    await fault()
    await asyncio.sleep(1.5)
    for minion in cell.minions:
        minion.refuses_stops = False
    await asyncio.gather(*clients)


async def refuse_stops_and_pause_entry(cell):
    """The entry learns 0.3 s late that its clients have left; the pause is too short
    to be noticed."""
    await refuse_stops_while_clients_leave(cell, lambda: cell.entries[0].freeze(0.35))


async def refuse_stops_and_restart_agents(cell):
    """The agents are replaced shortly before they would let the leases lapse."""

    async def restart_agents():
        await asyncio.sleep(0.8)
        await asyncio.gather(*(agent.kill(0.0) for agent in cell.agents))

    await refuse_stops_while_clients_leave(cell, restart_agents)


async def take_store_down(cell):
    cell.store.mode = "down"
    await asyncio.sleep(2.0)
    cell.store.mode = "up"


async def silence_store_and_kill_entry(cell):
    cell.store.mode = "silent"
    cell.store.server.abort_connections()
    await cell.entries[0].kill(0.2)
    await asyncio.sleep(1.5)
    cell.store.mode = "up"
    cell.store.server.abort_connections()


async def lose_store_history(cell):
    cell.store.discard_history()
    cell.store.server.abort_connections()
    cell.write_config("q", "more")
    await asyncio.sleep(0.5)


async def drain_minion(cell):
    cell.minions[0].draining = True
    await cell.minions[0].send_report()
    await asyncio.sleep(1.0)
    cell.minions[0].draining = False
    await cell.minions[0].send_report()


async def reload_all_settings(cell):
    """Changes the settings files with and without a signal, one of them to an invalid
    file."""
    daemons = cell.entries + cell.agents
    for daemon in daemons:
        settings = json.loads(daemon.settings_path.read_text())
        daemon.settings_path.write_text(
            json.dumps({**settings, "seeds": ["127.0.0.9:8166"]})
        )
    daemons[0].signal(signal.SIGHUP)
    for daemon in daemons:
        await cell.expect_event(daemon, "reload", changed=["seeds"])
    daemons[0].settings_path.write_text("{")
    await cell.expect_event(daemons[0], "reload_refused")


async def write_odd_input(cell):
    """Another program writes to the store and to the agents while processes run, while
    they list the store again and while they start."""
    for text in odd_input.store_items():
        cell.store.put_odd_item(odd_input.ENTRY_PREFIX, text)
    cell.store.put_odd_item("op/", '{"key":7,"value":"","revision":5}')
    for minion in cell.minions[:2]:
        minion.odd_rows = odd_input.RUN_ROWS
        for n, text in enumerate(odd_input.reports()):
            path = f"/-/instances/odd-{n}/heartbeat"
            await call_json(minion.agent, "POST", path, text.encode())
    await asyncio.sleep(0.5)
    cell.store.discard_history()
    cell.store.server.abort_connections()
    await cell.entries[0].kill(0.1)
    await cell.agents[0].kill(0.1)
    for daemon in cell.entries + cell.agents:
        await cell.expect_event(daemon, "store_item_refused")
        daemon.record_unexpected_exit()
        cell.run_checker.violations += daemon.unexpected_exits
    await cell.expect_event(cell.agents[1], "run_rows_refused")
    await cell.expect_event(cell.agents[1], "report_refused")
    cell.write_config("q", "more")
    for daemon in cell.entries:
        await cell.expect_event(daemon, "config_adopted", version=cell.config_version)


async def evacuate_data_centre(cell):
    """One of two data centres is evacuated; then an entry restarts without the store,
    and the evacuation is taken back."""
    zone = "z0"
    checker = cell.run_checker
    cell.store.put("op/wave/1", "no JSON")
    cell.store.put("op/evacuate/z1", "no JSON")
    # The project's target; the operators' bound is 5 s.
    cell.evacuate(zone, bound_s=1.0)
    for daemon in cell.entries + cell.agents:
        await cell.expect_event(daemon, "evacuation_started", data_centre=zone)
    await cell.expect_event(cell.entries[1], "store_item_refused", key="op/evacuate/z1")
    await asyncio.sleep(1.5)
    starts = checker.starts_by_zone[zone]
    refusals = await cell.start_by_uninformed_entry()
    # The minions of the other data centre carry the load and may be full.
    allowed = {"z0 not_accepting", "z1 started", "z1 no_room"}
    if len(refusals) != len(cell.agents) or not allowed.issuperset(refusals):
        checker.violations.append(f"starts of an uninformed entry: {refusals}")
    entry = cell.entries[0]
    await cell.restart_without_store(entry)
    await asyncio.sleep(1.0)
    events = entry.read_events()
    begin = max(n for n, line in enumerate(events) if line["event"] == "started")
    names = [line["event"] for line in events[begin:]]
    if "config_adopted" not in names:
        checker.violations.append("the restarted entry has no configuration")
    elif "evacuation_started" not in names[:names.index("config_adopted")]:
        checker.violations.append("the restarted entry has not learned of it in time")
    if checker.starts_by_zone[zone] != starts:
        checker.violations.append(f"runs have started in {zone}")
    cell.end_evacuation(zone)
    for daemon in cell.entries + cell.agents:
        await cell.expect_event(daemon, "evacuation_ended", data_centre=zone)
    # The capacity returns within 3 s, and at low load the emptiest minions are used.
    for _ in range(100):
        if checker.starts_by_zone[zone] != starts:
            break
        await asyncio.sleep(0.1)
    if checker.starts_by_zone[zone] == starts:
        checker.violations.append(f"no run has started in {zone} after the end")
    keys = {line.get("key") for line in cell.entries[1].read_events()}
    if "op/wave/1" in keys:
        checker.violations.append("an unused key was logged")


async def write_large_configs(cell):
    """The configuration grows to 1,400 queues and changes three times a second. The
    store refuses one entry, which gets each version from another one. Guards against an
    entry that stays behind, or that answers by an older version."""
    refused = cell.entries[2]
    settings = json.loads(refused.settings_path.read_text())
    settings["platform"]["address"] = "127.0.0.1:9"
    refused.settings_path.write_text(json.dumps(settings))
    await refused.kill(0.2)
    await cell.expect_event(refused, "config_adopted", version=cell.config_version)
    for _ in range(6):
        names = [f"queue-{cell.config_version}-{n}" for n in range(1_399)]
        cell.write_config("q", *names)
        await asyncio.sleep(0.33)
    for daemon in cell.entries:
        await cell.expect_event(daemon, "config_adopted", version=cell.config_version)
    await cell.expect_event(refused, "config_requested", version=cell.config_version)
    client = LoadGenerator(cell, seed=9)
    for n in range(len(cell.entries)):
        status = await client.submit_to(n, names[-1])
        if status != 200:
            cell.run_checker.violations.append(
                f"entry {n + 1} answers {status} for a queue of the last version"
            )


def has_config_since_start(daemon):
    events = [line["event"] for line in daemon.read_events()]
    return "config_adopted" in events[len(events) - events[::-1].index("started"):]


async def restart_entries_without_store(cell):
    """All entries lose their memory while the store is unavailable, after the agents
    have had time to copy the configuration. Guards against a pool that refuses all jobs
    until the store returns."""
    for daemon in cell.entries:
        settings = json.loads(daemon.settings_path.read_text())
        settings["limits"] = {"link_mbps": 200}
        daemon.settings_path.write_text(json.dumps(settings))
        await daemon.kill(0.0)
    for daemon in cell.agents:
        await cell.expect_event(daemon, "config_kept", 15.0, version=cell.config_version)
    cell.store.mode = "down"
    await asyncio.gather(*(daemon.kill(0.2) for daemon in cell.entries))
    for _ in range(20):
        await asyncio.sleep(0.1)
        if all(has_config_since_start(daemon) for daemon in cell.entries):
            break
    else:
        cell.run_checker.violations.append("an entry has got no configuration")
    cell.store.mode = "up"


async def announce_ends_that_do_not_come(cell):
    """An agent gets leaves of its minion, which goes on; another gets complete reports
    of minions that do not exist. Until their minion's next report, both may be without a
    minion."""
    leaving, replaced = cell.minions[:2]
    # Jobs of longer tasks, so that both minions have runs each time.
    client = LoadGenerator(cell, seed=8, tasks_per_job=6, task_duration_s=0.4)
    jobs = []
    for n in range(6):
        jobs.append(asyncio.create_task(client.submit(0)))
        await asyncio.sleep(0.1)
        path = f"/-/instances/{leaving.id}/deregister"
        await call_json(leaving.agent, "POST", path, {})
        path = f"/-/instances/other-{n}/heartbeat"
        text = odd_input.complete_report()
        await call_json(replaced.agent, "POST", path, text.encode())
        await asyncio.sleep(0.9)
    await asyncio.gather(*jobs)


async def crash_minions_by_a_task(cell):
    """A task crashes each minion that starts it. Its entry is killed after the first
    crash, so that its client submits the job to another one."""
    client = LoadGenerator(cell, seed=7, tasks_per_job=2, task_outcome="crash")
    submission = asyncio.create_task(client.submit(0, timeout_s=8.0))
    crashes = cell.run_checker.crashes
    while not crashes and not submission.done():
        await asyncio.sleep(0.01)
    job = next(iter(crashes)).split(".")[0]
    for daemon in cell.entries:
        if await has_lost_run(daemon, job):
            await daemon.kill(0.5)
    await submission
    state = client.outcomes[0][2]
    if state != "failed":
        cell.run_checker.violations.append(f"the job that crashes minions is {state}")


async def has_lost_run(daemon, job):
    """Whether a run of the job was lost at this entry within the next second."""
    for _ in range(10):
        await asyncio.sleep(0.05)
        for line in daemon.read_events():
            if line["event"] == "run_ended" and line["job"] == job:
                return True
    return False


async def forward_and_kill_owner(cell):
    """An overloaded entry forwards jobs; then the first and the second entry are killed
    in turn, each of which may own or have forwarded some of the open jobs."""
    first = cell.entries[0]
    await cell.expect_event(first, "overload_entered")
    await cell.expect_event(first, "job_forwarded")
    client = LoadGenerator(cell, seed=9, tasks_per_job=2, task_duration_s=1.0)
    jobs = [asyncio.create_task(client.submit(0, timeout_s=8.0)) for _ in range(8)]
    await asyncio.sleep(0.4)
    await cell.entries[1].kill(0.5)
    await asyncio.sleep(1.0)
    await first.kill(0.5)
    await asyncio.gather(*jobs)
    # The restarted entry finds its peers again and forwards as before.
    await cell.expect_event(first, "overload_entered")


# Numbers of the entries that forward jobs at any load, by scenario.
OVERLOADED_ENTRIES = {"overloaded entry": (0,)}

SCENARIOS = {
    "calm": (no_fault, 1.0),
    "agent killed": (kill_agent, 0.95),
    "entry killed": (kill_entry, 0.95),
    "agent frozen": (freeze_agent, 0.95),
    "entry frozen": (freeze_entry, 0.8),
    "all killed": (kill_all, 0.7),
    "entries stopped in turn": (restart_entries_in_turn, 1.0),
    "agents stopped in turn": (restart_agents_in_turn, 1.0),
    "minion crashed": (crash_minion, 0.95),
    "minion silent": (silence_minion, 0.95),
    "answers of minions lost": (lose_responses, 0.95),
    "calls executed and answered with errors": (answer_with_errors, 0.95),
    "executed starts refused when resent": (refuse_resent_starts, 0.95),
    "stops refused and entry killed": (refuse_stops_and_kill_entry, 0.8),
    "stops refused and entry paused": (refuse_stops_and_pause_entry, 0.7),
    "stops refused and agents restarted": (refuse_stops_and_restart_agents, 0.5),
    "store down": (take_store_down, 1.0),
    "store silent and entry killed": (silence_store_and_kill_entry, 0.8),
    "history of the store lost": (lose_store_history, 1.0),
    "minion drains": (drain_minion, 1.0),
    "odd input": (write_odd_input, 0.9),
    "data centre evacuated": (evacuate_data_centre, 0.9),
    "large configurations": (write_large_configs, 0.9),
    "entries restarted without the store": (restart_entries_without_store, 0.8),
    "ends of minions that do not come": (announce_ends_that_do_not_come, 0.9),
    "settings reloaded": (reload_all_settings, 1.0),
    "task crashes minions": (crash_minions_by_a_task, 0.8),
    "overloaded entry": (forward_and_kill_owner, 0.8),
}

# Scenarios whose clients reach the entries through the platform's ingress, as every job
# must complete: an entry that has just started answers 503 until it has a configuration,
# and is not in rotation until then.
INGRESS_SCENARIOS = {"entries stopped in turn"}

if __name__ == "__main__":
    print("\n".join(SCENARIOS))
