"""Compares the ways to choose among qualified replicas: one replica of a group
answers late, and one of another group is stopped and comes back."""

import argparse
import json
import os
import signal
import sys
import time

from cluster import Cluster, monotonic_us, reserve_network
from deployments import DEPLOYMENTS, Layout
from http_json import post

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
CHOOSERS = ("least_pending", "two_choices", "lottery")
SETTLE_S = 3.0
SLOW_S = 4.0
LATE_MS = 5
AWAY_S = 2.0
AFTER_S = 3.0
SECOND_US = 1_000_000


def percentile(values, share):
    ordered = sorted(values)
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def replicas(cluster, group):
    primary = cluster.primary(group)[1]
    return [it for it in cluster.layout.servers
            if it.group == group and it.id != primary.id]


def disturb(cluster):
    """Returns the windows of the run by name, as (start, end, server)."""
    groups = list(cluster.layout.groups())
    slow = replicas(cluster, groups[0])[0]
    away = replicas(cluster, groups[1])[0]
    windows = {}
    time.sleep(SETTLE_S)
    start = monotonic_us()
    windows["usual"] = (start - 2 * SECOND_US, start, away)
    post(slow.address, "/admin/fault",
         {"late": {"count": 1_000_000, "ms": LATE_MS}})
    time.sleep(SLOW_S)
    windows["slow"] = (start, monotonic_us(), slow)
    post(slow.address, "/admin/fault", {"late": {"count": 0, "ms": 0}})
    process = cluster.processes.running["upstream-" + away.id]
    process.send_signal(signal.SIGSTOP)
    time.sleep(AWAY_S)
    process.send_signal(signal.SIGCONT)
    back = monotonic_us()
    windows["returned"] = (back, back + SECOND_US, away)
    time.sleep(AFTER_S)
    return windows


def reads_in(history, window, group):
    start, end, _ = window
    return [it for it in history
            if it["kind"] == "read" and it["group"] == group and
            it["outcome"] == "answered" and start <= it["received_us"] < end]


def report(name, history, windows):
    slow = windows["slow"][2]
    reads = reads_in(history, windows["slow"], slow.group)
    latencies = [it["received_us"] - it["sent_us"] for it in reads]
    on_slow = sum(it["server"] == slow.id for it in reads)
    print(f"{name}_slow_reads={len(reads)}")
    print(f"{name}_slow_p50_us={percentile(latencies, 0.5)}")
    print(f"{name}_slow_p99_us={percentile(latencies, 0.99)}")
    print(f"{name}_slow_share={on_slow / max(1, len(reads)):.3f}")
    away = windows["usual"][2]
    usual = [it for it in reads_in(history, windows["usual"], away.group)
             if it["server"] == away.id]
    returned = [it for it in reads_in(history, windows["returned"], away.group)
                if it["server"] == away.id]
    print(f"{name}_usual_per_s={len(usual) / 2}")
    print(f"{name}_first_second_after_return={len(returned)}", flush=True)


def run(options, chooser):
    x, lock = reserve_network(options.seed)
    folder = os.path.join(ROOT, "build/runs", f"chooser-{chooser}")
    cluster = Cluster(Layout(DEPLOYMENTS[options.deployment], x, 3), folder,
                      os.path.join(ROOT, "build/bin"), options.seed,
                      chooser=chooser)
    try:
        cluster.start()
        cluster.start_load(SETTLE_S + SLOW_S + AWAY_S + AFTER_S + 2,
                           options.sessions, options.rate)
        windows = disturb(cluster)
        cluster.processes.request_stop("load")
        cluster.wait_load(40)
    finally:
        cluster.stop()
        lock.close()
    with open(cluster.path("history.jsonl")) as file:
        history = [json.loads(line) for line in file]
    report(chooser, history, windows)


def main():
    parser = argparse.ArgumentParser(prog="choosers")
    parser.add_argument("--deployment", choices=DEPLOYMENTS,
                        default="lankapura")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sessions", type=int, default=200)
    parser.add_argument("--rate", type=float, default=900)
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    for chooser in CHOOSERS:
        run(options, chooser)


if __name__ == "__main__":
    main()
