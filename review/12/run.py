"""Acknowledged commits are lost because a cut-off replica is taken for dead.

The service has SyncReplicas 1, a primary s1 and replicas s2 and s3. s3 is
partitioned from the store only: its entry expires, but it goes on receiving. When
the nodes have forgotten it, s2 receives nothing for a while, and the primary goes
dark meanwhile.
"""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
import lab as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXPIRY_S = 3 * standins.HEARTBEAT_S
CUT_S = 5.0
GAP_S = 0.2
DARK_S = 7.0
DEAF_S = 6.5


class SyncConnection(standins.Connection):
    """A commit is answered once one replica has received it."""

    async def work(self, ident, word, rest, text):
        lines = []
        send, self.send = self.send, lambda *more: lines.extend(more)
        try:
            await super().work(ident, word, rest, text)
        finally:
            self.send = send
        server = self.server
        number = len(server.log)
        if number and server.log[-1][1] == ident:
            while not server.group.is_received(server, number, ident):
                if self.reader.at_eof():
                    raise ConnectionError
                await asyncio.sleep(0.002)
        self.send(*lines)


class SyncGroup(standins.Group):
    """A service with SyncReplicas 1, whose servers beat one by one."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.cut_off, self.deaf = set(), set()
        self.last_beat = {}
        self.acknowledged, self.lost = set(), []

    def is_received(self, primary, number, ident):
        return any(other is not primary and len(other.log) >= number
                   and other.log[number - 1][1] == ident for other in self.servers.values())

    async def beat(self):
        loop = asyncio.get_running_loop()
        for n, server in enumerate(self.servers.values()):
            loop.create_task(self.beat_one(server, 0.4 * n))
        while True:
            for name, at in self.last_beat.items():
                key = "servers/" + name
                if self.record.now() - at > EXPIRY_S and key in self.store.items:
                    self.store.remove(key)
                    self.record.add(f"store: the entry of {name} has expired")
            await asyncio.sleep(0.05)

    async def beat_one(self, server, delay):
        self.announce(server)
        await asyncio.sleep(delay)
        while True:
            await asyncio.sleep(standins.HEARTBEAT_S)
            self.announce(server)

    def announce(self, server):
        if server.alive and not server.dark and server.id not in self.cut_off:
            self.last_beat[server.id] = self.record.now()
            self.store.put("servers/" + server.id, server.registration())

    def publish(self):
        for server in self.servers.values():
            self.announce(server)

    def replicate(self, source, count, term):
        if source.term != term or self.term != term or source.dark:
            return
        for other in self.servers.values():
            follows = (other is not source and not other.dark and not other.primary
                       and other.id not in self.deaf and len(other.log) < count)
            if follows:
                other.log = list(source.log[:count])
                other.applied = count

    def promote(self, server):
        if not (server.primary and server.term == self.term):
            ids = {entry[1] for entry in server.log}
            missing = sorted(self.acknowledged - ids)
            self.record.add(f"promotion of {server.id}: {len(missing)} acknowledged commits are "
                            f"not in its log, the first: {missing[:3]}")
            self.lost += missing
        super().promote(server)


async def writer(lab, number):
    """Writes through one node and notes what was acknowledged."""
    client = standins.Client(lab, f"w{number}x")
    node = lab.nodes[number]
    while True:
        try:
            await client.open(node, "strict")
            while True:
                ident, lines = await client.query(f"WRITE k{number} v", 3)
                if lines[0].startswith("COMPLETE"):
                    lab.group.acknowledged.add(ident)
                await asyncio.sleep(0.03)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            client.close()
            await asyncio.sleep(0.05)


def has_holder(lab, name):
    """Whether the group's record in the store names the server as a holder."""
    item = lab.store.items.get("bp/group/" + lab.group.name)
    record = json.loads(item[0]) if item else {}
    return name in [run[0] for run in record.get("holders", [])]


async def scenario(lab):
    group, record = lab.group, lab.record
    config = json.loads(lab.store.items["op/config"][0])
    config["Version"] += 3
    for service in config["Services"]:
        service["SyncReplicas"] = 1
    lab.store.put("op/config", json.dumps(config).encode())
    await asyncio.sleep(8)
    writers = [asyncio.create_task(writer(lab, n)) for n in range(4)]
    await asyncio.sleep(3)
    record.add("holders in the store: " + str([s for s in group.servers if has_holder(lab, s)]))
    if TROUBLE:
        begin = record.now()
        cuts = asyncio.create_task(cut_twice(group))
        while has_holder(lab, "s3") and record.now() - begin < 2 * CUT_S:
            await asyncio.sleep(0.02)
        record.add(f"{record.now() - begin:.2f} s after the cut began, s3 is no holder any more")
        group.deaf.add("s2")
        record.add("server s2: receives nothing")
        await asyncio.sleep(0.5)
        group.servers["s1"].dark = True
        record.add("server s1: dark")
        await asyncio.sleep(DEAF_S - 0.5)
        group.deaf.clear()
        record.add("server s2: receives again")
        await asyncio.sleep(DARK_S - DEAF_S + 0.5)
        group.servers["s1"].dark = False
        record.add("server s1: back")
        await cuts
    else:
        await asyncio.sleep(14)
    await asyncio.sleep(3)
    for task in writers:
        task.cancel()
    record.add("promotions (seconds, server, term): " + repr(group.promotions))
    record.add(f"acknowledged commits: {len(group.acknowledged)}, not in the log of a server "
               f"that was promoted: {len(group.lost)}")
    print("acknowledged:", len(group.acknowledged), "lost:", len(group.lost),
          "promotions:", [p[1:] for p in group.promotions])
    if len(group.acknowledged) < 100:
        return 2
    return 1 if group.lost else 0


async def cut_twice(group):
    """s3 is partitioned from the store twice, with a moment between."""
    for _ in range(2):
        group.cut_off.add("s3")
        group.record.add("server s3: partitioned from the store")
        await asyncio.sleep(CUT_S)
        group.cut_off.discard("s3")
        group.record.add("server s3: reaches the store")
        await asyncio.sleep(GAP_S)


standins.Connection = SyncConnection
standins.Group = SyncGroup
standins.main(FOLDER, scenario)
