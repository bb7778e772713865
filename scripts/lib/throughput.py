"""Throughput, latency, CPU time and memory of one node by open sessions.

The node is entry and group owner in one process, so its CPU time is the whole
cost of a statement without the forwarding between nodes.
"""

import argparse
import os
import signal
import subprocess
import sys

from cluster import Cluster, reserve_network
from deployments import DEPLOYMENTS, Layout
from processes import ProcessError

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))


def load(cluster, target, options, sessions, extra):
    arguments = [
        cluster.binary("standin_load"), "--mode", "throughput",
        "--deployment", options.deployment, "--seed", options.seed,
        "--nodes", target, "--sessions", sessions,
        "--connections", options.connections,
        "--duration-s", options.duration_s] + extra
    finished = subprocess.run([str(it) for it in arguments], text=True,
                              capture_output=True,
                              timeout=options.duration_s + 60)
    if finished.returncode != 0:
        raise ProcessError(finished.stderr)
    return finished.stdout.splitlines()


def measure(cluster, options):
    cluster.start()
    node = cluster.layout.nodes[0]
    pid = cluster.processes.running[node.id].pid
    for sessions in options.sessions:
        for line in load(cluster, node.endpoint("callers"), options, sessions,
                         ["--pid", pid, "--write-share",
                          options.write_share]):
            print(f"node_{sessions}_{line}", flush=True)
    server = cluster.layout.servers[-1]
    for line in load(cluster, server.address, options, 4, ["--upstream"]):
        print(f"upstream_{line}", flush=True)


def main():
    parser = argparse.ArgumentParser(prog="throughput")
    parser.add_argument("--deployment", choices=DEPLOYMENTS,
                        default="lankapura")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sessions", type=int, nargs="+",
                        default=[100, 1000, 5000])
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--write-share", type=float, default=0.0)
    parser.add_argument("--duration-s", type=float, default=10)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    x, lock = reserve_network(options.seed)
    folder = os.path.join(ROOT, "build/runs", f"throughput-{options.seed}")
    cluster = Cluster(Layout(DEPLOYMENTS[options.deployment], x, 1), folder,
                      os.path.join(ROOT, "build/bin"), options.seed)
    try:
        measure(cluster, options)
    finally:
        cluster.stop()
        lock.close()


if __name__ == "__main__":
    main()
