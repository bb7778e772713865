"""Stand-ins for the platform and one database group, and a driver for nodes.

Everything runs on one asyncio loop and on loopback addresses. The store, the
promotion call and the servers do what PROTOCOL.md says; a test asks them for
the disruptions that the pages name.
"""
import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "baobabpin")
HEARTBEAT_S = 1.2
REPLICATION_S = 0.008
PROMOTE_S = 0.6
WORK_S = 0.003
HANDSHAKE_S = 0.012


def free_port(address="127.0.0.1"):
    with socket.socket() as s:
        s.bind((address, 0))
        return s.getsockname()[1]


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


class HttpServer:
    """A small HTTP/1.1 server with keep-alive."""

    def __init__(self):
        self.writers = set()

    async def listen(self, port, backlog=100):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, backlog=backlog, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self.handle(method, target, headers, body)
                if status is None:
                    continue
                data = json.dumps(answer).encode()
                extra = "".join(f"{k}: {v}\r\n" for k, v in self.extra_headers().items())
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{extra}"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def extra_headers(self):
        return {}


class Store(HttpServer):
    """The platform's metadata store (kv form)."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.items = {}
        self.revision = 10
        self.era = 0
        self.mode = "up"  # up, busy (503) or silent

    def extra_headers(self):
        return {"Store-Era": str(self.era)}

    def put(self, key, value):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]

    def item(self, key):
        value, revision, created = self.items[key]
        return {"Key": key, "Value": base64.b64encode(value).decode(),
                "Revision": revision, "CreatedRevision": created, "LeaseId": 0}

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if self.mode == "silent":
            return None, None
        if self.mode == "busy":
            return 503, {}
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/kv-range":
            prefix, after = query.get("Prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "HasMore": len(keys) > 500, "AtRevision": self.revision}
        if url.path == "/kv-key":
            key = query.get("Key", "")
            if key not in self.items:
                return 404, {}
            return 200, {**self.item(key), "AtRevision": self.revision}
        if url.path == "/kv-txn":
            return self.change(json.loads(body))
        return 404, {}

    def change(self, call):
        expected = call.get("ExpectedRevision", [])
        for row in expected:
            have = self.items[row["Key"]][1] if row["Key"] in self.items else 0
            if have != row["Revision"]:
                return 412, {"items": [self.item(r["Key"]) for r in expected
                                       if r["Key"] in self.items]}
        sets, gone = call.get("SetKeys", []), call.get("Remove", [])
        if any(k.startswith(("op/", "servers/")) for k in [s["Key"] for s in sets] + gone):
            return 403, {}
        if sets or gone:
            self.revision += 1
        for row in sets:
            created = self.items[row["Key"]][2] if row["Key"] in self.items else self.revision
            self.items[row["Key"]] = (base64.b64decode(row["Value"]), self.revision, created)
        for key in gone:
            self.items.pop(key, None)
        return 200, {"Revision": self.revision}


class Cloud(HttpServer):
    """The promotion call. While it is dark, it accepts no connection."""

    def __init__(self, record, groups):
        super().__init__()
        self.record = record
        self.groups = groups
        self.calls = []  # (seconds, holder, token, server, status)
        self.fillers = []

    async def open(self, port):
        self.port = port
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", port))
        self.sock.listen(0)
        self.sock.setblocking(False)
        self.lit = asyncio.Event()
        self.lit.set()
        self.task = asyncio.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.lit.wait()
            try:
                conn, _ = self.sock.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            conn.setblocking(False)
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(lambda p=protocol: p, conn)
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            asyncio.create_task(self.serve(reader, writer))

    async def go_dark(self):
        """Stops accepting. The opening packets of new connections are dropped."""
        self.record.add("cloud: dark, opening packets are dropped")
        self.lit.clear()
        await asyncio.sleep(0.01)
        for _ in range(4):
            s = socket.socket()
            s.setblocking(False)
            try:
                s.connect(("127.0.0.1", self.port))
            except BlockingIOError:
                pass
            self.fillers.append(s)
        await asyncio.sleep(0.01)

    def go_lit(self):
        for s in self.fillers:
            s.close()
        self.fillers = []
        self.lit.set()
        self.record.add("cloud: back")

    async def handle(self, method, target, headers, body):
        at = self.record.now()
        call = json.loads(body) if body else {}
        holder, token = headers.get("x-duty-holder", ""), int(headers.get("x-fencing-token", "0"))
        await asyncio.sleep(0.004)
        server = next((g.servers[call.get("Id")] for g in self.groups
                       if g.name == call.get("Service") and call.get("Id") in g.servers), None)
        status = 200 if server and server.alive else 409
        self.calls.append((at, holder, token, call.get("Id"), status))
        self.record.add(f"cloud: {method} {target} holder={holder} token={token} "
                        f"server={call.get('Id')} -> {status}")
        if status == 200:
            asyncio.get_running_loop().call_later(PROMOTE_S, server.group.promote, server)
        return status, {}


class Server:
    """One database server."""

    def __init__(self, group, name, port, zone):
        self.group, self.id, self.port, self.zone = group, name, port, zone
        self.alive, self.draining, self.dark = True, False, False
        self.grey = 0.0  # the share of the requests that get BUSY and do not run
        self.primary, self.term = False, 0
        self.log = []  # (term, id, {item: data})
        self.applied = 0  # entries applied
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.connections = set()
        self.slots = asyncio.Semaphore(2)

    def position(self, count=None):
        n = len(self.log) if count is None else count
        return (self.log[n - 1][0], n) if n else (1, 0)

    def has(self, wanted):
        return self.position(self.applied) >= wanted

    def data(self):
        values = {}
        for _, _, writes in self.log[:self.applied]:
            values.update(writes)
        return values

    def registration(self):
        self.sequence += 1
        return json.dumps({
            "Service": self.group.name, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
            "Version": "v1", "Slots": 2, "State": "draining" if self.draining else "ready",
            "ColdRemainingMs": 0, "DatabaseRole": "primary" if self.primary else "replica",
            "Sequence": self.sequence, "born": self.born}).encode()

    async def open(self):
        self.listener = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 21, reuse_address=True)

    async def serve(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


class Connection:
    """A connection to a server: its values, prepared names and transaction."""

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.values, self.prepared = {}, {}
        self.state, self.read_only, self.pending = "I", False, {}
        self.lead = 0

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def ready(self):
        term, number = self.server.position(self.server.applied)
        return f"READY {self.state} {term}.{number}"

    def error(self, code):
        if self.state == "T":
            self.state = "E"
        self.send(f"ERROR {code} {self.server.id}", self.ready())

    async def run(self):
        line = (await self.reader.readuntil(b"\r\n"))[:-2].decode()
        while self.server.dark:
            await asyncio.sleep(0.005)
        words = line.split(" ")
        group = self.server.group
        right = words[0] == "START" and words[1] == group.name and (
            len(words) < 4 or words[3] == self.server.id)
        if not right:
            self.send("ERROR MISROUTED -")
            return
        if len(self.server.connections) > group.max_connections:
            self.send("ERROR TOOMANY -")
            return
        async with self.server.slots:
            await asyncio.sleep(HANDSHAKE_S)
        self.send(self.ready())
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            if line == "TERMINATE":
                return
            _, ident, text = line.split(" ", 2)
            while self.server.dark:
                await asyncio.sleep(0.005)
            await self.query(ident, text)
            while self.server.dark:
                await asyncio.sleep(0.005)
            await self.writer.drain()

    async def query(self, ident, text):
        server, group = self.server, self.server.group
        if server.grey and group.random.random() < server.grey:
            group.record.add(f"server {server.id}: refuses {ident} {text} with BUSY")
            self.error("BUSY")
            return
        word, _, rest = text.partition(" ")
        if word == "WAITFOR":
            position, _, text = rest.partition(" ")
            term, _, number = position.partition(".")
            if not server.has((int(term), int(number))):
                self.error("LAGGING")
                return
            word, _, rest = text.partition(" ")
        if word == "STATUS" or word == "STEPDOWN":
            if word == "STEPDOWN" and server.primary and server.term < int(rest):
                server.primary = False
                group.record.add(f"server {server.id}: STEPDOWN {rest}, is a replica")
            term, number = server.position()
            role = "primary" if server.primary else "replica"
            self.send(f"DATAROW {role} {server.term} {term}.{number} 0 8 0 "
                      f"{len(server.connections)}", "COMPLETE -", self.ready())
            return
        if word == "RESET":
            self.values, self.prepared = {}, {}
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif word == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
        elif word == "DEALLOCATE":
            if self.prepared.pop(rest, None) is None:
                self.error("NOSUCHNAME")
                return
        elif word == "BEGIN":
            if rest != "READ" and not server.primary:
                self.error("READONLY")
                return
            self.state, self.read_only, self.pending, self.lead = (
                "T", rest == "READ", {}, server.term)
        elif word == "ROLLBACK":
            self.state, self.pending = "I", {}
        else:
            await self.work(ident, word, rest, text)
            return
        self.send("COMPLETE -", self.ready())

    async def work(self, ident, word, rest, text):
        server, group = self.server, self.server.group
        shape = ""
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                self.error("NOSUCHNAME")
                return
            word, shape = self.prepared[name]
        async with server.slots:
            await asyncio.sleep(WORK_S)
        if self.state == "E" and word != "COMMIT":
            self.error("MALFORMED")
            return
        plain = self.state == "T" and not self.read_only
        lost = plain and (not server.primary or server.term != self.lead)
        wrote = bool(self.pending)
        if (word == "WRITE" and not server.primary) or (
                lost and not (word == "COMMIT" and not wrote)):
            self.error("READONLY")
            return
        rows = []
        commit = {}
        if word == "READ":
            rows = [server.data().get(rest, "none")]
            if self.state == "T" and rest in self.pending:
                rows = [self.pending[rest]]
        elif word == "WRITE":
            item, _, data = rest.partition(" ")
            self.pending[item] = data
            if self.state == "I":
                commit, self.pending = self.pending, {}
        elif word == "COMMIT":
            commit, self.pending, self.state = self.pending, {}, "I"
        else:
            self.error("MALFORMED")
            return
        if commit:
            server.log.append((server.term, ident, commit))
            server.applied = len(server.log)
            group.on_commit(server, ident)
        digest = hashlib.sha256(f"{server.id} {ident} {text} {rows}".encode()).hexdigest()[:12]
        group.runs.append((group.record.now(), server.id, ident, text, dict(self.values), shape))
        group.record.add(f"server {server.id}: runs {ident} {text} at "
                         f"{'.'.join(map(str, server.position(server.applied)))} "
                         f"values={self.values} state={self.state}")
        self.send(*[f"DATAROW {row}" for row in rows], f"COMPLETE {digest}", self.ready())


class Group:
    """A service: one primary and its replicas."""

    def __init__(self, record, store, prefix="s", count=3, max_connections=34):
        self.record, self.store = record, store
        self.name = f"transcripts-{prefix}{os.getpid()}"
        self.max_connections = max_connections
        self.term = 1
        self.random = random.Random(1)
        self.runs = []
        self.commits = []  # (seconds, server, term, id)
        self.promotions = []  # (seconds, server, term)
        names = [f"{prefix}{n}" for n in range(1, count + 1)]
        self.servers = {name: Server(self, name, free_port(), Lab.zones[n % 3])
                        for n, name in enumerate(names)}
        first = self.servers[names[0]]
        first.primary, first.term = True, 1

    async def open(self):
        for server in self.servers.values():
            await server.open()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def publish(self):
        for server in self.servers.values():
            if server.alive and not server.dark and self.store.mode == "up":
                self.store.put("servers/" + server.id, server.registration())

    def drain(self, name):
        self.record.add(f"server {name}: draining")
        self.servers[name].draining = True
        self.publish()

    def on_commit(self, server, ident):
        self.commits.append((self.record.now(), server.id, server.term, ident))
        count, term = len(server.log), server.term
        asyncio.get_running_loop().call_later(
            REPLICATION_S, self.replicate, server, count, term)

    def replicate(self, source, count, term):
        if source.term != term or self.term != term or source.dark:
            return
        for other in self.servers.values():
            follows = other is not source and not other.dark and other.term <= term
            if follows and not other.primary and len(other.log) < count:
                other.log = list(source.log[:count])
                other.applied = count

    def promote(self, server):
        if not server.alive or (server.primary and server.term == self.term):
            return
        self.term += 1
        server.primary, server.term = True, self.term
        self.promotions.append((self.record.now(), server.id, self.term))
        self.record.add(f"server {server.id}: leads term {self.term}")
        self.publish()
        asyncio.get_running_loop().call_later(1.0, self.meet, server, self.term)
        for other in self.servers.values():
            if not other.primary and not other.dark:
                self.follow(other, server)

    def follow(self, other, leader):
        other.log, other.applied = list(leader.log), len(leader.log)

    def meet(self, leader, term):
        """The other servers reach the new primary within a second."""
        if leader.term != term or not leader.primary or leader.dark:
            return
        for other in self.servers.values():
            if other is leader or other.dark or other.term >= term:
                continue
            if other.primary:
                other.primary = False
                self.record.add(f"server {other.id}: sees term {term}, is a replica")
                self.publish()
            self.follow(other, leader)


class Node:
    """A node of the deployment, started with the command of the deploy file."""

    def __init__(self, lab, number, zone):
        self.lab, self.name, self.zone = lab, f"front-{zone}-{number}", zone
        self.address = f"127.0.{10 + number}.1"
        self.log = os.path.join(lab.folder, self.name + ".log")
        self.settings = os.path.join(lab.folder, self.name + ".json")
        self.process = None
        self.read_to = 0

    async def start(self):
        lab = self.lab
        with open(self.settings, "w", encoding="utf-8") as f:
            json.dump({
                "NodeName": self.name, "Role": "node", "MachineClass": "front",
                "Serves": ["front", "control"], "IpAddress": self.address, "Zone": self.zone,
                "Region": "r", "Zones": {z: "r" for z in lab.zones},
                "BindAddresses": {"Front": f"{self.address}:{lab.ports[0]}",
                                  "Readiness": f"{self.address}:{lab.ports[1]}",
                                  "Control": f"{self.address}:{lab.ports[2]}"},
                "InternalPortRange": [lab.ports[3], lab.ports[3] + 15],
                "Seeds": [f"{n.address}:{lab.ports[2]}" for n in lab.nodes[:3]],
                "Bootstrap": True, "InTolerance": False,
                "Limits": {"CpuShare": 0.25, "CpuCores": 1, "MemoryMb": 260,
                           "MaxFileDescriptors": 4200, "LinkMbps": 1000.0, "DiskMb": 0},
                "DataDirectory": None, "Discovery": "platform", "Entry": "virtual_ip",
                "HeartbeatMs": 1200,
                "Contracts": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
                "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
                "Bounds": {"SeedLagS": 3, "AddressReuseS": 2, "StabilityMs": 4000,
                           "AckTimeoutMs": 5000, "CatchUpS": 4, "DrainMs": 7000, "GraceS": 6,
                           "LossSlackMs": 200, "ConfigApplyMs": 3000, "DowngradeSlackMs": 250,
                           "MaxStretchMs": 12000, "RecoveryS": 12, "RequireFencing": False,
                           "ThawSlackMs": 300},
                "platform": {"Address": f"127.0.0.1:{lab.store_port}", "form": "kv",
                             "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                             "ValueBytes": 1048576, "MinTtlMs": 1000},
                "Cloud": {"Address": f"127.0.0.1:{lab.cloud_port}", "RatePerS": 50.0,
                          "Duties": ["promotion"], "DutyPerS": 50.0}}, f)
        out = open(self.log, "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["BAOBABPIN_NODE_FILE"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--platform", stdout=out, stderr=out, cwd=ROOT, env=environment)
        out.close()
        lab.record.add(f"node {self.name}: started")

    def signal(self, number):
        self.lab.record.add(f"node {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def new_lines(self):
        """The lines that the node has logged since the last call."""
        with open(self.log, encoding="utf-8", errors="replace") as f:
            f.seek(self.read_to)
            text = f.read()
            end = text.rfind("\n") + 1
            self.read_to += len(text[:end].encode())
        return text[:end].splitlines()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.lab.ports[1])
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A client's session."""

    counter = 0

    def __init__(self, lab, name):
        self.lab, self.name = lab, name

    async def open(self, node, database):
        self.node = node
        self.reader, self.writer = await asyncio.open_connection(
            node.address, self.lab.ports[0], limit=1 << 21)
        self.writer.write(f"START {database} u1\r\n".encode())
        answer = await asyncio.wait_for(self.line(), 2)
        if not answer.startswith("READY"):
            raise ConnectionError(answer)

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")

    async def query(self, text, timeout=4.0):
        """Returns the lines of the answer; raises if there is none."""
        Client.counter += 1
        ident = f"{self.name}{Client.counter:08x}"
        record = self.lab.record
        record.add(f"client {self.name}: {ident} sent to {self.node.name}: {text}")
        self.writer.write(f"QUERY {ident} {text}\r\n".encode("latin-1"))
        lines = []

        async def answer():
            while not lines or not lines[-1].startswith("READY"):
                lines.append(await self.line())

        await asyncio.wait_for(answer(), timeout)
        record.add(f"client {self.name}: {ident} answered: {' | '.join(lines)}")
        return ident, lines

    def close(self):
        self.writer.close()


class Lab:
    """A small deployment."""

    zones = ["hulftsdorp", "kotte", "negombo"]

    def __init__(self, folder, nodes=9, prefixes="s", **group):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store_port, self.cloud_port = free_port(), free_port()
        base = 21000 + (os.getpid() * 37) % 9000
        self.ports = [base, base + 1, base + 2, base + 10]
        self.store = Store(self.record)
        self.groups = [Group(self.record, self.store, prefix, **group) for prefix in prefixes]
        self.group = self.groups[0]
        self.cloud = Cloud(self.record, self.groups)
        self.nodes = [Node(self, n, self.zones[n % 3]) for n in range(nodes)]

    def configure(self, version=5, routes=None, **more):
        routes = routes or [
            {"Name": "r1", "DatabaseName": "strict", "Kind": "primary", "TimeoutMs": 800,
             "TargetLatencyMs": 100, "Priority": 1, "MaxStalenessMs": 0},
            {"Name": "r2", "DatabaseName": "bounded", "Kind": "bounded_staleness",
             "TimeoutMs": 1200, "TargetLatencyMs": 300, "Priority": 2, "MaxStalenessMs": 1500},
            {"Name": "r3", "DatabaseName": "own", "Kind": "read_your_writes", "TimeoutMs": 800,
             "TargetLatencyMs": 200, "Priority": 2, "MaxStalenessMs": 2500}]
        # The databases of the first service have plain names.
        all_routes = [
            {**r, "Name": f"{r['Name']}-{n}", "Service": group.name,
             "DatabaseName": r["DatabaseName"] + (str(n + 1) if n else "")}
            for n, group in enumerate(self.groups) for r in routes]
        services = [{"Name": group.name, "MaxConnections": group.max_connections,
                     "SyncReplicas": 0} for group in self.groups]
        self.store.put("op/config", json.dumps({
            "Version": version, "Routes": all_routes, "Services": services,
            "Limits": {"TransactionIdleMs": 3000}, **more}).encode())

    async def start(self):
        self.configure()
        await self.store.listen(self.store_port)
        await self.cloud.open(self.cloud_port)
        for group in self.groups:
            await group.open()
        for node in self.nodes:
            await node.start()
        for _ in range(200):
            if all([await n.ready() for n in self.nodes]):
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the nodes are not ready")
        self.record.add("all nodes are ready")

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                except ProcessLookupError:
                    pass
        for node in self.nodes:
            if node.process:
                await node.process.wait()


def main(folder, scenario, limit=110, **options):
    """Runs the scenario: 1 the rule is broken, 0 it held, 2 the case did not run."""

    async def whole():
        lab = Lab(folder, **options)
        try:
            await lab.start()
            return await asyncio.wait_for(scenario(lab), limit)
        finally:
            await lab.stop()
            for name in os.listdir(lab.folder):
                if os.environ.get("KEEP"):
                    continue
                os.unlink(os.path.join(lab.folder, name))
            if not os.environ.get("KEEP"):
                os.rmdir(lab.folder)
            else:
                print("kept", lab.folder)

    try:
        code = asyncio.run(whole())
    except Exception as error:  # noqa: BLE001
        print("could not run:", repr(error), file=sys.stderr)
        code = 2
    sys.exit(code)
