"""With SyncReplicas 1, a promoted server has every acknowledged commit."""
import asyncio
import os
import pathlib
import shutil
import signal
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
sys.path.insert(0, str(FOLDER.parent / "standin-2"))

import world as standin  # noqa: E402
from world import Session, World, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 6
DEAF_S = 6.5
PRIMARY_DOWN_S = 7.0
RECEIVE_S = 0.002


class Case:
    def __init__(self, folder):
        self.world = World(str(ROOT), folder, str(FOLDER / "record.txt"),
                           ["hulftsdorp", "kotte", "negombo"], 9, "primary", 0, 0.008, 0.003,
                           2, 34)
        self.world.config["Services"][0]["SyncReplicas"] = 1
        self.record = self.world.record
        self.group = self.world.group
        self.down = {}  # server -> "dark" or "gone"
        self.deaf = set()
        self.acknowledged = {}
        self.lost = []
        self.leads = 0
        self.counts = {"ok": 0, "error": 0}
        self.stopping = False
        self.change_servers()

    def change_servers(self):
        """Adds synchronous replication, crashes and a replica that is deaf."""
        case = self
        run = standin.ServerConnection.run
        query = standin.ServerConnection.query

        async def is_down(connection):
            while connection.server.id in case.down:
                await asyncio.sleep(0.05)

        async def checked_run(self):
            if self.server.id in case.down:
                # A server that is dark answers nothing.
                await is_down(self)
                raise ConnectionError
            await run(self)

        async def checked_query(self, ident, text):
            if self.server.id in case.down:
                await is_down(self)
                raise ConnectionError
            await query(self, ident, text)
            entry = self.server.waiting.pop(ident, None)
            if entry:
                # finish() has been held back until a replica has the commit.
                await case.answer_when_received(self, ident, entry)

        def done(self, signature="-", rows=()):
            ident = signature.partition(".")[2]
            entry = case.last_entry(self.server, ident)
            if entry:
                self.server.waiting[ident] = (entry, signature, rows)
                return
            original_done(self, signature, rows)

        original_done = standin.ServerConnection.done
        standin.ServerConnection.run = checked_run
        standin.ServerConnection.query = checked_query
        standin.ServerConnection.done = done
        case.original_done = original_done
        for server in self.group.servers.values():
            server.waiting = {}
        self.group.commit = self.commit
        self.world.lead = self.lead
        self.world.heartbeats = self.heartbeats

    @staticmethod
    def last_entry(server, ident):
        if ident and server.log and server.log[-1][2] == ident:
            return server.log[-1]
        return None

    def commit(self, server, ident, item, data):
        number = server.log[-1][1] + 1 if server.log else 1
        server.log.append((server.term, number, ident, item, data))
        server.applied = len(server.log)
        loop = asyncio.get_running_loop()
        for it in self.group.servers.values():
            if it is not server:
                loop.call_later(RECEIVE_S, self.receive, it, server)

    def receive(self, replica, source):
        """The replica receives what it lacks of the log of its primary."""
        hidden = replica.id in self.down or replica.id in self.deaf
        if (hidden or source.id in self.down or not source.primary
                or replica.primary):
            return
        replica.log = list(source.log)
        replica.applied = min(replica.applied, len(replica.log))
        asyncio.get_running_loop().call_later(
            self.group.lag_s, self.apply, replica, len(replica.log))

    @staticmethod
    def apply(replica, length):
        replica.applied = max(replica.applied, min(length, len(replica.log)))

    def is_received(self, server, entry):
        return any(entry in it.log for it in self.group.servers.values()
                   if it is not server and it.id not in self.down)

    async def answer_when_received(self, connection, ident, waiting):
        entry, signature, rows = waiting
        server = connection.server
        while not self.is_received(server, entry):
            if server.id in self.down or not server.primary:
                raise ConnectionError
            await asyncio.sleep(0.002)
        if server.id in self.down:
            raise ConnectionError
        self.original_done(connection, signature, rows)
        self.record.line("server_acknowledged", id=ident, server=server.id,
                         at=f"{entry[0]}.{entry[1]}")

    def lead(self, server):
        if server.id in self.down:
            return
        self.leads += 1
        ids = {entry[2] for entry in server.log}
        missing = [i for i in self.acknowledged
                   if i not in ids and i not in self.lost]
        self.record.line("leads", server=server.id, missing=len(missing))
        self.lost += missing
        for ident in missing:
            self.record.line("LOST", id=ident, server=server.id)
        term = max(s.term for s in self.group.servers.values()) + 1
        for it in self.group.servers.values():
            it.primary = it is server
            if it.id not in self.down:
                it.term = term
        server.applied = len(server.log)

    async def heartbeats(self):
        """A server that is down writes nothing; its entry goes after 3.6 s."""
        seen = {}
        store = self.world.store
        while True:
            for name, it in self.group.servers.items():
                if name not in self.down:
                    seen[name] = now()
                    store.put_outside("servers/" + name, it.entry())
            for name, at in seen.items():
                if now() - at > 3.5 and "servers/" + name in store.items:
                    store.revision += 1
                    store.items.pop("servers/" + name)
                    store.outside.pop("servers/" + name, None)
                    self.record.line("entry_removed", server=name)
            await asyncio.sleep(1.2)

    async def client(self, node, name):
        session, count = None, 0
        while not self.stopping:
            try:
                if session is None:
                    session = Session(node.front)
                    await session.open("db1")
                count += 1
                ident = f"{name}x{count}"
                self.record.line("sent", id=ident, node=node.name)
                signature, code, _ = await session.query(
                    ident, f"WRITE item-{name} v{count}")
                self.record.line("answered", id=ident, code=code or "ok")
                if code is None and signature:
                    self.acknowledged[ident] = now()
                self.counts["error" if code else "ok"] += 1
                await asyncio.sleep(0.05)
            except (OSError, asyncio.TimeoutError):
                self.counts["error"] += 1
                if session:
                    session.close()
                session = None
                await asyncio.sleep(0.2)

    def crash(self, server, how):
        self.record.line("crash", server=server.id, how=how)
        self.down[server.id] = how

    async def trouble(self):
        servers = list(self.group.servers.values())
        primary = next(s for s in servers if s.primary)
        first, second = [s for s in servers if s is not primary]
        began = now()
        self.record.line("deaf_begins", server=second.id)
        self.deaf.add(second.id)
        asyncio.get_running_loop().call_later(DEAF_S, self.deaf.clear)
        await asyncio.sleep(0.5)
        self.crash(first, "gone for good")
        while "servers/" + first.id in self.world.store.items:
            await asyncio.sleep(0.02)
        duty = self.world.store.get("bp/duty") or {}
        node = next((n for n in self.world.nodes
                     if n.name == duty.get("holder")), self.world.nodes[0])
        self.record.line("kill", node=node.name)
        node.kill()
        await asyncio.sleep(0.5)
        node.start()
        self.record.line("start", node=node.name)
        # The primary crashes while the other replica is deaf.
        while now() < began + DEAF_S - 0.4:
            await asyncio.sleep(0.1)
            if await self.world.is_ready(node):
                break
        self.crash(primary, "dark")
        await asyncio.sleep(PRIMARY_DOWN_S)
        self.down.pop(primary.id)
        self.record.line("back", server=primary.id)

    async def run(self):
        world = self.world
        await world.start()
        if not await world.ready():
            print("the nodes did not become ready")
            return 2
        await asyncio.sleep(4)
        clients = [asyncio.create_task(self.client(
            world.nodes[3 + n % 6], f"c{n}")) for n in range(CLIENTS)]
        await asyncio.sleep(3)
        if TROUBLE:
            await self.trouble()
        else:
            await asyncio.sleep(12)
        await asyncio.sleep(4)
        self.stopping = True
        await asyncio.sleep(1)
        del clients
        print(f"{len(self.acknowledged)} commits acknowledged, "
              f"{self.counts['error']} errors, {self.leads} promotions; "
              f"acknowledged commits that a promoted server lacks: "
              f"{len(self.lost)}")
        if len(self.acknowledged) < 50:
            return 2
        return 1 if self.lost else 0


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
