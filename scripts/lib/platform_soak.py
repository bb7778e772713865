"""Random faults on real nodes; prints the seed of each run that breaks a
promise, and exits with 1.

    scripts/platform-soak --seed 7 --seconds 20 --runs 50
"""

import argparse
import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time

from platform_clients import Load, check
from platform_fleet import SERVERS, Fleet

FIRST_PORT = 24000
PORTS_PER_RUN = 64
PORT_RANGES = 40
NODES = 5
CLIENTS = 30
# The nodes judge primaries three seconds after their start.
SETTLING_S = 3.5
RECOVERY_LIMIT_S = 15.0
# How long a node sleeps at most until the primary has moved.
HAND_OVER_LIMIT_S = 4.0


class Faults:
    """Starts faults that overlap, and ends each after its time."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.log = []
        self.busy_nodes = set()
        self.busy_servers = set()
        self.store_busy = False
        self.kinds = (self._freeze, self._kill, self._stop, self._stop_twice,
                      self._cut_store, self._delay_store, self._store_away,
                      self._lose_store_replies, self._lose_replies,
                      self._crash_server, self._cut_server, self._hold_replica,
                      self._hand_over, self._hand_over, self._hand_over)

    async def run(self, seconds):
        end = time.monotonic() + seconds
        running = []
        while time.monotonic() < end:
            running.append(asyncio.create_task(self.rng.choice(self.kinds)()))
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))
        await asyncio.gather(*running)

    def _note(self, text):
        self.log.append(f"{time.monotonic():.3f} {text}")

    def _take(self, busy, names):
        """A name without a fault; at most half of them have one."""
        free = [it for it in names if it not in busy]
        if not free or len(busy) > len(names) // 2:
            return None
        name = self.rng.choice(free)
        busy.add(name)
        return name

    async def _with_one(self, busy, names, action):
        name = self._take(busy, names)
        if name is None:
            return
        try:
            await action(name)
        finally:
            busy.discard(name)

    async def _with_node(self, action):
        await self._with_one(self.busy_nodes, self.fleet.nodes, action)

    async def _with_server(self, action):
        await self._with_one(self.busy_servers, SERVERS, action)

    async def _freeze(self):
        async def action(node):
            self._note(f"freeze {node}")
            self.fleet.signal_node(node, signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.2, 4.0))
            self.fleet.signal_node(node, signal.SIGCONT)
        await self._with_node(action)

    async def _kill(self):
        async def action(node):
            self._note(f"kill {node}")
            self.fleet.kill_node(node)
            await asyncio.sleep(self.rng.uniform(0.1, 2.0))
            self.fleet.start_node(node)
        await self._with_node(action)

    async def _stop(self, signals=1):
        async def action(node):
            self._note(f"stop {node}, {signals} signals")
            for _ in range(signals):
                self.fleet.signal_node(node, signal.SIGTERM)
                await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            while not self.fleet.has_ended(node):
                await asyncio.sleep(0.05)
            self.fleet.start_node(node)
        await self._with_node(action)

    async def _stop_twice(self):
        await self._stop(signals=2)

    async def _rule(self, link, text, **effect):
        self._note(f"{text} {link}")
        self.fleet.set_rule(link, **effect)
        await asyncio.sleep(self.rng.uniform(0.3, 4.0))
        self.fleet.set_rule(link)

    async def _cut(self, link):
        drop = self.rng.choice(("both", "to_target", "to_source"))
        heal = self.rng.choice(("resume", "reset"))
        await self._rule(link, f"cut ({drop}, {heal})", drop=drop, heal=heal)

    async def _cut_store(self):
        await self._with_node(lambda node: self._cut("store-" + node))

    async def _delay_store(self):
        await self._with_node(lambda node: self._rule(
            "store-" + node, "delay", delay_ms=60, jitter_ms=200))

    async def _store_away(self):
        if self.store_busy:
            return
        self.store_busy = True
        self._note("store away")
        self.fleet.fault("store_down")
        await asyncio.sleep(self.rng.uniform(0.3, 5.0))
        self.fleet.fault("store_up")
        self.store_busy = False

    async def _lose_store_replies(self):
        self._note("store loses replies")
        self.fleet.fault("drop_store_replies", count=self.rng.randint(1, 4))

    async def _lose_replies(self):
        self._note("servers lose replies")
        kind = self.rng.choice(("drop_replies", "cut_replies"))
        self.fleet.fault(kind, count=self.rng.randint(3, 15))

    async def _crash_server(self):
        async def action(server):
            self._note(f"crash {server}")
            self.fleet.fault("crash", server=server)
            await asyncio.sleep(self.rng.uniform(0.2, 4.0))
            self.fleet.fault("restart", server=server)
        await self._with_server(action)

    async def _cut_server(self):
        await self._with_server(self._cut)

    async def _hand_over(self):
        """A node sleeps while the primary, which stays, becomes a replica that
        receives nothing."""
        async def action(node):
            server = self.fleet.history()["primary"]
            if server in self.busy_servers:
                return
            self.busy_servers.add(server)
            self._note(f"drain {server}, freeze {node}")
            self.fleet.signal_node(node, signal.SIGSTOP)
            self.fleet.fault("drain", server=server)
            limit = time.monotonic() + HAND_OVER_LIMIT_S
            while self.fleet.history()["primary"] == server and \
                    time.monotonic() < limit:
                await asyncio.sleep(0.02)
            if self.fleet.history()["primary"] != server:
                self.fleet.fault("hold", server=server)
                await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            self.fleet.signal_node(node, signal.SIGCONT)
            await asyncio.sleep(self.rng.uniform(0.2, 1.0))
            self.fleet.fault("undrain", server=server)
            self.fleet.fault("unhold", server=server)
            self.busy_servers.discard(server)
        await self._with_node(action)

    async def _hold_replica(self):
        async def action(server):
            self._note(f"hold {server}")
            self.fleet.fault("hold", server=server)
            await asyncio.sleep(self.rng.uniform(0.3, 3.0))
            self.fleet.fault("unhold", server=server)
        await self._with_server(action)


async def soak(fleet, seed, seconds):
    """Returns (what is broken, the load, the faults)."""
    rng = random.Random(seed)
    load = Load(fleet, random.Random(rng.random()), CLIENTS)
    faults = Faults(fleet, random.Random(rng.random()))
    clients = [asyncio.create_task(load.run_client(it)) for it in load.names]
    await asyncio.sleep(SETTLING_S)
    await faults.run(seconds)
    broken = []
    healed = time.monotonic()
    acknowledged = _acknowledged(load)
    while not all(map(fleet.is_ready, fleet.nodes)) or \
            _acknowledged(load) < acknowledged + CLIENTS:
        if time.monotonic() - healed > RECOVERY_LIMIT_S:
            broken.append(f"not served {RECOVERY_LIMIT_S} s after the last "
                          "fault")
            break
        await asyncio.sleep(0.2)
    load.stopping = True
    await asyncio.wait(clients, timeout=10)
    return broken + check(load, fleet.history()), load, faults


def _acknowledged(load):
    return sum(it.acknowledged is not None for it in load.writes)


def reserve_ports():
    """A range that no run beside this one uses, and the socket that holds it.

    The ports are below those that the system hands out by itself.
    """
    for n in range(PORT_RANGES):
        first = FIRST_PORT + n * PORTS_PER_RUN
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", first + PORTS_PER_RUN - 1))
            return first, lock
        except OSError:
            lock.close()
    raise RuntimeError("all port ranges are in use")


def run_seed(options, seed, first_port):
    folder = tempfile.mkdtemp(prefix=f"platform-soak-{seed}-")
    fleet = Fleet(options.binaries, folder, first_port, NODES)
    try:
        fleet.start()
        broken, load, faults = asyncio.run(soak(fleet, seed, options.seconds))
    finally:
        fleet.stop()
    print(f"seed={seed} faults={len(faults.log)} writes={len(load.writes)} "
          f"acknowledged={_acknowledged(load)} reads={len(load.reads)} "
          f"failures={load.failures} broken={len(broken)}", flush=True)
    if broken:
        print(f"  logs: {folder}")
        for it in broken[:5]:
            print("  " + it)
        with open(os.path.join(folder, "faults.log"), "w") as file:
            file.write("\n".join(faults.log + broken) + "\n")
    return not broken


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--binaries", default="build/bin")
    options = parser.parse_args()
    first = options.seed
    if first is None:
        first = random.SystemRandom().randrange(1_000_000)
    seeds = range(first, first + options.runs)
    first_port, lock = reserve_ports()
    with lock:
        failed = [it for it in seeds if not run_seed(options, it, first_port)]
    print(f"runs={options.runs} broken_seeds={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
