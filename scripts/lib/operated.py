"""A deployment whose resources are declared through baobabpinctl, over mutual
TLS."""

import json
import os
import subprocess

from cluster import Cluster
from processes import ProcessError

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
EXAMPLES = os.path.join(ROOT, "examples/bukhan-grip")
# Exit codes of baobabpinctl.
OK, FAILED, USAGE, CONFLICT, NOT_FOUND, UNAVAILABLE, TIMED_OUT = range(7)
COMMAND_LIMIT_S = 60


class Answer:
    """How one command ended."""

    def __init__(self, code, out, err):
        self.code = code
        self.out = out
        self.err = err

    def lines(self):
        return [json.loads(it) for it in self.out.splitlines()]

    def value(self):
        return json.loads(self.out)

    def __str__(self):
        text = " ".join((self.err or self.out).split())
        return f"exit {self.code}: {text[:300]}"


class Operator:
    """Runs baobabpinctl with one certificate, or with none."""

    def __init__(self, cluster, certificate="operator"):
        self.cluster = cluster
        self.certificate = certificate

    def arguments(self, command, nodes):
        arguments = [self.cluster.binary("baobabpinctl"), *map(str, command)]
        for node in nodes or self.cluster.live_nodes():
            arguments += ["--server", node.endpoint("operators")]
        arguments += ["--ca", self.cluster.certificate("ca.pem")]
        if self.certificate:
            arguments += [
                "--cert", self.cluster.certificate(self.certificate + ".pem"),
                "--key", self.cluster.certificate(self.certificate + ".key")]
        return arguments

    def begin(self, *command, nodes=None):
        return subprocess.Popen(
            self.arguments(command, nodes), stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def finish(self, process):
        try:
            out, err = process.communicate(timeout=COMMAND_LIMIT_S)
        except subprocess.TimeoutExpired as error:
            process.kill()
            process.communicate()
            raise ProcessError(f"baobabpinctl {error.args} hangs") from error
        return Answer(process.returncode, out, err)

    def run(self, *command, nodes=None):
        return self.finish(self.begin(*command, nodes=nodes))

    def versions(self, nodes=None):
        """Version of every resource by kind/name, as one node knows them."""
        listed = self.run("list", "-o", "json", nodes=nodes)
        if listed.code != OK:
            raise ProcessError(f"list: {listed}")
        return {f"{it['kind']}/{it['name']}": it["version"]
                for it in listed.value()}

    def group_detail(self, group, node):
        status = self.run("get", "DatabaseGroup", group, "-o", "json",
                          nodes=[node])
        if status.code != OK:
            raise ProcessError(f"get {group}: {status}")
        return status.value()["status"].get("detail") or {}

    def events(self):
        timeline = self.run("timeline", "-o", "json", "--limit", 10000)
        if timeline.code != OK:
            raise ProcessError(f"timeline: {timeline}")
        return timeline.value()["events"]


class OperatedCluster(Cluster):
    """Starts without resources; nodes protect the operators' endpoint."""

    def start(self):
        self.make_certificates()
        self.start_platform()
        self.start_nodes()
        self.wait_for(self.operators_answer, "the operators' endpoints")

    def make_certificates(self):
        program = os.path.join(ROOT, "scripts/certificates")
        addresses = [it.ip for it in self.layout.nodes]
        # The second authority is one that the nodes do not know.
        for folder in ("certificates", "foreign"):
            subprocess.run([program, self.path(folder)] + addresses,
                           check=True, capture_output=True, timeout=60)
        for suffix in (".pem", ".key"):
            os.replace(self.path("foreign/operator" + suffix),
                       self.certificate("foreign" + suffix))

    def certificate(self, name):
        return os.path.join(self.path("certificates"), name)

    def settings(self, node, fleet_secret, session_secret):
        tls = {"certificate": self.certificate("node.pem"),
               "key": self.certificate("node.key"),
               "authority": self.certificate("ca.pem")}
        return super().settings(node, fleet_secret, session_secret) | {
            "tls": tls}

    def operators_answer(self):
        for node in self.layout.nodes:
            answer = Operator(self).run("list", "--timeout", 2, nodes=[node])
            if answer.code != OK:
                return f"{node.id}: {answer}"
        return ""

    def live_nodes(self):
        return [it for it in self.layout.nodes
                if it.id in self.processes.running]

    def restart_node(self, node):
        self.processes.start(node.id, [
            self.binary("baobabpin"), "--settings",
            self.path(node.id + ".json")])

    def write_json(self, name, value):
        with open(self.path(name), "w") as file:
            json.dump(value, file, indent=1)
        return self.path(name)

    def examples(self):
        """The example resources with this run's customer, addresses and the
        class names of the load driver; returns their folder."""
        folder = self.path("resources")
        os.makedirs(folder, exist_ok=True)
        links = {it.id: it.link for it in self.layout.servers}
        for name in ("groups", "admission", "allowances"):
            with open(os.path.join(EXAMPLES, name + ".json")) as file:
                text = file.read().replace("stock-count\"", "stock_count\"")
            resources = json.loads(text)
            for resource in (resources if isinstance(resources, list)
                             else [resources]):
                spec = resource["spec"]
                spec["customer"] = self.layout.deployment.name
                for server in spec.get("servers", []):
                    server["address"] = links[server["id"]]
            self.write_json(f"resources/{name}.json", resources)
        return folder

    def planned_stop(self, example, name, target, deadline_s=20):
        """An example stop aimed at another target; returns its file."""
        with open(os.path.join(EXAMPLES, "planned-stops",
                               example + ".json")) as file:
            resource = json.load(file)
        resource["name"] = name
        resource["spec"] |= {"target": target, "deadline_s": deadline_s}
        return self.write_json(f"{name}.json", resource)

