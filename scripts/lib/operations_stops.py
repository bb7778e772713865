"""Promises about planned stops, and about nodes that pause or die."""

import collections
import signal
import threading
import time

from caller import Caller
from cluster import monotonic_us
from http_json import CallError, post
from operated import OK, Operator
from processes import ProcessError

# Invariant 7: a server that leaves gets no new work after this time.
NO_NEW_WORK_US = 3_000_000
# How long a stop is observed beyond that.
OBSERVED_S = 6.0
NODE_STOP_LIMIT_S = 40
HANDOVER_LIMIT_S = 20
OWNER_LIMIT_S = 20
HANDOVER_TARGET_MS = 250
NODE_PAUSE_S = 0.5
# Longer than a suspicion (400 ms) and a promotion take.
AFTER_PAUSE_S = 2.0
# The upstream's idle timeout, after which a transaction of a dead owner ends.
IDLE_TIMEOUT_US = 5_000_000
# SWIM: the probe period, its acknowledgement and the suspicion.
DETECTION_US = 1_500_000
WRITERS = 4


class TransactionCaller(Caller):
    """A caller with one transaction; every step goes to the history."""

    def __init__(self, cluster, name, node, group, request_class):
        super().__init__(cluster, name)
        self.node = node
        self.group = group
        self.request_class = request_class
        self.transaction = ""

    def step(self, kind, text="", request_id=""):
        deployment = self.cluster.layout.deployment
        body = {"customer": deployment.name, "database": deployment.database,
                "group": self.group, "class": self.request_class,
                "timeout_ms": 5000}
        path = "/v1/statement" if text else "/v1/transaction/" + kind
        if text:
            body |= {"kind": kind, "statement": text}
        if self.transaction:
            body["transaction"] = self.transaction
        if request_id:
            body["request_id"] = request_id
        sent = monotonic_us()
        answer = post(self.node.endpoint("callers"), path, body,
                      timeout_s=10, any_status=True)
        self._record(sent, self.node, {"kind": kind, "statement": text} | body,
                     answer)
        self.records[-1]["transaction"] = self.name
        self.transaction = answer.get("transaction") or self.transaction
        return answer

    def begin(self):
        """Begins and writes one value, which is then pending."""
        began = self.step("begin")
        if began.get("outcome") != "answered":
            return began
        value = f"{self.name}:1@{self.new_request_id()}"
        return self.step("write", f"PUT {self.name}:1 {value}")

    def commit(self):
        return self.step("commit", request_id=self.new_request_id())


class Writers:
    """Callers that write one after the other, so that gaps show a pause."""

    def __init__(self, cluster, group, node):
        self.callers = [Caller(cluster, f"writer-{group}-{i}")
                        for i in range(WRITERS)]
        self.done = threading.Event()
        self.errors = []
        self.threads = [
            threading.Thread(target=self._write, args=(it, group, node))
            for it in self.callers]
        for it in self.threads:
            it.start()

    def _write(self, caller, group, node):
        while not self.done.is_set():
            try:
                caller.statement(node, group, "checkout", "write",
                                 f"ADD {caller.name}:1 1",
                                 caller.new_request_id())
            except CallError as error:
                self.errors.append(str(error))
                return

    def stop(self):
        self.done.set()
        for it in self.threads:
            it.join()

    def longest_pause_ms(self):
        """The longest time between two acknowledgements, of any writer."""
        times = sorted(it["received_us"] for caller in self.callers
                       for it in caller.records
                       if it["outcome"] == "answered")
        gaps = [b - a for a, b in zip(times, times[1:])]
        return max(gaps, default=0) / 1000, len(times)


def owner_of(cluster, group):
    """The node that most nodes name; a former owner names itself until its
    idle runner is dropped. After a crash nobody is named for a while."""
    deadline = time.monotonic() + OWNER_LIMIT_S
    while True:
        named = named_owners(cluster, group)
        for node in cluster.live_nodes():
            if named and named.most_common(1)[0][0] == node.id:
                return node
        if time.monotonic() > deadline:
            raise ProcessError(f"no live owner of {group}: {dict(named)}")
        time.sleep(0.2)


def named_owners(cluster, group):
    """How often the nodes name each; they name it as node/incarnation."""
    details = [Operator(cluster).group_detail(group, it)
               for it in cluster.live_nodes()]
    return collections.Counter(it["owner"].split("/")[0]
                               for it in details if it)


def terms(cluster):
    return {it: cluster.primary(it)[0] for it in cluster.layout.groups()}


def declare(cluster, example, name, target, *options):
    path = cluster.planned_stop(example, name, target)
    return Operator(cluster).run("apply", "-f", path, *options)


def withdraw(cluster, name):
    return Operator(cluster).run("delete", "PlannedStop", name)


def stop_server(cluster, verdict, server, windows):
    """Guards against work for a server that is leaving; the history and the
    logs are searched at the end."""
    term, primary = cluster.primary(server.group)
    was_primary = primary.id == server.id
    name = "stop-" + server.id
    if was_primary:
        cluster.faults.add("handover", server.group, server.id)
    began = monotonic_us()
    made = declare(cluster, "server", name, server.id)
    time.sleep(OBSERVED_S)
    windows.setdefault("stopped", []).append(
        (server, began + NO_NEW_WORK_US, monotonic_us()))
    role = "primary" if was_primary else "replica"
    verdict.expect(made.code == OK, f"stop of {server.id}, a {role}: {made}")
    now_term, now_primary = cluster.primary(server.group)
    expected = term + 1 if was_primary else term
    verdict.expect(
        now_term == expected and now_primary.id != server.id,
        f"{server.group} is led by {now_primary.id} in term {now_term}")
    verdict.expect(withdraw(cluster, name).code == OK, f"{name} is deleted")


def hand_over(cluster, verdict, group, name):
    """A planned handover under writers; prints the pause."""
    term, former = cluster.primary(group)
    writers = Writers(cluster, group, cluster.live_nodes()[0])
    time.sleep(1.0)
    cluster.faults.add("handover", group, former.id)
    made = declare(cluster, "primary", name, group, "--until-in-force")
    deadline = time.monotonic() + HANDOVER_LIMIT_S
    while cluster.primary(group)[0] == term and time.monotonic() < deadline:
        time.sleep(0.1)
    time.sleep(1.0)
    writers.stop()
    now_term, primary = cluster.primary(group)
    verdict.expect(
        made.code == OK and now_term == term + 1 and primary.id != former.id,
        f"handover of {group} from {former.id} to {primary.id}, term "
        f"{term} to {now_term}")
    refused = [it["error"] for caller in writers.callers
               for it in caller.records if it["outcome"] != "answered"]
    verdict.expect(not refused and not writers.errors,
                   f"no write fails during it: {refused + writers.errors}")
    pause_ms, count = writers.longest_pause_ms()
    print(f"{verdict.name:10}      handover_pause_ms={pause_ms:.1f} "
          f"(target below {HANDOVER_TARGET_MS}), {count} writes", flush=True)
    return writers.callers


def pause_owner(cluster, verdict, group):
    """Guards against promotions because a node did not run for 500 ms."""
    node = owner_of(cluster, group)
    before = terms(cluster)
    process = cluster.processes.running[node.id]
    process.send_signal(signal.SIGSTOP)
    time.sleep(NODE_PAUSE_S)
    process.send_signal(signal.SIGCONT)
    time.sleep(AFTER_PAUSE_S)
    after = terms(cluster)
    verdict.expect(after == before,
                   f"a pause of {node.id}, the owner of {group}, promotes "
                   f"nobody: {before} {after}")
    if after != before:
        print_promotions(cluster, verdict, group)


def print_promotions(cluster, verdict, group):
    """The group's part of the time line, for the report of a failure."""
    for it in Operator(cluster).events():
        if it["fields"].get("group") == group and it["name"].startswith(
                ("handover", "promotion", "own_pause", "primary_suspected")):
            print(f"{verdict.name:10}      {it['wall_us']} {it['process']} "
                  f"{it['name']} {it['fields']}", flush=True)


def kill_owner(cluster, verdict, group):
    """Guards against slots that a dead owner's transaction keeps."""
    owner = owner_of(cluster, group)
    entry = next(it for it in cluster.live_nodes() if it.id != owner.id)
    caller = TransactionCaller(cluster, "orphan", entry, group, "checkout")
    wrote = caller.begin()
    server = next(it for it in cluster.layout.servers
                  if it.id == cluster.primary(group)[1].id)
    known = len(rollbacks(cluster, server))
    killed_us = monotonic_us()
    cluster.faults.add("kill", target=owner.endpoint("callers"))
    cluster.processes.kill(owner.id)
    cluster.faults.add("exit", target=owner.endpoint("callers"))
    bound_us = IDLE_TIMEOUT_US + DETECTION_US
    # Observed for longer than the bound, so that a late end is seen as such.
    deadline = time.monotonic() + 2 * bound_us / 1e6
    while (len(rollbacks(cluster, server)) == known
           and time.monotonic() < deadline):
        time.sleep(0.05)
    ends = rollbacks(cluster, server)[known:]
    after_us = ends[0] - killed_us if ends else None
    verdict.expect(
        wrote.get("outcome") == "answered" and after_us is not None
        and after_us <= bound_us,
        f"SIGKILL of {owner.id}, the owner of {group}: the transaction's slot "
        f"was free {after_us} us later, bound {bound_us} us")
    committed = caller.commit()
    verdict.expect(committed.get("outcome") != "answered",
                   f"its commit is not acknowledged: {committed}")
    return [caller, *use_both_slots(cluster, verdict, group, entry)]


def rollbacks(cluster, server):
    return [it["at_us"] for it in cluster.events(server)
            if it.get("event") == "rolled_back"]


def use_both_slots(cluster, verdict, group, entry):
    """As many transactions as the primary has slots, at the next owner."""
    callers = [TransactionCaller(cluster, f"next-{i}", entry, group,
                                 "checkout") for i in range(2)]
    wrote = [it.begin().get("outcome") for it in callers]
    ended = [it.commit().get("outcome") for it in callers]
    verdict.expect(wrote == ended == ["answered"] * 2,
                   f"both slots serve transactions of the next owner, "
                   f"{owner_of(cluster, group).id}: {wrote} {ended}")
    return callers


def stop_node(cluster, verdict, group, handover):
    """Guards against cut requests, and against a handover that is made again
    because the group's owner changes."""
    node = owner_of(cluster, group)
    before = terms(cluster)
    caller = TransactionCaller(cluster, "draining", node, group, "checkout")
    began = caller.begin()
    cluster.faults.add("stop", target=node.endpoint("callers"))
    made = declare(cluster, "node", "stop-" + node.id, node.id)
    time.sleep(1.0)
    drains = [it for it in Operator(cluster).events()
              if it["process"] == node.id and it["name"] == "drain_started"]
    ended = caller.commit()
    status = cluster.processes.wait(node.id, NODE_STOP_LIMIT_S)
    cluster.faults.add("exit", target=node.endpoint("callers"))
    verdict.expect(made.code == OK and len(drains) == 1,
                   f"planned stop of {node.id}, the owner of {group}: {made}, "
                   f"{len(drains)} drain in the time line")
    verdict.expect(began.get("outcome") == ended.get("outcome") == "answered",
                   f"its open transaction ends: {began.get('outcome')} "
                   f"{ended.get('outcome')} {ended.get('error', '')}")
    verdict.expect(status == 0, f"{node.id} exits by itself, status {status}")
    time.sleep(AFTER_PAUSE_S)
    verdict.expect(terms(cluster) == before,
                   f"{handover} is not made again by the next owner: "
                   f"{before} {terms(cluster)}")
    return [caller]
