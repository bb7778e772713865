"""Cost of one node by the groups that are declared and that it owns."""

import dataclasses
import http.client
import json
import os
import secrets
import time

from deployments import BUKHAN, SERVERS_PER_GROUP
from http_json import CallError
from processes import ProcessError
from slope_fleet import (OWNED_GROUP_METRIC, Fleet, cpu_s, metrics,
                         resident_kb)

REVISION_METRIC = "baobabpin_config_applied_revision"
APPLY_LIMIT_S = 40
SETTLE_S = 4
WINDOW_S = 8
CHANGES = 20
# Many groups name the same servers, under the servers' own IDs. Under other IDs
# the owners would find an unknown primary and promote without end.
SHARED_CONNECTIONS = 10000


def put_groups(fleet, first, last, zone, sets):
    """Stores groups over one connection; returns the last revision."""
    host, port = fleet.layout.store.split(":")
    connection = http.client.HTTPConnection(host, int(port))
    revision = 0
    for n in range(first, last):
        servers = [{"id": it.id, "address": it.address,
                    "availability_zone": zone}
                   for it in sets[n % len(sets)]]
        spec = {"customer": BUKHAN.name, "database": f"database-{n}",
                "servers": servers, "slots": 2,
                "connections": SHARED_CONNECTIONS}
        value = json.dumps({"mark": secrets.token_hex(16), "spec": spec})
        connection.request("POST", "/v1/put", json.dumps(
            {"key": f"resources/DatabaseGroup/group-{n}", "value": value}))
        revision = json.load(connection.getresponse())["revision"]
    connection.close()
    return revision


def wait_applied(fleet, revision):
    """Seconds until every node applied the revision, to about 0.1 s."""
    start = time.monotonic()

    def behind():
        for node in fleet.layout.nodes:
            reached = metrics(node)[REVISION_METRIC]
            if reached < revision:
                return f"{node.id} at {reached:.0f} of {revision}"
        return ""

    fleet.wait_for(behind, f"revision {revision}", APPLY_LIMIT_S)
    return time.monotonic() - start


def owned_count(node):
    return sum(it.startswith(OWNED_GROUP_METRIC) for it in metrics(node))


def figures(fleet, node):
    """CPU and memory of one node over a quiet window."""
    time.sleep(SETTLE_S)
    pid = fleet.pid(node)
    before, at = cpu_s(pid), time.monotonic()
    time.sleep(WINDOW_S)
    percent = 100 * (cpu_s(pid) - before) / (time.monotonic() - at)
    resident, anonymous = resident_kb(pid)
    return {"owned": owned_count(node), "cpu_percent": percent,
            "resident_kb": resident, "anonymous_kb": anonymous}


def report(part, row):
    key = next(iter(row))
    for name, n in list(row.items())[1:]:
        print(f"{part}_{key}_{row[key]}_{name}={n:.6g}", flush=True)


def zoned_fleet(options, x, owners):
    """A first node alone in its zone, and owners in a second zone."""
    fleet = Fleet(BUKHAN, x, owners + 1, os.path.join(
        options.folder, f"declared-{owners}"), options.binaries, options.seed)
    zones = BUKHAN.zones
    fleet.layout.nodes = [
        dataclasses.replace(it, zone=zones[0 if i == 0 else 1])
        for i, it in enumerate(fleet.layout.nodes)]
    return fleet


def cpu_ms_per_change(fleet, node, first):
    """Each change makes a node compute the owners of all groups again."""
    pid = fleet.pid(node)
    before, start = cpu_s(pid), time.monotonic()
    for n in range(first, first + CHANGES):
        wait_applied(fleet, fleet.put_allowance(n))
    return 1000 * (cpu_s(pid) - before) / CHANGES, (
        1000 * (time.monotonic() - start) / CHANGES)


def restart(fleet, node, revision):
    """CPU and time of a start until the configuration is in force."""
    fleet.processes.request_stop(node.id)
    fleet.processes.wait(node.id, 10)
    start = time.monotonic()
    fleet.processes.start(node.id, [fleet.binary("baobabpin"), "--settings",
                                    fleet.path(node.id + ".json")])
    fleet.wait_for(fleet.nodes_healthy, "the restarted node to be healthy")
    wait_applied(fleet, revision)
    ready_s = time.monotonic() - start
    time.sleep(2)
    return {"restart_ready_s": ready_s,
            "restart_cpu_s": cpu_s(fleet.pid(node))}


def measure_declared(options, x, owners, counts):
    """The groups' servers are all in the second zone, so the first node only
    holds their declarations and the nodes of the second zone own them."""
    fleet = zoned_fleet(options, x, owners)
    observer, owner = fleet.layout.nodes[:2]
    rows, declared = [], 0
    try:
        sets = start_shared_servers(fleet)
        fleet.start()
        for n in counts:
            revision = put_groups(fleet, declared, n, owner.zone, sets)
            row = {"declared_groups": n, "members": owners + 1,
                   "group_members": n * (owners + 1),
                   "apply_s_after_last_put": wait_applied(fleet, revision)}
            row |= figures(fleet, observer)
            row["owner_owned"] = owned_count(owner)
            row["cpu_ms_per_change"], row["change_ms"] = cpu_ms_per_change(
                fleet, observer, n)
            row |= restart(fleet, observer, revision)
            rows.append(row)
            report("declared", row)
            declared = n
    except (CallError, ProcessError) as error:
        print(f"declared_stopped_after={declared} reason={error}", flush=True)
    finally:
        fleet.stop()
    return rows


def start_shared_servers(fleet):
    """Sets of three servers; a process takes 20,000 connections at most, so
    the declared groups are divided among the sets."""
    servers = [dataclasses.replace(it, link=it.address)
               for it in fleet.layout.servers]
    sets = [servers[i:i + SERVERS_PER_GROUP]
            for i in range(0, len(servers), SERVERS_PER_GROUP)]
    for server in servers:
        members = next(it for it in sets if server in it)
        arguments = [
            fleet.binary("standin_upstream"), "--listen", server.address,
            "--server", server.id, "--group", server.group,
            "--primary", members[0].id,
            "--connections", SHARED_CONNECTIONS]
        for peer in members:
            if peer.id != server.id:
                arguments += ["--peer", f"{peer.id}={peer.link}"]
        fleet.processes.start("upstream-" + server.id, arguments)
    return sets


def measure_owned(options, x):
    fleet = Fleet(BUKHAN, x, 1, os.path.join(options.folder, "owned"),
                  options.binaries, options.seed)
    node = fleet.layout.nodes[0]
    rows, declared = [], 0
    try:
        sets = start_shared_servers(fleet)
        fleet.start()
        for n in options.owned_groups:
            revision = put_groups(fleet, declared, n, node.zone, sets)
            wait_applied(fleet, revision)
            row = {"owned_groups": n} | figures(fleet, node)
            row["sockets"] = socket_count(fleet.pid(node))
            rows.append(row)
            report("owned", row)
            declared = n
    finally:
        fleet.stop()
    return rows


def socket_count(pid):
    folder = f"/proc/{pid}/fd"
    count = 0
    for it in os.listdir(folder):
        try:
            count += os.readlink(os.path.join(folder, it)).startswith("socket:")
        except FileNotFoundError:
            # Closed between the listing and the reading.
            continue
    return count
