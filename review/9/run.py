"""A session must see its own commits across a restore of the platform's store."""
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

from world import Session, World  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRILLS = 4
ACTIVE_NODES = 3
SESSIONS_PER_NODE = 4
READS_AFTER_WRITE = 2
# The usual lag of the replicas of the site.
LAG_S = 0.05


class Case:
    def __init__(self, folder):
        self.world = World(str(ROOT), folder, str(FOLDER / "record.txt"),
                           ["hulftsdorp", "kotte", "negombo"], 9,
                           "read_your_writes", 2500, LAG_S, 0.003, 2, 34)
        self.record = self.world.record
        self.group = self.world.group
        self.group.on_run = self.on_run
        # For each read, the position of the last commit that was acknowledged
        # to its session before the read was sent.
        self.needed = {}
        self.broken = []
        self.counts = {"commits": 0, "reads": 0, "errors": 0}
        self.stopping = False

    def on_run(self, server, ident, verb, applied):
        needed = self.needed.get(ident)
        if verb != "READ" or needed is None or applied >= needed:
            return
        # A commit that a promote rolled back does not count.
        if any(e[:2] == needed for s in self.group.servers.values()
               if s.primary for e in s.log):
            self.broken.append(ident)
            self.record.line("STALE", id=ident, server=server.id,
                             applied=applied, needed=needed)

    async def client(self, node, name):
        session, count, last = None, 0, None
        while not self.stopping:
            try:
                if session is None:
                    session, last = Session(node.front), None
                    await session.open("db1")
                count += 1
                ident = f"{name}x{count}w"
                self.record.line("sent", id=ident, node=node.name)
                _, code, _ = await session.query(
                    ident, f"WRITE item-{name} v{count}")
                self.record.line("answered", id=ident, code=code or "ok")
                if code is None:
                    last = self.group.commits[ident]
                self.counts["errors" if code else "commits"] += 1
                for n in range(READS_AFTER_WRITE):
                    ident = f"{name}x{count}r{n}"
                    self.needed[ident] = last
                    self.record.line("sent", id=ident, node=node.name)
                    _, code, rows = await session.query(
                        ident, f"READ item-{name}")
                    self.record.line("answered", id=ident, code=code or "ok",
                                     rows=",".join(rows))
                    self.counts["errors" if code else "reads"] += 1
                    await asyncio.sleep(0.002)
            except (OSError, asyncio.TimeoutError, KeyError) as error:
                self.record.line("session_ended", session=name,
                                 error=type(error).__name__)
                self.counts["errors"] += 1
                if session:
                    session.close()
                session = None
                await asyncio.sleep(0.2)

    async def drill(self):
        frozen = self.world.nodes[3]
        if TROUBLE:
            self.record.line("freeze", node=frozen.name)
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(0.3)
        if TROUBLE:
            await self.world.away_and_back(0.8, 2.0, silent=True)
        else:
            await asyncio.sleep(0.8)
        await asyncio.sleep(1.5)
        if TROUBLE:
            frozen.signal(signal.SIGCONT)
            self.record.line("wake", node=frozen.name)
        await asyncio.sleep(5)

    async def run(self):
        world = self.world
        await world.start()
        if not await world.ready():
            print("the nodes did not become ready")
            return 2
        await asyncio.sleep(4)
        active = world.nodes[-ACTIVE_NODES:]
        clients = [
            asyncio.create_task(self.client(node, f"{node.name}-{n}"))
            for node in active for n in range(SESSIONS_PER_NODE)]
        await asyncio.sleep(3)
        for _ in range(DRILLS):
            await self.drill()
        self.stopping = True
        await asyncio.sleep(1)
        print(f"{self.counts['commits']} commits acknowledged, "
              f"{self.counts['reads']} reads answered, "
              f"{self.counts['errors']} errors; reads that lacked a commit of "
              f"their own session: {len(self.broken)}")
        del clients
        if self.counts["commits"] < 100 or self.counts["reads"] < 100:
            return 2
        return 1 if self.broken else 0


def main():
    folder = tempfile.mkdtemp()
    loop = asyncio.new_event_loop()
    case = None
    code = 2
    try:
        case = Case(folder)
        code = loop.run_until_complete(case.run())
    except OSError as error:
        print(f"could not run: {error}")
    finally:
        if case:
            case.world.stop()
        shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    # The open connections of the stand-ins end with the process.
    os._exit(code)


main()
