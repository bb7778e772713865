"""The platform, database groups and clients that the scripts of this review use.

Everything runs in one asyncio loop on loopback addresses and the real clock.
The stand-ins follow PROTOCOL.md; where it is silent, they behave like a sound
store, server or client.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.parse

HOST = "127.0.0.1"


def now():
    return time.monotonic()


def free_ports(count):
    """Returns ports of a block of consecutive free ports.

    Scripts that run at the same time begin at different blocks.
    """
    first = os.getpid() % 120
    for n in range(120):
        base = 12000 + (first + n) % 120 * 150
        socks = []
        try:
            for n in range(count):
                s = socket.socket()
                s.bind((HOST, base + n))
                socks.append(s)
            return [base + n for n in range(count)]
        except OSError:
            continue
        finally:
            for s in socks:
                s.close()
    raise RuntimeError("no free ports")


class Record:
    """The file record.txt: one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = now()

    def line(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{now() - self.start:9.4f} {event} {text}\n")

    def close(self):
        self.file.close()


class HttpServer:
    """A small HTTP/1.1 server with persistent connections."""

    def __init__(self, port, handler):
        self.port = port
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def stop(self):
        """Ends as a process does: refuses connections and resets the open ones."""
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    line = (await reader.readline()).decode().strip()
                    if not line:
                        break
                    name, value = line.split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = b""
                if int(headers.get("content-length", 0)):
                    body = await reader.readexactly(
                        int(headers["content-length"]))
                reply = await self.handler(method, target, headers, body)
                if reply is None:
                    # No reply, now or later; the connection stays open.
                    await asyncio.sleep(3600)
                    break
                status, data, extra = reply
                text = json.dumps(data).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(text)}\r\n"
                for name, value in extra.items():
                    head += f"{name}: {value}\r\n"
                writer.write(head.encode() + b"\r\n" + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store (form kv): revisions, conditional changes, eras."""

    def __init__(self, port, record):
        self.items = {}
        self.revision = 100
        self.era = 0
        self.away = False
        self.record = record
        self.http = HttpServer(port, self.handle)
        self.copies = []
        self.outside = {}
        self.answer_s = 0.004

    def put_outside(self, key, value):
        """A write of the operator or of a server, written again after a restore."""
        self.outside[key] = value
        if self.away:
            return
        self.revision += 1
        old = self.items.get(key)
        made = old[2] if old else self.revision
        self.items[key] = (json.dumps(value).encode(), self.revision, made)

    def copy(self):
        return (dict(self.items), self.revision)

    def restore(self, copy):
        self.items, self.revision = dict(copy[0]), copy[1]
        self.era += 1
        self.away = False
        for key, value in self.outside.items():
            self.put_outside(key, value)

    def item(self, key):
        value, revision, made = self.items[key]
        return {"Key": key, "Value": base64.b64encode(value).decode(),
                "Revision": revision, "CreatedRevision": made, "LeaseId": 0}

    def get(self, key):
        return json.loads(self.items[key][0]) if key in self.items else None

    async def handle(self, method, target, headers, body):
        if self.away:
            return None
        era = self.era
        await asyncio.sleep(self.answer_s / 2)
        if self.away or era != self.era:
            return None
        status, data = self.run(method, target, body)
        extra = {"Store-Era": str(self.era)}
        await asyncio.sleep(self.answer_s / 2)
        if self.away or era != self.era:
            return None
        return status, data, extra

    def run(self, method, target, body):
        path, _, query = target.partition("?")
        args = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        if path == "/kv-key":
            if args["Key"] not in self.items:
                return 404, {"AtRevision": self.revision}
            return 200, dict(self.item(args["Key"]), AtRevision=self.revision)
        if path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(args["Prefix"])
                          and k > args.get("after", ""))
            return 200, {"items": [self.item(k) for k in keys[:500]],
                         "HasMore": len(keys) > 500,
                         "AtRevision": self.revision}
        if path == "/kv-txn":
            call = json.loads(body)
            rows = call.get("ExpectedRevision", [])
            holds = all(
                (self.items[r["Key"]][1] if r["Key"] in self.items else 0)
                == r["Revision"] for r in rows)
            if not holds:
                return 412, {"items": [self.item(r["Key"]) for r in rows
                                       if r["Key"] in self.items]}
            changes = call.get("SetKeys", []) + call.get("Remove", [])
            if changes:
                self.revision += 1
            for it in call.get("SetKeys", []):
                old = self.items.get(it["Key"])
                made = old[2] if old else self.revision
                self.items[it["Key"]] = (base64.b64decode(it["Value"]),
                                         self.revision, made)
                self.record.line("store_set", key=it["Key"],
                                 revision=self.revision, era=self.era,
                                 value=base64.b64decode(it["Value"]).decode())
            for key in call.get("Remove", []):
                self.items.pop(key, None)
                self.record.line("store_remove", key=key, era=self.era)
            return 200, {"Revision": self.revision}
        return 404, {}


class Server:
    """One server of a group."""

    def __init__(self, group, name, port, zone):
        self.group, self.id, self.port, self.zone = group, name, port, zone
        self.primary = False
        self.term = 1
        self.log = []  # (term, number, id, item, data)
        self.applied = 0  # length of the applied part of the log
        self.slots = asyncio.Semaphore(group.slots)
        self.connections = set()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.listener = None

    def position(self, applied=True):
        n = self.applied if applied else len(self.log)
        if n == 0:
            return (1, 0)
        return self.log[n - 1][:2]

    def entry(self):
        self.sequence += 1
        return {"Service": self.group.name, "Address": f"{HOST}:{self.port}",
                "Zone": self.zone, "Version": "v1", "Slots": self.group.slots,
                "State": "ready", "ColdRemainingMs": 0,
                "DatabaseRole": "primary" if self.primary else "replica",
                "Sequence": self.sequence, "born": self.born}

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, HOST, self.port,
                                                   limit=1 << 20)

    async def serve(self, reader, writer):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        it = ServerConnection(self, reader, writer)
        self.connections.add(it)
        try:
            await it.run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(it)
            writer.close()


class ServerConnection:
    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.group = server.group
        self.state = "I"
        self.read_only = False
        self.pending = []
        self.values = {}
        self.prepared = {}

    def ready(self):
        term, number = self.server.position()
        return f"READY {self.state} {term}.{number}\r\n"

    def send(self, text):
        self.writer.write(text.encode())

    def error(self, code):
        if self.state == "T":
            self.state = "E"
        self.send(f"ERROR {code} {self.server.id}\r\n" + self.ready())

    def done(self, signature="-", rows=()):
        text = "".join(f"DATAROW {r}\r\n" for r in rows)
        self.send(text + f"COMPLETE {signature}\r\n" + self.ready())

    async def run(self):
        line = (await self.reader.readline()).decode().rstrip("\r\n")
        words = line.split(" ")
        if (words[0] != "START" or words[1] != self.group.name
                or (len(words) > 3 and words[3] != self.server.id)):
            self.send("ERROR MISROUTED -\r\n")
            return
        if len(self.server.connections) > self.group.max_connections:
            self.send("ERROR TOOMANY -\r\n")
            return
        await asyncio.sleep(0.012)
        self.send(self.ready())
        while True:
            line = await self.reader.readline()
            if not line:
                return
            line = line.decode().rstrip("\r\n")
            if line == "TERMINATE":
                return
            _, ident, text = line.split(" ", 2)
            await self.query(ident, text)

    async def query(self, ident, text):
        server = self.server
        wait_for = None
        if text.startswith("WAITFOR "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            wait_for = (int(term), int(number))
            if server.position() < wait_for:
                self.error("LAGGING")
                return
        verb, _, rest = text.partition(" ")
        if verb in ("STATUS", "STEPDOWN"):
            if verb == "STEPDOWN" and server.primary and int(rest) > server.term:
                server.primary = False
            term, number = server.position(applied=False)
            role = "primary" if server.primary else "replica"
            self.done("-", [f"{role} {server.term} {term}.{number} 0 0 0 "
                            f"{len(server.connections)}"])
            return
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            self.done()
            return
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            self.done()
            return
        if verb == "PREPARE":
            name, access, shape = rest.split(" ", 2)
            self.prepared[name] = (access, shape)
            self.done()
            return
        if verb == "BEGIN":
            self.read_only = rest == "READ"
            if not self.read_only and not server.primary:
                self.error("READONLY")
                return
            self.state = "T"
            self.done()
            return
        if verb == "ROLLBACK":
            self.state, self.pending = "I", []
            self.done()
            return
        async with server.slots:
            await asyncio.sleep(self.group.work_s)
            self.execute(ident, verb, rest, wait_for)

    def execute(self, ident, verb, rest, wait_for):
        server, group = self.server, self.group
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                self.error("NOSUCHNAME")
                return
            verb = self.prepared[name][0]
        if ((verb == "WRITE" or (self.state == "T" and not self.read_only))
                and not server.primary):
            if verb != "COMMIT" or self.pending:
                self.error("READONLY")
                return
        rows = []
        if verb == "READ":
            value = "none"
            for entry in server.log[:server.applied]:
                if entry[3] == rest:
                    value = entry[4]
            rows = [value]
        elif verb == "WRITE":
            item, _, data = rest.partition(" ")
            self.pending.append((ident, item, data))
        if verb == "COMMIT" or (verb == "WRITE" and self.state == "I"):
            self.state = "I"
            for it in self.pending:
                group.commit(server, *it)
            self.pending = []
        term, number = server.position()
        group.record.line("ran", server=server.id, id=ident, verb=verb,
                          applied=f"{term}.{number}",
                          wait_for=(f"{wait_for[0]}.{wait_for[1]}"
                                    if wait_for else "none"))
        group.on_run(server, ident, verb, (term, number))
        self.done(f"{server.id}.{ident}", rows)


class Group:
    """A primary and its replicas, which apply its commits lag_s later."""

    def __init__(self, name, record, lag_s, work_s, slots, max_connections):
        self.name, self.record = name, record
        self.lag_s, self.work_s, self.slots = lag_s, work_s, slots
        self.max_connections = max_connections
        self.servers = {}
        self.on_run = lambda *args: None
        self.commits = {}  # id -> position

    def add(self, name, port, zone):
        it = Server(self, name, port, zone)
        it.primary = not self.servers
        self.servers[name] = it

    def commit(self, server, ident, item, data):
        number = server.log[-1][1] + 1 if server.log else 1
        entry = (server.term, number, ident, item, data)
        server.log.append(entry)
        server.applied = len(server.log)
        self.commits[ident] = entry[:2]
        for it in self.servers.values():
            if it is not server:
                asyncio.get_running_loop().call_later(
                    self.lag_s, self.apply, it, entry)

    @staticmethod
    def apply(server, entry):
        if not server.primary and (not server.log or
                                   server.log[-1][:2] < entry[:2]):
            server.log.append(entry)
            server.applied = len(server.log)


class Node:
    """One process of the product, started as the deploy file says."""

    def __init__(self, root, folder, name, zone, zones, store_port, cloud_port,
                 seeds, ports, limits=None, bounds=None):
        self.name, self.ports = name, ports
        self.front, self.readiness, self.control = ports[:3]
        self.root = root
        self.path = os.path.join(folder, name + ".json")
        self.log = open(os.path.join(folder, name + ".log"), "wb")
        settings = {
            "NodeName": name, "Role": "node", "MachineClass": "front",
            "Serves": ["front", "control"], "IpAddress": HOST, "Zone": zone,
            "Region": "r", "Zones": {z: "r" for z in zones},
            "BindAddresses": {"Front": f"{HOST}:{self.front}",
                              "Readiness": f"{HOST}:{self.readiness}",
                              "Control": f"{HOST}:{self.control}"},
            "InternalPortRange": [ports[3], ports[-1]],
            "Seeds": seeds, "Bootstrap": True, "InTolerance": True,
            "Limits": limits or {"CpuShare": 0.25, "CpuCores": 1,
                                 "MemoryMb": 260, "MaxFileDescriptors": 4200,
                                 "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDirectory": None, "Discovery": "platform",
            "Entry": "virtual_ip", "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "recover", "sql",
                          "platform"],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": bounds or {
                "SeedLagS": 3, "AddressReuseS": 2, "StabilityMs": 4000,
                "AckTimeoutMs": 5000, "CatchUpS": 4, "DrainMs": 7000,
                "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
                "DowngradeSlackMs": 250, "MaxStretchMs": 12000,
                "RecoveryS": 12, "RequireFencing": False, "ThawSlackMs": 300},
            "platform": {"Address": f"{HOST}:{store_port}", "form": "kv",
                         "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20,
                         "ValueBytes": 1048576, "MinTtlMs": 1000},
            "Cloud": {"Address": f"{HOST}:{cloud_port}", "RatePerS": 50.0,
                      "Duties": ["promotion"], "DutyPerS": 50.0}}
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        env = {k: v for k, v in os.environ.items()
               if k in ("PATH", "HOME", "LANG")}
        env["BAOBABPIN_NODE_FILE"] = self.path
        self.process = subprocess.Popen(
            ["target/bin/baobabpin", "--platform"], cwd=self.root, env=env,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Session:
    """A client's session with one node."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def open(self, database):
        self.reader, self.writer = await asyncio.open_connection(
            HOST, self.port, limit=1 << 21)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writer.write(f"START {database}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readline(), 2)).decode()
        if not line.startswith("READY"):
            raise ConnectionError(line.strip() or "closed")

    async def query(self, ident, text, limit=2.0):
        """Returns (signature, None, rows) or (None, code, rows)."""
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        return await asyncio.wait_for(self.reply(), limit)

    async def reply(self):
        rows, signature, code = [], None, None
        while True:
            line = await self.reader.readline()
            if not line:
                raise ConnectionError("closed")
            word, _, rest = line.decode().rstrip("\r\n").partition(" ")
            if word == "DATAROW":
                rows.append(rest)
            elif word == "COMPLETE":
                signature = rest
            elif word == "ERROR":
                code = rest.split(" ")[0]
            elif word == "READY":
                return signature, code, rows

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None


class World:
    """A small deployment: a store, a promotion call, groups and nodes."""

    def __init__(self, root, folder, record_path, zones, nodes, kind,
                 stale_ms, lag_s, work_s, slots, max_connections, groups=1):
        self.tasks = []
        self.nodes = []
        signal.signal(signal.SIGTERM, self.on_sigterm)
        self.record = Record(record_path)
        ports = free_ports(2 + 3 * groups + nodes * 5)
        store_port, cloud_port = ports[:2]
        self.store = Store(store_port, self.record)
        self.cloud = HttpServer(cloud_port, self.promote)
        self.groups = []
        for g in range(groups):
            group = Group(f"ledger{g + 1}", self.record, lag_s, work_s, slots,
                          max_connections)
            for n in range(3):
                group.add(f"i-{g}{n}{random.randrange(1 << 20):05x}",
                          ports[2 + 3 * g + n], zones[n % len(zones)])
            self.groups.append(group)
        self.group = self.groups[0]
        first = 2 + 3 * groups
        node_ports = [ports[first + 5 * n:first + 5 * n + 5]
                      for n in range(nodes)]
        seeds = [f"{HOST}:{p[2]}" for p in node_ports[:3]]
        for n in range(nodes):
            self.nodes.append(Node(root, folder, f"front-{n + 1:02d}",
                                   zones[n % len(zones)], zones, store_port,
                                   cloud_port, seeds, node_ports[n]))
        self.config = {
            "Version": 3,
            "Routes": [{"Name": f"r{g}", "DatabaseName": f"db{g}", "Kind": kind,
                        "TimeoutMs": 800, "TargetLatencyMs": 200,
                        "MaxStalenessMs": stale_ms, "Priority": 1,
                        "Service": f"ledger{g}"}
                       for g in range(1, groups + 1)],
            "Services": [{"Name": f"ledger{g}",
                          "MaxConnections": max_connections, "SyncReplicas": 0}
                         for g in range(1, groups + 1)],
            "Limits": {"TransactionIdleMs": 3000}}

    async def promote(self, method, target, headers, body):
        call = json.loads(body)
        self.record.line("promotion", id=call["Id"],
                         holder=headers.get("x-duty-holder"),
                         token=headers.get("x-fencing-token"))
        await asyncio.sleep(0.004)
        group = next((g for g in self.groups if call["Id"] in g.servers), None)
        if group is None:
            return 409, {}, {}
        server = group.servers[call["Id"]]
        if not server.primary:
            asyncio.get_running_loop().call_later(0.3, self.lead, server)
        return 200, {}, {}

    @staticmethod
    def lead(server):
        servers = server.group.servers.values()
        term = max(s.term for s in servers) + 1
        for it in servers:
            it.primary = it is server
            it.term = term

    async def heartbeats(self):
        while True:
            for group in self.groups:
                for name, it in group.servers.items():
                    self.store.put_outside("servers/" + name, it.entry())
            await asyncio.sleep(1.2)

    async def copies(self):
        """Keeps copies of the store, one every 100 ms."""
        while True:
            if not self.store.away:
                self.store.copies.append((now(), self.store.copy()))
            await asyncio.sleep(0.1)

    async def start(self):
        await self.store.http.start()
        await self.cloud.start()
        for group in self.groups:
            for it in group.servers.values():
                await it.start()
        self.store.put_outside("op/config", self.config)
        self.tasks.append(asyncio.create_task(self.heartbeats()))
        self.tasks.append(asyncio.create_task(self.copies()))
        await asyncio.sleep(0.1)
        for it in self.nodes:
            it.start()

    async def ready(self, limit=15):
        """Waits until all nodes are ready."""
        end = now() + limit
        missing = list(self.nodes)
        while missing and now() < end:
            still = []
            for it in missing:
                if not await self.is_ready(it):
                    still.append(it)
            missing = still
            await asyncio.sleep(0.1)
        return not missing

    @staticmethod
    async def is_ready(node):
        try:
            reader, writer = await asyncio.open_connection(HOST, node.readiness)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def away_and_back(self, away_s, age_s, silent=False):
        """A drill: the store is away and comes back from an older copy."""
        self.record.line("store_away")
        began = now()
        self.store.away = True
        if not silent:
            self.store.http.stop()
        await asyncio.sleep(away_s)
        old = [c for t, c in self.store.copies if t <= began - age_s]
        copy = old[-1] if old else self.store.copies[0][1]
        self.store.restore(copy)
        if not silent:
            await self.store.http.start()
        self.record.line("store_back", era=self.store.era,
                         revision=self.store.revision)

    def on_sigterm(self, *_):
        """Ends the nodes too if the script itself is ended."""
        self.stop()
        os._exit(2)

    def stop(self):
        for it in self.tasks:
            it.cancel()
        for it in self.nodes:
            it.kill()
        self.record.close()
