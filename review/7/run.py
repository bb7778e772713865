"""After a final fault, requests are served again."""
import asyncio
import os
import pathlib
import random
import shutil
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

import world as standin  # noqa: E402
from world import Server, Session, World, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 12
TRIES = 3
DEADLINE_S = 1.5
PRIMARY_DOWN_S = 2.0
NODES_DOWN_S = 0.8
RECOVERY_S = 12
JUDGED_S = 10
BEAT_S = 1.2
# Between two zones of the site, 1.4 ms one way.
ROUND_TRIP_S = 0.0028


class Case:
    def __init__(self, folder):
        self.world = World(str(ROOT), folder, str(FOLDER / "record.txt"),
                           ["kr-central-a", "kr-central-b", "kr-central-c"], 9,
                           "primary", 0, 0.008, 0.003, 2, 34)
        self.record = self.world.record
        self.group = self.world.group
        self.down = set()
        self.beats = {}
        self.requests = []  # (time sent, served)
        self.stopping = False
        # The first primary is in another zone than the first node.
        first, second, _ = self.group.servers.values()
        first.primary, second.primary = False, True
        self.add_distance(first.zone)
        self.world.lead = self.lead
        self.group.commit = self.commit
        self.world.heartbeats = self.heartbeats

    @staticmethod
    def add_distance(zone):
        """Servers in other zones answer later, as seen from this zone."""
        query = standin.ServerConnection.query

        async def distant(self, ident, text):
            if self.server.zone != zone:
                await asyncio.sleep(ROUND_TRIP_S)
            await query(self, ident, text)

        standin.ServerConnection.query = distant

    def commit(self, server, ident, item, data):
        number = server.log[-1][1] + 1 if server.log else 1
        server.log.append((server.term, number, ident, item, data))
        server.applied = len(server.log)
        asyncio.get_running_loop().call_later(
            self.group.lag_s, self.replicate, server, len(server.log))

    def replicate(self, source, length):
        """What a primary has not sent when it crashes is on no replica."""
        if source.id in self.down or not source.primary:
            return
        for it in self.group.servers.values():
            if not it.primary and it.id not in self.down:
                if length > len(it.log):
                    it.log = list(source.log[:length])
                it.applied = len(it.log)

    def lead(self, server):
        """The promoted server leads; the others follow its log."""
        if server.id in self.down or server.id not in self.group.servers:
            return
        servers = self.group.servers.values()
        term = max(s.term for s in servers) + 1
        for it in servers:
            it.primary = it is server
            if it.id not in self.down:
                it.term = term
                it.log, it.applied = list(server.log), len(server.log)
        self.record.line("leads", server=server.id, term=term)

    async def heartbeats(self):
        store = self.world.store
        while True:
            for name, it in self.group.servers.items():
                if name not in self.down:
                    self.beats[name] = now()
                    store.put_outside("servers/" + name, it.entry())
            for name, at in list(self.beats.items()):
                if now() - at > 3 * BEAT_S:
                    del self.beats[name]
                    store.revision += 1
                    store.items.pop("servers/" + name, None)
                    store.outside.pop("servers/" + name, None)
                    self.record.line("entry_removed", server=name)
            await asyncio.sleep(0.1 if self.down else BEAT_S / 2)

    def primary(self):
        return max((s for s in self.group.servers.values() if s.primary),
                   key=lambda s: s.term)

    async def crash(self, server):
        """The server crashes, and is back with its log under another id."""
        self.record.line("crash", server=server.id, primary=server.primary)
        self.down.add(server.id)
        server.listener.close()
        for it in list(server.connections):
            it.writer.transport.abort()
        await asyncio.sleep(PRIMARY_DOWN_S)
        again = Server(self.group, f"i-{random.randrange(1 << 28):07x}",
                       server.port, server.zone)
        newest = max(self.group.servers.values(), key=lambda s: s.term)
        replaced = newest is not server and newest.term > server.term
        source = newest if replaced else server
        again.primary = server.primary and not replaced
        again.term = source.term
        again.log, again.applied = list(source.log), len(source.log)
        del self.group.servers[server.id]
        self.group.servers[again.id] = again
        await again.start()
        self.beats[again.id] = now()
        self.world.store.put_outside("servers/" + again.id, again.entry())
        # A primary sends its replicas what they lack.
        asyncio.get_running_loop().call_later(
            self.group.lag_s, self.replicate, again, len(again.log))
        self.record.line("back", server=again.id, was=server.id,
                         primary=again.primary, term=again.term)

    async def attempt(self, session, ident, text, end):
        if session.writer is None:
            await session.open("db1")
        left = max(0.05, end - now())
        _, code, _ = await session.query(ident, text, left)
        return code

    async def client(self, name):
        count = 0
        sessions = {}
        while not self.stopping:
            count += 1
            sent, served = now(), False
            for n in range(TRIES):
                if now() > sent + DEADLINE_S:
                    break
                node = random.choice(self.world.nodes)
                session = sessions.setdefault(node.name, Session(node.front))
                ident = f"{name}x{count}t{n}"
                text = (f"WRITE item-{name} v{count}" if count % 2
                        else f"READ item-{name}")
                self.record.line("sent", id=ident, node=node.name)
                try:
                    code = await self.attempt(session, ident, text,
                                              sent + DEADLINE_S)
                except (OSError, asyncio.TimeoutError):
                    code = "no answer"
                    session.close()
                self.record.line("answered", id=ident, code=code or "ok")
                if code is None:
                    served = True
                    break
                await asyncio.sleep(0.1)
            self.requests.append((sent, served))
            await asyncio.sleep(0.05)

    def share(self, begin, end):
        chosen = [served for at, served in self.requests if begin <= at < end]
        return sum(chosen) / len(chosen) if chosen else 0.0

    async def run(self):
        world = self.world
        await world.start()
        if not await world.ready():
            print("the nodes did not become ready")
            return 2
        await asyncio.sleep(4)
        began = now()
        clients = [asyncio.create_task(self.client(f"c{n}"))
                   for n in range(CLIENTS)]
        await asyncio.sleep(3)
        if TROUBLE:
            await self.crash(self.primary())
        await asyncio.sleep(10)
        final = now()
        if TROUBLE:
            crash = asyncio.create_task(self.crash(self.primary()))
            await asyncio.sleep(0)
            self.record.line("kill_all")
            for it in world.nodes:
                it.kill()
            await asyncio.sleep(NODES_DOWN_S)
            for it in world.nodes:
                it.start()
            self.record.line("start_all")
            await crash
        back = now()
        await asyncio.sleep(RECOVERY_S + JUDGED_S + DEADLINE_S)
        self.stopping = True
        await asyncio.sleep(2)
        del clients
        before = self.share(began, final)
        after = self.share(back + RECOVERY_S, back + RECOVERY_S + JUDGED_S)
        print(f"served before the final fault {before:.3f}, later than "
              f"{RECOVERY_S} s after it {after:.3f}")
        self.record.line("total", before=f"{before:.3f}", after=f"{after:.3f}")
        if before < 0.25:
            return 2
        return 1 if after < 0.25 else 0


def main():
    folder = tempfile.mkdtemp()
    loop = asyncio.new_event_loop()
    case = None
    code = 2
    try:
        case = Case(folder)
        code = loop.run_until_complete(case.run())
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    except OSError as error:
        print(f"could not run: {error}")
    finally:
        if case:
            case.world.stop()
        shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)


main()
