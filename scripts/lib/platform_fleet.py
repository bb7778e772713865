"""Nodes as processes, with the stand-ins of the platform and a fault proxy.

Every link from a node to the store and from all nodes to a server passes the
proxy; calls between nodes do not.
"""

import json
import os
import signal
import time

from http_json import CallError, call_text, post
from processes import Processes

SERVERS = ("s1", "s2", "s3")
ZONES = ("a", "b")
GRACE_S = 4
# Offsets from the first port of a run, and of each node.
STORE, ADMIN, PROXY, SERVER, SERVER_LINK, NODES = 0, 1, 2, 3, 6, 10
NODE_PORTS = 8
CLIENTS, READINESS, PEERS, STORE_LINK, INTERNAL = range(5)

CONFIGURATION = {
    "Version": 1,
    "Routes": [
        {"Name": name, "DatabaseName": name, "Kind": kind, "Service": "grp",
         "TimeoutMs": 1000, "TargetLatencyMs": 100, "Priority": 1,
         "MaxStalenessMs": 1500}
        for name, kind in (("strict", "primary"), ("own", "read_your_writes"))],
    "Services": [{"Name": "grp", "MaxConnections": 16}],
    "Limits": {"TransactionIdleMs": 3000},
}


class Fleet:
    def __init__(self, binaries, folder, first_port, nodes):
        self.binaries = binaries
        self.folder = folder
        self.first_port = first_port
        self.nodes = [f"node-{n}" for n in range(nodes)]
        self.processes = Processes(folder)
        self.rules = {}

    def port(self, offset, node=None):
        if node is not None:
            offset += NODES + NODE_PORTS * self.nodes.index(node)
        return f"127.0.0.1:{self.first_port + offset}"

    def start(self):
        self._start("faultproxy", "standin_faultproxy", "--control",
                    self.port(PROXY), "--seed", "1")
        self._await_proxy()
        configuration = self._write("configuration.json", CONFIGURATION)
        servers = []
        for n, server in enumerate(SERVERS):
            servers += ["--server", f"{server}={self.port(SERVER + n)}"
                        f"@{self.port(SERVER_LINK + n)}"]
        self._start("platform", "standin_platform", "--store",
                    self.port(STORE), "--admin", self.port(ADMIN),
                    "--configuration", configuration, *servers)
        self.wait_for(lambda: self.history() is not None, "the stand-ins")
        for node in self.nodes:
            self.start_node(node)
        self.wait_for(lambda: all(map(self.is_ready, self.nodes)), "the nodes")

    def _start(self, name, binary, *arguments, environment=None):
        self.processes.start(
            name, [os.path.join(self.binaries, binary), *arguments],
            environment)

    def _write(self, name, document):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            json.dump(document, file)
        return path

    def _await_proxy(self):
        links = [{"name": server, "listen": self.port(SERVER_LINK + n),
                  "target": self.port(SERVER + n)}
                 for n, server in enumerate(SERVERS)]
        links += [{"name": "store-" + node,
                   "listen": self.port(STORE_LINK, node),
                   "target": self.port(STORE)} for node in self.nodes]

        def open_links():
            post(self.port(PROXY), "/admin/links", links)
            return True
        self.wait_for(lambda: _or_none(open_links), "the proxy")

    def start_node(self, node):
        zone = ZONES[self.nodes.index(node) % len(ZONES)]
        internal = self.first_port + NODES + INTERNAL + \
            NODE_PORTS * self.nodes.index(node)
        settings = {
            "NodeName": node, "IpAddress": "127.0.0.1", "Zone": zone,
            "BindAddresses": {"Front": self.port(CLIENTS, node),
                              "Readiness": self.port(READINESS, node),
                              "Control": self.port(PEERS, node)},
            "InternalPortRange": [internal, internal + 1],
            "Seeds": [self.port(PEERS, it) for it in self.nodes[:3]],
            "Bounds": {"GraceS": GRACE_S},
            "Limits": {"CpuShare": 0.25, "CpuCores": 1},
            "platform": {"Address": self.port(STORE_LINK, node)},
            "Cloud": {"Address": self.port(STORE)},
        }
        path = self._write(node + ".json", settings)
        self._start(node, "baobabpin", "--platform",
                    environment={"BAOBABPIN_NODE_FILE": path})

    def signal_node(self, node, number):
        self.processes.running[node].send_signal(number)

    def kill_node(self, node):
        self.processes.kill(node)

    def has_ended(self, node):
        return self.processes.running[node].poll() is not None

    def fault(self, kind, **details):
        post(self.port(ADMIN), "/admin/fault", {"kind": kind} | details)

    def set_rule(self, link, **effect):
        """One rule a link; without an effect the link is whole."""
        self.rules[link] = effect
        post(self.port(PROXY), "/admin/rules",
             [{"link": it} | rule for it, rule in self.rules.items() if rule])

    def history(self):
        def ask():
            return json.loads(call_text(self.port(ADMIN), "GET",
                                        "/admin/history")[1])
        return _or_none(ask)

    def is_ready(self, node):
        def ask():
            return call_text(self.port(READINESS, node), "GET", "/readiness",
                             timeout_s=1.0)[0] == 200
        return _or_none(ask)

    def wait_for(self, condition, what, limit_s=15.0):
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(f"waiting for {what}")
            time.sleep(0.05)

    def stop(self):
        for node in self.nodes:
            if node in self.processes.running:
                self.signal_node(node, signal.SIGCONT)
        self.processes.stop_all(grace_s=GRACE_S + 2)


def _or_none(action):
    try:
        return action()
    except (CallError, ValueError):
        return None
