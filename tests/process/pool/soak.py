"""Randomized soak test of a pool of real processes: soak.py BUILD SEED [SECONDS].

Injects overlapping faults of all kinds: signals to the processes, faults of the minions
and of the store, and proxies before the store, the minions and the entries that delay
traffic, block one or both directions or reset connections. The stand-ins check
throughout that no task has two runs at once, that no minion exceeds its capacity and
that no refused job has run. No process may exit by itself, and after the faults all
jobs must complete. Equal seeds give equal faults; the timing of the processes differs.
"""

import asyncio
import random
import signal
import sys
import time

from cell import Callers, Cell
from proxy import DOWN, UP

# Mean time between the starts of two faults, and the range of their durations.
FAULT_INTERVAL_S = 0.5
FAULT_LENGTH_S = (0.1, 2.5)
# Half of the minions' capacity.
JOBS_PER_S = 25
SETTLE_S = 3.0
CALM_S = 2.0
DEFAULT_SECONDS = 15.0


class Faults:
    """Injects random faults and waits for them to end."""

    def __init__(self, cell, seed):
        self.cell = cell
        self.random = random.Random(seed)
        self.busy = set()
        self.history = []

    def length(self):
        return self.random.uniform(*FAULT_LENGTH_S)

    async def on(self, target, action):
        """Runs the action unless another one is using the target."""
        if target in self.busy:
            return
        self.busy.add(target)
        try:
            await action()
        finally:
            self.busy.discard(target)

    def node_fault(self):
        node = self.random.choice(self.cell.entries + self.cell.agents)
        kind = self.random.choice(["kill", "freeze", "restart", "reload"])
        actions = {
            "kill": lambda: node.kill(self.length()),
            "freeze": lambda: node.freeze(self.length()),
            "restart": node.restart,
            "reload": lambda: reload(node),
        }
        return f"{kind} {node.name}", node, actions[kind]

    def minion_fault(self):
        minion = self.random.choice(self.cell.minions)
        kind = self.random.choice(["crash", "silence", "lose_answers", "drain"])
        actions = {
            "crash": lambda: minion.crash(self.length()),
            "silence": lambda: hold(minion, "mode", "silent", "up", self.length()),
            "lose_answers": lambda: hold(
                minion, "lost_answers", 0.2, 0.0, self.length()
            ),
            "drain": lambda: hold(minion, "draining", True, False, self.length()),
        }
        return f"{kind} of {minion.host}", minion, actions[kind]

    def store_fault(self):
        store = self.cell.store
        kind = self.random.choice(["down", "silent", "leases", "history", "config"])
        actions = {
            "down": lambda: hold(store, "mode", "down", "up", self.length()),
            "silent": lambda: hold(store, "mode", "silent", "up", self.length()),
            "leases": lambda: end_leases(store),
            "history": lambda: forget_history(store),
            "config": lambda: change_config(self.cell),
        }
        return f"store: {kind}", store, actions[kind]

    def network_fault(self):
        proxy = self.random.choice(self.cell.proxies)
        kind = self.random.choice(["delay", "up", "down", "silence", "reset"])
        actions = {
            "delay": lambda: hold(proxy, "delay_s", 0.08, 0.0, self.length()),
            "up": lambda: cut(proxy, self.length(), UP),
            "down": lambda: cut(proxy, self.length(), DOWN),
            "silence": lambda: cut(proxy, self.length(), UP, DOWN),
            "reset": lambda: reset(proxy),
        }
        return f"network {kind} before {proxy.target}", proxy, actions[kind]

    async def run(self, seconds):
        begin = time.monotonic()
        running = []
        while time.monotonic() - begin < seconds:
            make = self.random.choice(
                [
                    self.node_fault,
                    self.minion_fault,
                    self.store_fault,
                    self.network_fault,
                ]
            )
            name, target, action = make()
            self.history.append(f"{time.monotonic() - begin:.2f} {name}")
            running.append(asyncio.create_task(self.on(id(target), action)))
            await asyncio.sleep(self.random.expovariate(1 / FAULT_INTERVAL_S))
        await asyncio.gather(*running)


async def reload(node):
    node.signal(signal.SIGHUP)


async def hold(target, field, value, usual, seconds):
    setattr(target, field, value)
    await asyncio.sleep(seconds)
    setattr(target, field, usual)


async def end_leases(store):
    for lease in list(store.leases):
        store.end_lease(lease)


async def forget_history(store):
    store.forget_history()
    store.server.drop_connections()


async def change_config(cell):
    cell.write_config("q", f"more-{cell.version}")


async def cut(proxy, seconds, *directions):
    proxy.cut(*directions)
    await asyncio.sleep(seconds)
    proxy.heal()


async def reset(proxy):
    proxy.reset()


def judge(cell, callers, calm_at):
    problems = list(cell.ledger.faults) + cell.check_events()
    for node in cell.entries + cell.agents:
        if node.process.poll() is not None:
            problems.append(f"{node.name} exited with code {node.process.poll()}")
        problems += [f"{node.name} {exit}" for exit in node.own_exits]
    served, asked = callers.completed()
    calm_served, calm_asked = callers.completed(calm_at)
    print(f"{served} of {asked} jobs completed, {calm_served} of {calm_asked} after the faults")
    if calm_asked == 0 or calm_served < calm_asked:
        problems.append("not all jobs completed after the faults")
    return problems


async def run(cell, seed, seconds):
    faults = Faults(cell, seed)
    try:
        await cell.start()
        if not await cell.wait_ready():
            return ["the entries are not ready after 10 s"], faults
        callers = Callers(cell, seed, jobs_per_s=JOBS_PER_S)
        begin = time.monotonic()
        load = asyncio.create_task(callers.run(10 * seconds + 60))
        await faults.run(seconds)
        await asyncio.sleep(SETTLE_S)
        calm_at = time.monotonic() - begin
        await asyncio.sleep(CALM_S)
        callers.stop()
        await load
        return judge(cell, callers, calm_at), faults
    finally:
        await cell.stop()


def main():
    seed = int(sys.argv[2])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else DEFAULT_SECONDS
    # Cells of different seeds use different addresses, so that they can run side by
    # side.
    cell = Cell(sys.argv[1], 20 + seed % 100, proxied=True)
    problems, faults = asyncio.run(run(cell, seed, seconds))
    if not problems:
        return 0
    print(f"seed {seed}")
    print("\n".join(problems + faults.history))
    print(cell.logs())
    return 1


sys.exit(main())
