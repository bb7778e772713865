"""A small deployment: node processes started as the deploy file says, with the
stand-ins of the platform in this process."""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

from database import Server, Service
from store import Cloud, Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
BINARY = os.environ.get("BINARY", os.path.join(ROOT, "target/bin/baobabpin"))
HOST = "127.0.0.1"
GRACE_S = 6
REGISTER_S = 0.3
HEARTBEAT_S = 1.2


def free_range(count):
    """The first of \\p count free ports below those that the system hands
    out."""
    for first in range(21000 + os.getpid() % 90 * 100, 32000, 100):
        sockets = []
        try:
            for port in range(first, first + count):
                it = socket.socket()
                sockets.append(it)
                it.bind((HOST, port))
            return first
        except OSError:
            continue
        finally:
            for it in sockets:
                it.close()
    raise RuntimeError("no free ports")


class Record:
    """record.txt: what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")

    def close(self):
        self._file.close()


class Deployment:
    def __init__(self, record, nodes=3, node_zones="ab", server_zones="ab", service_names=("ledger",),
                 servers_each=3, routes=(), grace_s=GRACE_S, **service):
        self.record = record
        self.grace_s = grace_s
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.names = [f"front-{n + 1}" for n in range(nodes)]
        self.first = free_range(90)
        self.store = Store()
        self.services = {name: Service(name, record, **service)
                         for name in service_names}
        self.cloud = Cloud(self.services, record)
        self.servers = {}
        self.processes = {}
        self.logs = []
        self._tasks = []
        self._servers_each = servers_each
        self._node_zones = node_zones
        self._server_zones = server_zones
        self.config = {
            "Version": 3,
            "Routes": list(routes),
            "Services": [{"Name": name, "MaxConnections":
                          it.max_connections, "SyncReplicas": it.sync}
                         for name, it in self.services.items()],
            "Limits": {"TransactionIdleMs": 3000}}

    def port(self, name, offset):
        """0 clients, 1 readiness, 2 control, 3 and 4 internal."""
        return self.first + 40 + 5 * self.names.index(name) + offset

    async def start(self):
        await self.store.http.listen(HOST, self.first)
        await self.cloud.http.listen(HOST, self.first + 1)
        port = self.first + 2
        for number, service in enumerate(self.services.values(), 1):
            for n in range(self._servers_each):
                it = Server(service, f"i-{number}{n}", HOST, port,
                            self._server_zones[n % len(self._server_zones)], n == 0)
                port += 1
                self.servers[it.id] = it
                await it.listen()
        self.store.put("op/config", self.config)
        self._tasks.append(asyncio.create_task(self._register()))
        for name in self.names:
            self.start_node(name)
        await self.until(lambda: all(map(self.is_ready, self.names)),
                         "the nodes", 20)

    async def _register(self):
        """The servers' entries; that of a server that can't reach the store
        goes after three heartbeats."""
        silent_since = {}
        while True:
            for it in self.servers.values():
                key = "servers/" + it.id
                if it.crashed or not it.cut.is_set():
                    since = silent_since.setdefault(it.id, time.monotonic())
                    if time.monotonic() - since > 3 * HEARTBEAT_S:
                        self.store.remove(key)
                    continue
                silent_since.pop(it.id, None)
                if self.store.document(key) != it.registration():
                    self.store.put(key, it.registration())
            await asyncio.sleep(REGISTER_S)

    def start_node(self, name):
        n = self.names.index(name)
        settings = {
            "NodeName": name, "Role": "node", "MachineClass": "front",
            "Serves": ["front", "control"], "IpAddress": HOST,
            "Zone": self._node_zones[n % len(self._node_zones)], "Region": "r",
            "Zones": {"a": "r", "b": "r"},
            "BindAddresses": {"Front": f"{HOST}:{self.port(name, 0)}",
                              "Readiness": f"{HOST}:{self.port(name, 1)}",
                              "Control": f"{HOST}:{self.port(name, 2)}"},
            "InternalPortRange": [self.port(name, 3), self.port(name, 4)],
            "Seeds": [f"{HOST}:{self.port(it, 2)}" for it in self.names[:3]],
            "Bootstrap": True, "HeartbeatMs": 1200,
            "Limits": {"CpuShare": 0.25, "CpuCores": 1, "MemoryMb": 260,
                       "MaxFileDescriptors": 4200, "LinkMbps": 1000.0,
                       "DiskMb": 0},
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 0},
            "Bounds": {"StabilityMs": 4000, "DrainMs": 7000,
                       "GraceS": self.grace_s, "LossSlackMs": 200,
                       "ConfigApplyMs": 3000, "RequireFencing": False},
            "platform": {"Address": f"{HOST}:{self.first}", "form": "kv",
                         "WritesPerS": 400, "ReadsPerS": 2000},
            "Cloud": {"Address": f"{HOST}:{self.first + 1}",
                      "Duties": ["promotion"], "DutyPerS": 50.0}}
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, name + ".log"), "a",
                   encoding="utf-8")
        self.logs.append(log)
        self.processes[name] = subprocess.Popen(
            [BINARY, "--platform"],
            env={"BAOBABPIN_NODE_FILE": path, "PATH": os.environ["PATH"]},
            stdout=log, stderr=log, cwd=ROOT)
        self.record(f"started {name}")

    def signal(self, name, number):
        self.record(f"signal {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def is_ready(self, name):
        url = f"http://{HOST}:{self.port(name, 1)}/readiness"
        return _status(url) == 200

    async def until(self, condition, what, limit_s):
        end = time.monotonic() + limit_s
        while not await asyncio.to_thread(condition):
            if time.monotonic() > end:
                raise TimeoutError(what)
            await asyncio.sleep(0.05)

    def log_of(self, name):
        with open(os.path.join(self.folder, name + ".log"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    def stop(self):
        for it in self._tasks:
            it.cancel()
        for it in self.processes.values():
            if it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
            it.wait()
        for it in self.logs:
            it.close()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def _status(url):
    try:
        with urllib.request.urlopen(url, timeout=1) as reply:
            return reply.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return None
