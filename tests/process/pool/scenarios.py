"""Faults that a pool of real processes must tolerate. Each row: name, the fault, and
the smallest share of jobs that must complete during it. In all scenarios no task may
have two runs at once, no minion may exceed its capacity, no refused job may have run,
and from 2 s after the fault on all jobs must complete."""

import asyncio
import json
import signal


async def nothing(cell):
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
    nodes = cell.entries + cell.agents
    await asyncio.gather(*(node.kill(0.5) for node in nodes))


async def stop_entries_in_turn(cell):
    for node in cell.entries:
        await node.restart()


async def stop_agents_in_turn(cell):
    for node in cell.agents[:2]:
        await node.restart()


async def crash_minion(cell):
    await cell.minions[0].crash(1.0)


async def silence_minion(cell):
    cell.minions[0].mode = "silent"
    await asyncio.sleep(1.5)
    cell.minions[0].mode = "up"


async def lose_answers(cell):
    for minion in cell.minions[:2]:
        minion.lost_answers = 0.2
    await asyncio.sleep(2.0)
    for minion in cell.minions:
        minion.lost_answers = 0.0


async def store_down(cell):
    cell.store.mode = "down"
    await asyncio.sleep(2.0)
    cell.store.mode = "up"


async def store_silent_and_entry_killed(cell):
    cell.store.mode = "silent"
    cell.store.server.drop_connections()
    await cell.entries[0].kill(0.2)
    await asyncio.sleep(1.5)
    cell.store.mode = "up"
    cell.store.server.drop_connections()


async def history_lost(cell):
    cell.store.forget_history()
    cell.store.server.drop_connections()
    cell.write_config("q", "more")
    await asyncio.sleep(0.5)


async def drain_minion(cell):
    cell.minions[0].draining = True
    await cell.minions[0].report()
    await asyncio.sleep(1.0)
    cell.minions[0].draining = False
    await cell.minions[0].report()


async def reload_all(cell):
    """Changes the settings files with and without a signal, one of them to an invalid
    file."""
    nodes = cell.entries + cell.agents
    for node in nodes:
        settings = json.loads(node.path.read_text())
        node.path.write_text(json.dumps({**settings, "seeds": ["127.0.0.9:8166"]}))
    nodes[0].signal(signal.SIGHUP)
    for node in nodes:
        await cell.await_event(node, "reload", changed=["seeds"])
    nodes[0].path.write_text("{")
    await cell.await_event(nodes[0], "reload_refused")


SCENARIOS = {
    "calm": (nothing, 1.0),
    "agent killed": (kill_agent, 0.95),
    "entry killed": (kill_entry, 0.95),
    "agent frozen": (freeze_agent, 0.95),
    "entry frozen": (freeze_entry, 0.8),
    "all killed": (kill_all, 0.7),
    "entries stopped in turn": (stop_entries_in_turn, 1.0),
    "agents stopped in turn": (stop_agents_in_turn, 1.0),
    "minion crashed": (crash_minion, 0.95),
    "minion silent": (silence_minion, 0.95),
    "answers of minions lost": (lose_answers, 0.95),
    "store down": (store_down, 1.0),
    "store silent and entry killed": (store_silent_and_entry_killed, 0.8),
    "history of the store lost": (history_lost, 1.0),
    "minion drains": (drain_minion, 1.0),
    "settings reloaded": (reload_all, 1.0),
}

if __name__ == "__main__":
    print("\n".join(SCENARIOS))
