"""Clients of the nodes' text protocol, and what they may expect.

Each client writes growing numbers to an item of its own, through transactions
and single writes, and reads its own item and others'.
"""

import asyncio
import dataclasses
import itertools

from platform_fleet import CLIENTS

# These errors say that nothing of the attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
REPLY_LIMIT_S = 6.0


@dataclasses.dataclass
class Write:
    item: str
    value: int
    id: str
    acknowledged: float | None = None
    refused: bool = False


@dataclasses.dataclass
class Read:
    item: str
    value: int
    begun: float
    strict: bool


class Disconnected(Exception):
    """The connection ended, or no reply came in time."""


class Session:
    """One connection of a client."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, endpoint, database):
        host, port = endpoint.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            session = cls(reader, writer)
            writer.write(f"START {database} client\r\n".encode())
            await session._reply()
            return session
        except OSError as error:
            raise Disconnected(str(error)) from error

    async def ask(self, identifier, text):
        """Returns (rows, error code or None)."""
        self._writer.write(f"QUERY {identifier} {text}\r\n".encode())
        return await self._reply()

    async def _reply(self):
        rows, error = [], None
        while True:
            try:
                line = await asyncio.wait_for(self._reader.readline(),
                                              REPLY_LIMIT_S)
            except (OSError, asyncio.TimeoutError) as failure:
                raise Disconnected(str(failure)) from failure
            word, _, rest = line.decode().strip().partition(" ")
            if word == "READY":
                return rows, error
            if word == "DATAROW":
                rows.append(rest)
            elif word == "ERROR":
                error = rest.split(" ")[0]
            elif word != "COMPLETE":
                raise Disconnected("closed")

    def close(self):
        self._writer.close()


class Load:
    """All clients of a run."""

    def __init__(self, fleet, random, clients):
        self.fleet = fleet
        self.random = random
        self.names = [f"c{n}" for n in range(clients)]
        self.writes = []
        self.reads = []
        self.failures = 0
        self.stopping = False
        self._ids = itertools.count(1)

    async def run_client(self, name):
        value = 0
        while not self.stopping:
            node = self.random.choice(self.fleet.nodes)
            database = self.random.choice(("strict", "own"))
            try:
                session = await Session.open(
                    self.fleet.port(CLIENTS, node), database)
            except Disconnected:
                await asyncio.sleep(0.1)
                continue
            try:
                for _ in range(self.random.randint(1, 40)):
                    value += 1
                    await self._operate(session, name, value, database)
                    if self.stopping:
                        break
                    await self._pause()
            except Disconnected:
                self.failures += 1
            finally:
                session.close()

    async def _pause(self):
        """Now and then long enough that a node sleeps and a primary moves
        meanwhile, so that the next request meets a node with an old view."""
        longest = 3.0 if self.random.random() < 0.03 else 0.03
        await asyncio.sleep(self.random.uniform(0, longest))

    async def _operate(self, session, name, value, database):
        if self.random.random() < 0.4:
            await self._write(session, name, value)
        else:
            item = self.random.choice(self.names)
            await self._read(session, item, database)

    async def _write(self, session, name, value):
        identifier = f"w{next(self._ids)}"
        write = Write(name, value, identifier)
        self.writes.append(write)
        if self.random.random() < 0.5:
            _, error = await session.ask(identifier, f"WRITE {name} {value}")
        else:
            error = await self._transaction(session, write)
        if error is None:
            write.acknowledged = asyncio.get_running_loop().time()
        elif error in PROMISES:
            write.refused = True
        else:
            raise Disconnected(error)

    async def _transaction(self, session, write):
        for identifier, text in (
                ("b" + write.id, "BEGIN"),
                ("x" + write.id, f"WRITE {write.item} {write.value}")):
            _, error = await session.ask(identifier, text)
            if error is not None:
                # The commit was never sent, so nothing may be kept.
                write.refused = True
                raise Disconnected(error)
            await asyncio.sleep(self.random.uniform(0, 0.01))
        _, error = await session.ask(write.id, "COMMIT")
        if error in PROMISES:
            write.refused = True
            raise Disconnected(error)
        return error

    async def _read(self, session, item, database):
        begun = asyncio.get_running_loop().time()
        rows, error = await session.ask(f"r{next(self._ids)}", f"READ {item}")
        if error is not None:
            self.failures += 1
            return
        value = 0 if rows == ["none"] else int(rows[0])
        self.reads.append(Read(item, value, begun, database == "strict"))


def check(load, history):
    """Broken promises, as texts."""
    commits = history["commits"]
    gone = set(history["rolled_back"]) | set(history["after_promotion"])
    broken = []
    kept = {}
    for it in load.writes:
        count = commits.get(it.id, 0)
        if count > 1:
            broken.append(f"{it.id} took effect {count} times")
        if it.refused and count > 0:
            broken.append(f"{it.id} was refused and took effect")
        if it.acknowledged is None:
            continue
        if count == 0:
            broken.append(f"{it.id} was acknowledged and is nowhere")
        if it.id in history["after_promotion"]:
            broken.append(f"{it.id} was acknowledged by an old primary")
        if it.id not in gone:
            kept.setdefault(it.item, []).append(it)
    for it in load.reads:
        # Clients of a route with a staleness allowance see their own writes
        # while they stay connected; only strict reads bind across sessions.
        if not it.strict:
            continue
        due = max((write.value for write in kept.get(it.item, ())
                   if write.acknowledged < it.begun), default=0)
        if it.value < due:
            broken.append(f"strict read of {it.item} gave {it.value}, {due} "
                          "was acknowledged before")
    return broken
