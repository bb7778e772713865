"""CPU time, latency and memory of one node by open sessions."""

import os
import subprocess

from cluster import Cluster
from deployments import LANKAPURA, Layout
from processes import ProcessError
from slope_fleet import cpu_s, resident_kb

DURATION_S = 8
CONNECTIONS = 16


def load(cluster, target, sessions, extra):
    arguments = [
        cluster.binary("standin_load"), "--mode", "throughput",
        "--deployment", LANKAPURA.name, "--seed", cluster.seed,
        "--nodes", target, "--sessions", sessions,
        "--connections", CONNECTIONS, "--duration-s", DURATION_S] + extra
    finished = subprocess.run([str(it) for it in arguments], text=True,
                              capture_output=True, timeout=DURATION_S + 60)
    if finished.returncode != 0:
        raise ProcessError(finished.stderr)
    pairs = (it.split("=", 1) for it in finished.stdout.splitlines())
    return {name: float(n) for name, n in pairs}


def report(prefix, row):
    for name, n in row.items():
        print(f"{prefix}_{name}={n:.6g}", flush=True)


def measure(options, x):
    cluster = Cluster(Layout(LANKAPURA, x, 1),
                      os.path.join(options.folder, "statements"),
                      options.binaries, options.seed)
    rows = []
    try:
        cluster.start()
        node = cluster.layout.nodes[0]
        pid = cluster.processes.running[node.id].pid
        for sessions in options.sessions:
            before = cpu_s(pid)
            row = load(cluster, node.endpoint("callers"), sessions,
                       ["--pid", pid])
            row["node_cpu_s"] = cpu_s(pid) - before
            row["anonymous_kb"] = resident_kb(pid)[1]
            row["sessions"] = sessions
            rows.append(row)
            report(f"statements_{sessions}", row)
        direct = load(cluster, cluster.layout.servers[-1].address, 4,
                      ["--upstream"])
        report("statements_direct", direct)
    finally:
        cluster.stop()
    return rows
