"""One deployment as running processes: store, fault proxy, upstream servers
and nodes."""

import json
import os
import secrets
import socket
import time

import fault_proxy
from deployments import LOCK_PORT
from http_json import CallError, call_text, get, post
from processes import ProcessError, Processes

START_LIMIT_S = 30
# Beyond every index, so that a server lists its events only.
NO_ENTRIES = 10 ** 15


def monotonic_us():
    return time.monotonic_ns() // 1000


def reserve_network(seed):
    """Finds a free second octet for 127.x.*.*; the socket keeps it reserved."""
    for attempt in range(200):
        x = 10 + (seed * 7 + attempt) % 200
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((f"127.{x}.4.1", LOCK_PORT))
            lock.listen(1)
            return x, lock
        except OSError:
            lock.close()
    raise ProcessError("no free loopback network")


class FaultLog:
    """The faults file that standin_check reads."""

    def __init__(self, path):
        self.file = open(path, "w")

    def add(self, event, group="", target="", at_us=None):
        line = {"at_us": at_us or monotonic_us(), "event": event,
                "group": group, "target": target}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Cluster:
    def __init__(self, layout, folder, binaries, seed, baseline=False,
                 chooser="least_pending"):
        self.layout = layout
        self.folder = folder
        self.binaries = binaries
        self.seed = seed
        self.baseline = baseline
        self.chooser = chooser
        os.makedirs(folder, exist_ok=True)
        self.processes = Processes(folder)
        self.faults = FaultLog(self.path("faults.jsonl"))

    def path(self, name):
        return os.path.join(self.folder, name)

    def binary(self, name):
        return os.path.join(self.binaries, name)

    def start(self):
        self.start_platform()
        self.put_resources()
        self.start_nodes()
        self.wait_for(self.nodes_healthy, "the nodes to be healthy")
        self.wait_for(self.groups_readable, "every group to be readable")

    def start_platform(self):
        self.processes.start("store", [
            self.binary("standin_store"), "--listen", self.layout.store,
            "--hosts-lag-ms", 0])
        fault_proxy.start(self)
        for server in self.layout.servers:
            self.processes.start("upstream-" + server.id,
                                 self.upstream_arguments(server))
        self.wait_for(self.platform_answers, "the stand-ins to answer")
        post(self.layout.store, "/admin/hosts",
             [{"host": it.id, "state": "live"} for it in self.layout.nodes])

    def upstream_arguments(self, server):
        members = self.layout.groups()[server.group]
        primary = next(it for it in members if it.initial_primary)
        arguments = [
            self.binary("standin_upstream"), "--listen", server.address,
            "--server", server.id, "--group", server.group,
            "--primary", primary.id, "--slots", 2,
            "--connections", self.layout.deployment.connections,
            "--lag-min-ms", 0, "--lag-max-ms", 20,
            "--statement-us-min", 200, "--statement-us-max", 1000,
            "--seed", self.seed]
        for peer in members:
            if peer.id != server.id:
                arguments += ["--peer", f"{peer.id}={peer.link}"]
        return arguments

    def start_nodes(self):
        fleet_secret = secrets.token_hex(32)
        session_secret = secrets.token_hex(32)
        for node in self.layout.nodes:
            path = self.path(node.id + ".json")
            with open(path, "w") as file:
                json.dump(self.settings(node, fleet_secret, session_secret),
                          file, indent=1)
            self.processes.start(node.id, [self.binary("baobabpin"),
                                           "--settings", path])

    def settings(self, node, fleet_secret, session_secret):
        uses = ("callers", "peers", "gossip", "operators")
        return {
            "node": node.id, "host": node.id,
            "availability_zone": node.zone,
            "customer": self.layout.deployment.name,
            "listen": {it: node.endpoint(it) for it in uses},
            "store": self.layout.store,
            "seeds": [it.endpoint("gossip") for it in self.layout.nodes],
            "fleet_secret": fleet_secret,
            "session_keys": [{"id": 1, "secret": session_secret}],
            "tls": {"clear_text": True},
            "policy": {"baseline": self.baseline, "chooser": self.chooser},
        }

    def resources(self):
        """Pairs of (kind/name, spec)."""
        deployment = self.layout.deployment
        owner = {"customer": deployment.name, "database": deployment.database}
        for group, servers in self.layout.groups().items():
            yield "DatabaseGroup/" + group, owner | {
                "servers": [{"id": it.id, "address": it.link,
                             "availability_zone": it.zone}
                            for it in servers],
                "slots": 2, "connections": deployment.connections}
        yield "SessionAdmission/" + deployment.database, owner | {
            "classes": [{"name": name, "priority": priority,
                         "timeout_ms": timeout_ms}
                        for name, (priority, timeout_ms)
                        in deployment.classes.items()],
            "max_sessions": 10000}
        for name, age_ms in deployment.allowances.items():
            yield "StalenessAllowance/" + name, owner | {
                "class": name, "max_age_ms": age_ms}

    def change_connections(self, count):
        """Declares every group anew with another connection limit."""
        for key, spec in self.resources():
            if not key.startswith("DatabaseGroup/"):
                continue
            stored = post(self.layout.store, "/v1/get",
                          {"key": "resources/" + key})
            value = json.dumps({"mark": secrets.token_hex(16),
                                "spec": spec | {"connections": count}})
            post(self.layout.store, "/v1/put",
                 {"key": "resources/" + key, "value": value,
                  "expected_revision": stored["revision"]})

    def put_resources(self):
        for key, spec in self.resources():
            value = json.dumps({"mark": secrets.token_hex(16), "spec": spec})
            post(self.layout.store, "/v1/put",
                 {"key": "resources/" + key, "value": value,
                  "expected_revision": 0})

    def wait_for(self, condition, what, limit_s=START_LIMIT_S):
        deadline = time.monotonic() + limit_s
        reason = "not yet tried"
        while time.monotonic() < deadline:
            self.processes.check_alive()
            try:
                reason = condition()
            except CallError as error:
                reason = str(error)
            if not reason:
                return
            time.sleep(0.1)
        raise ProcessError(f"waited {limit_s} s for {what}: {reason}")

    def platform_answers(self):
        get(self.layout.store, "/v1/counters")
        for server in self.layout.servers:
            self.events(server)
        return ""

    def nodes_healthy(self):
        for node in self.layout.nodes:
            get(node.endpoint("callers"), "/healthz", timeout_s=1)
        return ""

    def groups_readable(self):
        """Every node must know the resources and reach the owners."""
        deployment = self.layout.deployment
        for node in self.layout.nodes:
            for group in self.layout.groups():
                answer = post(node.endpoint("callers"), "/v1/statement", {
                    "customer": deployment.name,
                    "database": deployment.database, "group": group,
                    "class": next(iter(deployment.allowances)),
                    "kind": "read", "statement": "GET ready",
                    "max_age_ms": 10000, "timeout_ms": 1000}, any_status=True)
                if answer.get("outcome") != "answered":
                    return f"{node.id} for {group}: {answer}"
        return ""

    def history_text(self, server, first=1):
        _, text = call_text(server.address, "GET", "/admin/history",
                            {"from_index": first})
        return text

    def events(self, server):
        lines = self.history_text(server, NO_ENTRIES).splitlines()
        return [json.loads(line) for line in lines]

    def primary(self, group):
        """(term, server) of the latest promotion in the group."""
        best = (0, None)
        for server in self.layout.groups()[group]:
            terms = [it["term"] for it in self.events(server)
                     if it.get("event") == "promoted"]
            if server.initial_primary:
                terms.append(1)
            if terms and max(terms) > best[0]:
                best = (max(terms), server)
        return best

    def cut(self, server):
        self.faults.add("cut", server.group, server.id)
        fault_proxy.cut(self, server)

    def heal(self, server):
        fault_proxy.heal(self, server)
        self.faults.add("heal", server.group, server.id)

    def load_arguments(self, duration_s, sessions, rate):
        nodes = ",".join(it.endpoint("callers") for it in self.layout.nodes)
        return [self.binary("standin_load"),
                "--deployment", self.layout.deployment.name,
                "--seed", self.seed, "--nodes", nodes,
                "--sessions", sessions, "--rate", rate,
                "--duration-s", duration_s,
                "--history", self.path("history.jsonl")]

    def start_load(self, duration_s, sessions=200, rate=400):
        self.faults.add("start")
        self.processes.start(
            "load", self.load_arguments(duration_s, sessions, rate))

    def wait_load(self, limit_s):
        status = self.processes.wait("load", limit_s)
        if status != 0:
            raise ProcessError(f"the load driver ended with {status}")

    def wait_converged(self, limit_s=10):
        """Lets the replicas catch up; what is missing then stays missing."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if all(self._is_converged(it) for it in self.layout.groups()):
                return True
            time.sleep(0.2)
        return False

    def _is_converged(self, group):
        ends = set()
        for server in self.layout.groups()[group]:
            entries = [line for line in self.history_text(server).splitlines()
                       if '"type":"entry"' in line]
            last = json.loads(entries[-1]) if entries else {}
            ends.add((last.get("term"), last.get("index")))
        return len(ends) == 1

    def save_server_logs(self):
        with open(self.path("servers.jsonl"), "w") as file:
            for server in self.layout.servers:
                header = {"type": "server", "group": server.group,
                          "server": server.id,
                          "initial_primary": server.initial_primary}
                file.write(json.dumps(header) + "\n")
                file.write(self.history_text(server))

    def stop(self):
        return self.processes.stop_all()
