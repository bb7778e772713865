"""Servers of a database service that follow PROTOCOL.md.

A service has one log for each server. A commit at the primary is acknowledged
at once and reaches the replicas later.
"""

import asyncio
import itertools
import time

PROMOTE_S = 0.3
DEMOTE_S = 1.0


class Service:
    def __init__(self, name, record, slots=2, queue=16, max_connections=16,
                 work_s=0.009, lag_s=0.008, handshake_s=0.012, sync=0):
        self.name = name
        self.record = record
        self.slots = slots
        self.queue = queue
        self.max_connections = max_connections
        self.work_s = work_s
        self.lag_s = lag_s
        self.handshake_s = handshake_s
        self.sync = sync
        self.servers = {}
        self.term = 1
        self.runs = []
        self.commits = []
        self.promoted = []
        self.rolled_back = set()

    def add(self, server):
        self.servers[server.id] = server

    def leader(self):
        return max(self.servers.values(), key=lambda it: it.leads)

    def promote_soon(self, server):
        if server is self.leader() and server.primary:
            return
        asyncio.get_running_loop().call_later(PROMOTE_S, self._promote, server)

    def _promote(self, server):
        if server.crashed or server is self.leader() and server.primary:
            return
        self.term += 1
        server.leads = self.term
        server.primary = True
        self.record(f"leads server={server.id} term={self.term} "
                    f"commits={len(server.log)}")
        self.promoted.append((server, list(server.log)))
        for other in self.servers.values():
            for entry in other.log[len(server.log):]:
                self.rolled_back.add(entry["id"])
            if other is not server and not other.primary and \
                    other.cut.is_set() == server.cut.is_set():
                other.log = list(server.log)
        asyncio.get_running_loop().call_later(DEMOTE_S, self._demote, server)

    def _demote(self, leader):
        for other in self.servers.values():
            if other.leads < leader.leads and other.primary and \
                    other.cut.is_set() == leader.cut.is_set():
                other.step_down()

    def cut_off(self, servers):
        for it in servers:
            it.cut.clear()

    def heal(self):
        """An old primary goes on for a second after it can reach the new
        one; replicas catch up."""
        for it in self.servers.values():
            it.cut.set()
        leader = self.leader()
        asyncio.get_running_loop().call_later(DEMOTE_S, self._demote, leader)
        for it in self.servers.values():
            if it is not leader and not it.primary:
                it.log = list(leader.log)

    def committed(self, primary, entry):
        self.commits.append(entry | {"server": primary.id,
                                     "at": time.monotonic(),
                                     "late": primary.leads < self.term})
        for other in self.servers.values():
            if other is not primary and not other.primary:
                asyncio.get_running_loop().call_later(
                    self.lag_s, other.receive, primary, entry)


class Server:
    def __init__(self, service, identity, host, port, zone, primary):
        self.service = service
        self.id = identity
        self.host, self.port, self.zone = host, port, zone
        self.primary = primary
        self.leads = service.term if primary else 0
        self.log = []
        self.crashed = False
        self.deaf = False
        # Behind a partition: nothing is received, sent or heard of.
        self.cut = asyncio.Event()
        self.cut.set()
        self.draining = False
        self.connections = set()
        self.born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(service.slots)
        self._waiting = 0
        self._listener = None
        service.add(self)

    async def listen(self):
        self._listener = await asyncio.start_server(
            lambda r, w: Connection(self, r, w).serve(), self.host, self.port)

    def registration(self):
        return {"Service": self.service.name,
                "Address": f"{self.host}:{self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": self.service.slots,
                "State": "draining" if self.draining else "ready",
                "ColdRemainingMs": 0, "Sequence": 1, "born": self.born,
                "DatabaseRole": "primary" if self.primary else "replica"}

    def position(self):
        if not self.log:
            return (1, 0)
        return (self.log[-1]["term"], len(self.log))

    def step_down(self):
        self.primary = False
        self.log = list(self.service.leader().log)

    def receive(self, primary, entry):
        if self.crashed or self.deaf or self.primary or \
                self.cut.is_set() != primary.cut.is_set() or \
                primary.leads < self.service.term:
            return
        if len(self.log) < entry["number"]:
            self.log = list(primary.log[:entry["number"]])
        entry["received"].set()

    def read(self, item):
        return next((it["writes"][item] for it in reversed(self.log)
                     if item in it["writes"]), "none")

    def commit(self, identity, writes):
        entry = {"id": identity, "term": self.leads, "writes": writes,
                 "number": len(self.log) + 1, "received": asyncio.Event()}
        self.log.append(entry)
        self.service.committed(self, entry)
        return entry

    def crash(self):
        """The process is gone; its log is kept."""
        self.crashed = True
        self._listener.close()
        self.reset_connections()

    async def restart(self):
        """Comes back with its log, as a replica if another one leads."""
        if self.service.leader() is not self:
            self.step_down()
        self.crashed = False
        await self.listen()

    def reset_connections(self):
        for it in list(self.connections):
            it.writer.transport.abort()

    def is_full(self):
        """No slot is free."""
        return self._slots.locked()

    async def occupy_slot(self, seconds):
        """Waits for a slot and works in it; False if the queue is full."""
        if self._waiting >= self.service.queue:
            return False
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            await asyncio.sleep(seconds)
        return True


class Connection:
    """One connection to a server."""

    numbers = itertools.count(1)

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.number = next(self.numbers)
        self.state = "I"
        self.read_only = False
        self.values, self.prepared, self.writes = {}, {}, {}

    def _send(self, *lines):
        term, number = self.server.position()
        text = "".join(line + "\r\n" for line in lines)
        self.writer.write(
            f"{text}READY {self.state} {term}.{number}\r\n".encode())

    def _fail(self, code):
        if self.state == "T":
            self.state = "E"
        self._send(f"ERROR {code} {self.server.id}")

    async def serve(self):
        service = self.server.service
        self.server.connections.add(self)
        try:
            while line := await self.reader.readline():
                await self.server.cut.wait()
                word, _, rest = line.decode().rstrip("\r\n").partition(" ")
                if word == "START":
                    fields = rest.split(" ")
                    if fields[0] != service.name or \
                            fields[2:] not in ([], [self.server.id]):
                        self.writer.write(b"ERROR MISROUTED -\r\n")
                        return
                    if len(self.server.connections) > service.max_connections:
                        self.writer.write(b"ERROR TOOMANY -\r\n")
                        return
                    await self.server.occupy_slot(service.handshake_s)
                    self._send()
                elif word == "QUERY":
                    identity, _, text = rest.partition(" ")
                    await self._query(identity, text)
                else:
                    return
        except OSError:
            pass
        finally:
            self.server.connections.discard(self)
            self.writer.close()

    async def _query(self, identity, text):
        server = self.server
        verb, _, rest = text.partition(" ")
        if verb == "WAITFOR":
            position, _, text = rest.partition(" ")
            if server.position() < tuple(map(int, position.split("."))):
                return self._fail("LAGGING")
            verb, _, rest = text.partition(" ")
        if verb in ("SET", "PREPARE", "RESET", "DEALLOCATE"):
            return self._session(verb, rest)
        if verb == "STATUS" or verb == "STEPDOWN":
            # "STATUS occupies a slot and returns either BUSY or a row."
            if verb == "STATUS" and server.is_full():
                self.server.service.record(f"status of {server.id}: BUSY")
                return self._fail("BUSY")
            if verb == "STEPDOWN" and server.primary and \
                    server.leads < int(rest):
                server.primary = False
            role = "primary" if server.primary else "replica"
            term, number = server.position()
            server.service.record(f"{verb.lower()} of {server.id}: {role} "
                                  f"{term}.{number}")
            return self._send(
                f"DATAROW {role} {server.leads if server.primary else server.service.term}"
                f" {term}.{number} 0 0 0 {len(server.connections)}",
                "COMPLETE -")
        if verb == "BEGIN":
            if rest != "READ" and not server.primary:
                return self._fail("READONLY")
            self.state, self.read_only = "T", rest == "READ"
            return self._send("COMPLETE -")
        if verb == "ROLLBACK":
            self.state, self.writes = "I", {}
            return self._send("COMPLETE -")
        if self.state == "E":
            return self._fail("MALFORMED")
        await self._run(identity, text, verb, rest)

    def _session(self, verb, rest):
        name, _, value = rest.partition(" ")
        if verb == "RESET":
            self.values, self.prepared = {}, {}
        elif verb == "SET":
            self.values[name] = value
        elif verb == "PREPARE":
            self.prepared[name] = value
        else:
            self.prepared.pop(name, None)
        self._send("COMPLETE -")

    async def _run(self, identity, text, verb, rest):
        server = self.server
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self._fail("NOSUCHNAME")
            verb = self.prepared[name].split(" ")[0]
        run = {"id": identity, "text": text, "server": server.id,
               "connection": self.number, "state": self.state,
               "values": dict(self.values), "begun": time.monotonic(),
               "ended": None}
        server.service.runs.append(run)
        if not await server.occupy_slot(server.service.work_s):
            server.service.runs.remove(run)
            return self._fail("BUSY")
        run["ended"] = time.monotonic()
        lost_lead = self.state == "T" and not self.read_only and \
            not server.primary and not (verb == "COMMIT" and not self.writes)
        if lost_lead or (verb == "WRITE" and not server.primary):
            return self._fail("READONLY")
        lines = []
        if verb == "READ":
            run["log"] = (server.log, len(server.log))
            lines.append("DATAROW " + server.read(rest.split(" ")[0]))
        elif verb == "WRITE":
            item, _, data = rest.partition(" ")
            self.writes[item] = data
        if verb == "COMMIT" or (verb == "WRITE" and self.state == "I"):
            self.state = "I"
            if self.writes:
                entry = server.commit(identity, self.writes)
                if server.service.sync:
                    await entry["received"].wait()
            self.writes = {}
        self._send(*lines, f"COMPLETE sig.{server.id}")
