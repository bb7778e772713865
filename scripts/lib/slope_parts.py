"""The measurements of scripts/slopes; each starts and ends its processes."""

import os
import time

import slope_groups
import slope_statements
from deployments import BUKHAN
from slope_fleet import AppliedTimes, Fleet, resident_kb
from slope_report import print_fit, write_csv, write_svg

# The join traffic of a new fleet has to end before the idle rate is read.
SETTLE_S = 8
SETTLE_S_PER_NODE = 0.04
CHANGE_LIMIT_S = 10
# Nodes that share the groups, so that none of them is overloaded.
FEW_OWNERS = 8
MANY_OWNERS = 40


def rates(before, after, nodes):
    """Per node and second between two samples."""
    seconds = after["at"] - before["at"]
    per_node = nodes * seconds
    store = {it: after["store"].get(it, 0) - before["store"].get(it, 0)
             for it in after["store"]}
    return {
        "sent_bytes_per_s":
            (after["sent_bytes"] - before["sent_bytes"]) / per_node,
        "received_bytes_per_s":
            (after["received_bytes"] - before["received_bytes"]) / per_node,
        "sent_per_s": (after["sent"] - before["sent"]) / per_node,
        "cpu_percent": 100 * (after["cpu_s"] - before["cpu_s"]) / per_node,
        "store_calls_per_min": 60 * store["total"] / seconds,
        "store_watches_per_min": 60 * store["watch"] / seconds,
        "store_host_reads_per_min": 60 * store["hosts"] / seconds}


def measure_idle(fleet, window_s):
    before = fleet.sample()
    time.sleep(window_s)
    after = fleet.sample()
    nodes = fleet.layout.nodes
    memory = [resident_kb(fleet.pid(it)) for it in nodes]
    row = {"nodes": len(nodes)} | rates(before, after, len(nodes))
    row["pending_watches"] = after["store"]["pending_watches"]
    row["resident_kb"] = sum(it for it, _ in memory) / len(memory)
    row["anonymous_kb"] = sum(it for _, it in memory) / len(memory)
    row["anonymous_kb_max"] = max(it for _, it in memory)
    return row


def measure_changes(fleet, changes, idle):
    """Changes one after the other; the idle rate is subtracted from bytes."""
    applied = AppliedTimes(fleet)
    nodes = len(fleet.layout.nodes)
    delays, missing = [], 0
    before = fleet.sample()
    for n in range(changes):
        put_at = time.time()
        times = applied.wait(fleet.put_allowance(n), CHANGE_LIMIT_S)
        missing += nodes - len(times)
        delays.append(max(times.values(), default=put_at) - put_at)
    after = fleet.sample()
    applied.close()
    seconds = after["at"] - before["at"]
    sent = after["sent_bytes"] - before["sent_bytes"]
    extra = sent / nodes - idle["sent_bytes_per_s"] * seconds
    sync = after["sync_bytes"] - before["sync_bytes"]
    calls = after["store"]["total"] - before["store"]["total"]
    delays.sort()
    return {
        "nodes": nodes, "changes": changes, "missing": missing,
        "delay_ms_median": 1000 * delays[len(delays) // 2],
        "delay_ms_max": 1000 * delays[-1],
        "gossip_bytes_per_change_and_node": extra / changes,
        "sync_bytes_per_change_and_node": sync / nodes / changes,
        "store_calls_per_change": calls / changes,
        "seconds": seconds}


def print_row(part, row):
    key = next(iter(row))
    for name, n in list(row.items())[1:]:
        print(f"{part}_{key}_{row[key]}_{name}={n:.6g}", flush=True)


def write_part(options, part, rows, x, figures):
    path = os.path.join(options.out, part)
    write_csv(path + ".csv", rows)
    for y in figures:
        print_fit(part, rows, x, y)
        write_svg(f"{path}_{y}.svg", f"{y} by {x}", rows, x, y)


def fleets(options, x):
    """Idle cost and configuration changes over fleets of several sizes."""
    idle, changes = [], []
    for n in options.nodes:
        fleet = Fleet(BUKHAN, x, n, os.path.join(options.folder, f"{n}"),
                      options.binaries, options.seed)
        try:
            fleet.start()
            time.sleep(SETTLE_S + SETTLE_S_PER_NODE * n)
            idle.append(measure_idle(fleet, options.window_s))
            print_row("idle", idle[-1])
            changes.append(measure_changes(fleet, options.changes, idle[-1]))
            print_row("change", changes[-1])
        finally:
            fleet.stop()
    write_part(options, "idle", idle, "nodes", [
        "sent_bytes_per_s", "sent_per_s", "cpu_percent", "anonymous_kb",
        "store_calls_per_min"])
    write_part(options, "change", changes, "nodes", [
        "delay_ms_median", "delay_ms_max", "gossip_bytes_per_change_and_node",
        "sync_bytes_per_change_and_node", "store_calls_per_change"])


def groups(options, x):
    rows = slope_groups.measure_declared(options, x, FEW_OWNERS,
                                         options.groups)
    write_part(options, "declared", rows, "declared_groups",
               ["anonymous_kb", "cpu_percent", "restart_cpu_s"])
    # A second fleet size tells groups and members apart.
    rows += slope_groups.measure_declared(
        options, x, MANY_OWNERS, options.larger_fleet_groups)
    rows.sort(key=lambda it: it["group_members"])
    write_part(options, "ownership", rows, "group_members",
               ["cpu_ms_per_change"])
    rows = slope_groups.measure_owned(options, x)
    write_part(options, "owned", rows, "owned_groups",
               ["anonymous_kb", "cpu_percent", "sockets"])


def statements(options, x):
    rows = slope_statements.measure(options, x)
    write_part(options, "statements", rows, "sessions",
               ["cpu_us_per_statement", "resident_kb"])


PARTS = {"fleets": fleets, "groups": groups, "statements": statements}
