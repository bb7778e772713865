"""A fleet of node processes and the figures of one process."""

import json
import os
import re
import secrets
import time

from cluster import Cluster
from deployments import Layout
from http_json import call_text, get, post

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
SAMPLE = re.compile(r"^(\w+)(\{[^}]*\})? (\S+)$")
# A node lists this metric for each group that it owns.
OWNED_GROUP_METRIC = "baobabpin_queued_requests{"
REACHED = re.compile(r"ts=(\d+).*event=config_applied .*revision=(\d+)")


def metrics(node):
    """Samples by name with labels; a histogram's buckets are left out."""
    _, text = call_text(node.endpoint("callers"), "GET", "/metrics")
    samples = {}
    for line in text.splitlines():
        match = SAMPLE.match(line)
        if match and "_bucket" not in match[1]:
            samples[match[1] + (match[2] or "")] = float(match[3])
    return samples


def total(samples, prefix):
    return sum(n for name, n in samples.items() if name.startswith(prefix))


def cpu_s(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_kb(pid):
    """(whole resident set, its anonymous part)."""
    with open(f"/proc/{pid}/status") as file:
        lines = dict(it.split(":", 1) for it in file if ":" in it)
    return (int(lines["VmRSS"].split()[0]), int(lines["RssAnon"].split()[0]))


class Fleet(Cluster):
    """Nodes and the store only; upstream servers are started on demand."""

    def __init__(self, deployment, x, node_count, folder, binaries, seed):
        super().__init__(Layout(deployment, x, node_count), folder, binaries,
                         seed)

    def start(self):
        self.processes.start("store", [
            self.binary("standin_store"), "--listen", self.layout.store])
        self.wait_for(self.store_answers, "the store to answer")
        # A node reports itself healthy once it has a configuration.
        self.put_admission()
        self.start_nodes()
        self.wait_for(self.nodes_healthy, "the nodes to be healthy")

    def store_answers(self):
        get(self.layout.store, "/v1/counters")
        return ""

    def settings(self, node, fleet_secret, session_secret):
        settings = super().settings(node, fleet_secret, session_secret)
        # A settings file names a few seeds, however large the fleet.
        settings["seeds"] = settings["seeds"][:3]
        return settings

    def put(self, key, spec):
        """Stores a resource; returns its revision."""
        value = json.dumps({"mark": secrets.token_hex(16), "spec": spec})
        return post(self.layout.store, "/v1/put",
                    {"key": "resources/" + key, "value": value})["revision"]

    def put_admission(self):
        for key, spec in self.resources():
            if key.startswith("SessionAdmission/"):
                self.put(key, spec)

    def put_allowance(self, n):
        return self.put("StalenessAllowance/browse", {
            "customer": self.layout.deployment.name,
            "database": self.layout.deployment.database,
            "class": "browse", "max_age_ms": 1000 + n})

    def pid(self, node):
        return self.processes.running[node.id].pid

    def sample(self):
        """Sums over the nodes, read as close together as possible."""
        nodes = self.layout.nodes
        cpu = sum(cpu_s(self.pid(it)) for it in nodes)
        at = time.monotonic()
        sums = {"at": at, "cpu_s": cpu, "sent_bytes": 0, "received_bytes": 0,
                "sent": 0, "sync_bytes": 0}
        for node in nodes:
            it = metrics(node)
            name = "baobabpin_membership_%s_total{direction=\"%s\"}"
            sums["sent_bytes"] += it[name % ("bytes", "sent")]
            sums["received_bytes"] += it[name % ("bytes", "received")]
            sums["sent"] += it[name % ("datagrams", "sent")]
            sums["sync_bytes"] += it["baobabpin_config_sync_bytes_total"]
        sums["store"] = json.loads(get(self.layout.store, "/v1/counters"))
        return sums


class AppliedTimes:
    """Reads from the nodes' logs when each applied a revision.

    Polling metrics of 200 nodes takes longer than a change does, so the time
    comes from the event's own stamp.
    """

    def __init__(self, fleet):
        self.logs = {it.id: open(fleet.path(it.id + ".log"))
                     for it in fleet.layout.nodes}
        self.times = {}
        self.partial = dict.fromkeys(self.logs, "")

    def read(self):
        for node, log in self.logs.items():
            text = self.partial[node] + log.read()
            *lines, self.partial[node] = text.split("\n")
            for line in lines:
                match = REACHED.search(line)
                if match:
                    reached = self.times.setdefault(int(match[2]), {})
                    reached.setdefault(node, int(match[1]) / 1e6)

    def wait(self, revision, limit_s):
        """Times by node; incomplete when the limit passed."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            self.read()
            if len(self.times.get(revision, {})) == len(self.logs):
                break
            time.sleep(0.05)
        return self.times.get(revision, {})

    def close(self):
        for log in self.logs.values():
            log.close()
