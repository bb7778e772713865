"""A service stays without writes for good after the store turned machines away.

All processes are killed and start again while the platform's store turns the
three machines of one zone away for nine seconds and serves the others. Those
three never register afterwards, although the store serves them again and they
report ready. One of them owns the connections to the service's primary.
"""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
import lab as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DOWN_S = 0.86
AWAY_S = 9.0
RECOVERY_S = 12.0
SHOWN_S = 15.0
DEADLINE_S = 1.5
RETRIES = 2
CLIENTS = 8


class Door(standins.HttpServer):
    """One machine's way to the store. It may be turned away with 503."""

    def __init__(self, store):
        super().__init__()
        self.store, self.away = store, False

    def extra_headers(self):
        return self.store.extra_headers()

    async def handle(self, *call):
        if self.away:
            return 503, {}
        return await self.store.handle(*call)


class Node(standins.Node):
    """A node that reaches the store through a door of its own."""

    door = None

    async def start(self):
        if not self.door:
            self.door, self.port = Door(self.lab.store), standins.free_port()
            await self.door.listen(self.port)
        self.lab.store_port = self.port
        await super().start()


async def one_client(lab, number, results):
    """Operations of one statement, tried again at other nodes until the deadline."""
    turn = number
    while True:
        begin = lab.record.now()
        served = False
        for _ in range(1 + RETRIES):
            turn += 1
            left = begin + DEADLINE_S - lab.record.now()
            if left <= 0:
                break
            client = standins.Client(lab, f"c{number}x")
            try:
                await asyncio.wait_for(client.open(lab.nodes[turn % len(lab.nodes)], "strict"), left)
                text = f"WRITE k{number} v" if turn % 2 else f"READ k{number}"
                _, lines = await client.query(text, max(0.01, begin + DEADLINE_S - lab.record.now()))
                served = any(line.startswith("COMPLETE") for line in lines)
                client.close()
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.02)
            if served:
                break
        results.append((begin, served))
        await asyncio.sleep(0.1)


def share(results, begin, end):
    chosen = [served for sent, served in results if begin <= sent < end]
    return len(chosen), sum(chosen) / max(1, len(chosen))


async def scenario(lab):
    record, results = lab.record, []
    primary = lab.group.servers["s1"]
    away = [node for node in lab.nodes if node.zone == primary.zone]
    await asyncio.sleep(15)
    clients = [asyncio.create_task(one_client(lab, n, results)) for n in range(CLIENTS)]
    await asyncio.sleep(6)
    killed = record.now()
    if TROUBLE:
        for node in away:
            node.door.away = True
        record.add("store: turns away " + ", ".join(node.name for node in away))
    for node in lab.nodes:
        node.signal(signal.SIGKILL)
    for node in lab.nodes:
        await node.process.wait()
    await asyncio.sleep(DOWN_S)
    for node in lab.nodes:
        await node.start()
    back = record.now()
    await asyncio.sleep(max(0, killed + AWAY_S - record.now()))
    for node in away:
        node.door.away = False
    record.add("store: serves all machines")
    await asyncio.sleep(back + RECOVERY_S + SHOWN_S - record.now())
    for client in clients:
        client.cancel()
    ready = [node.name for node in lab.nodes if await node.ready()]
    before = share(results, 0, killed)
    after = share(results, back + RECOVERY_S, back + RECOVERY_S + SHOWN_S - DEADLINE_S)
    record.add(f"ready at the end: {ready}")
    record.add(f"before the final fault: {before[0]} requests, {before[1]:.3f} served")
    record.add(f"later than RecoveryS after the machines are back: {after[0]} requests, "
               f"{after[1]:.3f} served")
    print("served before:", before, "after:", after, "ready:", len(ready))
    if before[1] < 0.25 or after[0] < 20:
        return 2
    return 1 if after[1] < 0.25 else 0


standins.Node = Node
standins.Lab.zones = ["kr-central-b", "kr-central-a", "kr-central-c"]
standins.main(FOLDER, scenario, max_connections=16)
