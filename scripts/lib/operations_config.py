"""Promises about the operators' resources: changes, refusals, store outages."""

import json
import os
import time

from http_json import CallError, post
from operated import CONFLICT, FAILED, OK, UNAVAILABLE, USAGE, Operator

ADMISSION = "SessionAdmission/lending-ledger"
OVER_A_MEGABYTE = 1_100_000
# Long enough for an outage to outlive a restart; it is ended by hand.
OUTAGE_MS = 60_000
# Time in which only traffic and one apply meet the outage.
OUTAGE_TRAFFIC_S = 2.0
NODE_STOP_LIMIT_S = 40


def store_state(cluster):
    """The store's revision: each change of any resource adds one."""
    return post(cluster.layout.store, "/v1/range",
                {"prefix": "resources/"})["revision"]


def store_fault(cluster, **fault):
    post(cluster.layout.store, "/admin/fault", fault)


def admission(cluster, max_sessions, version=None):
    """A file that changes only the number of sessions."""
    with open(cluster.path("resources/admission.json")) as file:
        resource = json.load(file)
    resource["spec"]["max_sessions"] = max_sessions
    if version is not None:
        resource["version"] = version
    return cluster.write_json(f"admission-{max_sessions}.json", resource)


def results(answer):
    return sorted({it["result"] for it in answer.lines()})


def show_apply(cluster, verdict):
    """Guards against changes that are not in force on every node."""
    operator = Operator(cluster)
    folder = cluster.examples()
    valid = operator.run("validate", "-f", folder)
    verdict.expect(valid.code == OK and store_state(cluster) == 0,
                   f"validate accepts the examples and stores nothing: {valid}")
    made = operator.run("apply", "-f", folder, "--until-in-force", "-o",
                        "json", "--timeout", 30)
    verdict.expect(made.code == OK, f"apply of the examples until in force: "
                                    f"exit {made.code} {made.err.strip()}")
    watched = operator.run("watch", "--until-in-force", "-o", "json",
                           "--timeout", 30)
    count = len(cluster.layout.nodes)
    confirmed = {}
    for it in watched.lines():
        status = it["status"]
        confirmed[it["name"]] = (status["in_force"], status["confirmed_nodes"])
    in_force = set(confirmed.values()) == {(True, count)}
    verdict.expect(watched.code == OK and in_force,
                   f"watch reports {len(confirmed)} resources in force on "
                   f"{count} nodes: {sorted(set(confirmed.values()))}")


def show_reading(cluster, verdict):
    """Guards against nodes that report different configurations."""
    operator = Operator(cluster)
    listed = [operator.versions(nodes=[it]) for it in cluster.layout.nodes]
    equal = all(it == listed[0] for it in listed)
    verdict.expect(equal and len(listed[0]) == 6,
                   f"list names the same {len(listed[0])} resources on "
                   f"{len(listed)} nodes")
    got = operator.run("get", *ADMISSION.split("/"), "-o", "json")
    stated = got.value()["spec"]["max_sessions"] if got.code == OK else None
    verdict.expect(stated == 20000, f"get prints the stored spec, exit "
                                    f"{got.code}")
    before = store_state(cluster)
    changed = operator.run("diff", "-f", admission(cluster, 20001), "-o",
                           "json")
    paths = [change["path"] for it in changed.lines()
             for change in it["changes"]] if changed.code == OK else []
    verdict.expect(len(paths) == 1 and "max_sessions" in paths[0]
                   and store_state(cluster) == before,
                   f"diff names the one changed field: {paths}")


def show_repeated_apply(cluster, verdict):
    """Guards against changes of versions without a change of content."""
    before = store_state(cluster)
    again = Operator(cluster).run("apply", "-f", cluster.path("resources"),
                                  "-o", "json")
    verdict.expect(
        again.code == OK and results(again) == ["unchanged"]
        and store_state(cluster) == before,
        f"the same apply again changes nothing: exit {again.code}, "
        f"{results(again)}")


def show_race(cluster, verdict):
    """Guards against a lost update: both changes build on one version."""
    operator = Operator(cluster)
    version = operator.versions()[ADMISSION]
    before = store_state(cluster)
    # The first answer is still on its way when the second change arrives.
    store_fault(cluster, slow_ms=300)
    nodes = cluster.live_nodes()
    running = [operator.begin("apply", "-f",
                              admission(cluster, sessions, version),
                              nodes=[node])
               for sessions, node in ((30001, nodes[0]), (30002, nodes[1]))]
    codes = sorted(operator.finish(it).code for it in running)
    store_fault(cluster, slow_ms=0)
    changes = store_state(cluster) - before
    verdict.expect(codes == [OK, CONFLICT] and changes == 1,
                   f"of two racing applies one succeeds: exits {codes}, "
                   f"{changes} change")


def bad_resources(cluster):
    """Pairs of (what is wrong, resources)."""
    with open(cluster.path("resources/groups.json")) as file:
        groups = json.load(file)
    with open(cluster.path("resources/admission.json")) as file:
        admitted = json.load(file)
    stop = {"target_kind": "node", "target": "host-1", "deadline_s": 20}
    yield "an unknown kind", {"kind": "DatabaseGrove", "name": "a", "spec": {}}
    yield "an unknown field", admitted | {
        "spec": admitted["spec"] | {"sessions_max": 1}}
    yield "a value over a megabyte", {
        "kind": "PlannedStop", "name": "large",
        "spec": stop | {"target": "x" * OVER_A_MEGABYTE}}
    yield "a server in two groups", groups[0] | {"name": "copy"}
    yield "two admissions of a database", admitted | {"name": "copy"}
    yield "a good resource beside a bad one", [
        {"kind": "PlannedStop", "name": "good", "spec": stop},
        {"kind": "PlannedStop", "name": "bad",
         "spec": stop | {"deadline_s": 0}}]


def show_refusals(cluster, verdict):
    """Guards against bad input that takes effect, wholly or in part."""
    operator = Operator(cluster)
    before = operator.versions(), store_state(cluster)
    for what, value in bad_resources(cluster):
        path = cluster.write_json("bad.json", value)
        answer = operator.run("apply", "-f", path)
        verdict.expect(answer.code == FAILED, f"{what} is refused: {answer}")
    change = admission(cluster, 40000)
    viewer = Operator(cluster, "viewer")
    answer = viewer.run("apply", "-f", change)
    verdict.expect(answer.code == FAILED and
                   "permission_denied" in answer.err and
                   viewer.run("list").code == OK,
                   f"a viewer may read and not change: {answer}")
    answer = Operator(cluster, None).run("apply", "-f", change, "--timeout", 5)
    verdict.expect(answer.code == USAGE,
                   f"without a certificate nothing is sent: {answer}")
    foreign = Operator(cluster, "foreign")
    answer = foreign.run("apply", "-f", change, "--timeout", 5)
    verdict.expect(answer.code == UNAVAILABLE,
                   f"a certificate of another authority: {answer}")
    after = operator.versions(), store_state(cluster)
    verdict.expect(before == after, "refused input changed nothing")


def show_lost_answer(cluster, verdict):
    """Guards against a change that is lost or made twice with its answer."""
    before = store_state(cluster)
    store_fault(cluster, drop=2)
    answer = Operator(cluster).run("apply", "-f", admission(cluster, 50000),
                                   "--until-in-force", "-o", "json")
    store_fault(cluster, drop=0)
    changes = store_state(cluster) - before
    verdict.expect(answer.code == OK and changes == 1,
                   f"an apply whose answer the store loses: {answer}, "
                   f"{changes} change")


def show_store_outage(cluster, verdict, windows):
    """Guards against traffic and restarts that depend on the store."""
    operator = Operator(cluster)
    before = operator.versions()
    began = time.monotonic_ns() // 1000
    store_fault(cluster, down_ms=OUTAGE_MS)
    try:
        answer = operator.run("apply", "-f", admission(cluster, 60000),
                              "--timeout", 5)
        verdict.expect(answer.code == UNAVAILABLE,
                       f"an apply during a store outage: {answer}")
        time.sleep(OUTAGE_TRAFFIC_S)
        windows["outage"] = (began, time.monotonic_ns() // 1000)
        restart_during_outage(cluster, verdict, before)
    finally:
        store_fault(cluster, down_ms=0)
    verdict.expect(operator.versions() == before,
                   "the refused apply changed nothing")


def restart_during_outage(cluster, verdict, versions):
    node = cluster.layout.nodes[3]
    cluster.faults.add("stop", target=node.endpoint("callers"))
    cluster.processes.request_stop(node.id)
    status = cluster.processes.wait(node.id, NODE_STOP_LIMIT_S)
    cluster.faults.add("exit", target=node.endpoint("callers"))
    verdict.expect(status == 0, f"{node.id} stops during the outage, status "
                                f"{status}")
    cluster.restart_node(node)
    cluster.wait_for(cluster.nodes_healthy, "the restarted node")
    cluster.wait_for(cluster.groups_readable, "the restarted node to serve")
    known = Operator(cluster).versions(nodes=[node])
    verdict.expect(known == versions,
                   f"{node.id} learnt {len(known)} resources from its peers "
                   "and serves")
    verdict.expect(is_store_down(cluster), "the store was down all the while")


def is_store_down(cluster):
    try:
        store_state(cluster)
        return False
    except CallError:
        return True
