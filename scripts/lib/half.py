"""One half of a measurement: a deployment under load with failures.

Called by measure.py, once for the product and once for the baseline; writes
the counts to result.json in its folder.
"""

import argparse
import json
import os
import signal
import sys

import checking
from cluster import Cluster, reserve_network
from deployments import DEPLOYMENTS, Layout
from disturbances import LONGEST_S, run_disturbances
from failures import longest_duration_s, run_failures

DRAIN_LIMIT_S = 40
SPACING_S = 4.0


def measure(cluster, options):
    cluster.start()
    limit_s = (options.disturbances * LONGEST_S +
               longest_duration_s(options.failures, SPACING_S))
    cluster.start_load(limit_s + 5, options.sessions, options.rate)
    run_disturbances(cluster, options.disturbances)
    run_failures(cluster, options.failures, SPACING_S)
    cluster.processes.request_stop("load")
    cluster.wait_load(DRAIN_LIMIT_S)
    cluster.wait_converged()
    cluster.save_server_logs()
    return checking.check(cluster)


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument("--deployment", choices=DEPLOYMENTS, required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--failures", type=int, required=True)
    parser.add_argument("--disturbances", type=int, default=12)
    parser.add_argument("--sessions", type=int, default=200)
    parser.add_argument("--rate", type=float, default=400)
    parser.add_argument("--baseline", action="store_true")
    parser.add_argument("--folder", required=True)
    parser.add_argument("--binaries", required=True)
    return parser.parse_args()


def main():
    options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    x, lock = reserve_network(options.seed * 2 + options.baseline)
    layout = Layout(DEPLOYMENTS[options.deployment], x)
    cluster = Cluster(layout, options.folder, options.binaries, options.seed,
                      options.baseline)
    try:
        counts = measure(cluster, options)
    finally:
        cluster.stop()
        lock.close()
    with open(os.path.join(options.folder, "result.json"), "w") as file:
        json.dump(counts, file)


if __name__ == "__main__":
    main()
