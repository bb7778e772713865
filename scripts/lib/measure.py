"""Measures the product and the baseline; prints one key=value a line."""

import argparse
import json
import os
import signal
import sys

from deployments import DEPLOYMENTS
from processes import ProcessError, Processes

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
# A half with the default of 20 failures takes less than two minutes.
HALF_BASE_LIMIT_S = 130
FAILURE_LIMIT_S = 5
# Not part of the key=value output.
LISTS = ("failover_gaps_us", "examples")


def half_arguments(options, folder, is_baseline):
    arguments = [
        sys.executable, os.path.join(ROOT, "scripts/lib/half.py"),
        "--deployment", options.deployment, "--seed", options.seed,
        "--failures", options.failures,
        "--disturbances", options.disturbances, "--sessions", options.sessions,
        "--rate", options.rate, "--folder", folder,
        "--binaries", os.path.join(ROOT, "build/bin")]
    return arguments + (["--baseline"] if is_baseline else [])


def run_halves(options, processes, folder):
    """The halves share the machine unless --sequential is given."""
    names = ["product", "baseline"]
    for name in names:
        half = os.path.join(folder, name)
        os.makedirs(half, exist_ok=True)
        processes.start(name, half_arguments(options, half,
                                             name == "baseline"))
        if options.sequential:
            finish(options, processes, name)
    if not options.sequential:
        for name in names:
            finish(options, processes, name)


def finish(options, processes, name):
    limit_s = HALF_BASE_LIMIT_S + options.failures * FAILURE_LIMIT_S
    status = processes.wait(name, limit_s)
    if status != 0:
        raise ProcessError(f"the {name} half ended with {status}: "
                           f"{processes.tail(name)}")


def print_counts(folder, name, prefix):
    with open(os.path.join(folder, name, "result.json")) as file:
        counts = json.load(file)
    for key, value in counts.items():
        if key not in LISTS:
            print(f"{prefix}{key}={value}")


def parse_arguments():
    parser = argparse.ArgumentParser(prog="measure")
    parser.add_argument("--deployment", choices=DEPLOYMENTS, required=True)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--failures", type=int, default=20)
    parser.add_argument("--disturbances", type=int, default=12,
                        help="pauses of nodes, lags of replicas and store "
                             "outages before the first failure")
    parser.add_argument("--sessions", type=int, default=200)
    parser.add_argument("--rate", type=float, default=400)
    parser.add_argument("--sequential", action="store_true",
                        help="run the baseline after the product")
    return parser.parse_args()


def main():
    options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    folder = os.path.join(ROOT, "build/runs",
                          f"measure-{options.deployment}-{options.seed}")
    os.makedirs(folder, exist_ok=True)
    processes = Processes(folder)
    try:
        run_halves(options, processes, folder)
    except ProcessError as error:
        print(f"measure: {error}", file=sys.stderr)
        return 1
    finally:
        # A half ends its own processes before it exits.
        processes.stop_all(grace_s=15)
    print_counts(folder, "product", "")
    print_counts(folder, "baseline", "baseline_")
    return 0


if __name__ == "__main__":
    sys.exit(main())
