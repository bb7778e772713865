"""Slopes of a node's cost, measured with real processes on one machine."""

import argparse
import os
import signal
import sys

from cluster import reserve_network
from slope_parts import PARTS

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
# Half the memory of the machine at about 30 MB a node allows more; the limit
# is the number of processes that one machine schedules without delays.
MAX_NODES = 240


def main():
    parser = argparse.ArgumentParser(prog="slopes")
    parser.add_argument("--parts", nargs="+", choices=PARTS,
                        default=list(PARTS))
    parser.add_argument("--nodes", type=int, nargs="+", default=[9, 50, 200])
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--window-s", type=float, default=20)
    parser.add_argument("--groups", type=int, nargs="+",
                        default=[10, 500, 2000, 7700])
    # With 2,000 groups, 41 nodes do not settle on 10 cores (KNOWN-RED.txt).
    parser.add_argument("--larger-fleet-groups", type=int, nargs="+",
                        default=[10, 500])
    parser.add_argument("--owned-groups", type=int, nargs="+",
                        default=[3, 30, 100])
    parser.add_argument("--sessions", type=int, nargs="+",
                        default=[100, 1000, 5000])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", default=os.path.join(ROOT, "docs/capacity"))
    parser.add_argument("--binaries", default=os.environ.get(
        "BAOBABPIN_BIN", os.path.join(ROOT, "build/bin")))
    options = parser.parse_args()
    if max(options.nodes) > MAX_NODES:
        parser.error(f"at most {MAX_NODES} nodes on one machine")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    os.makedirs(options.out, exist_ok=True)
    x, lock = reserve_network(options.seed)
    options.folder = os.path.join(ROOT, "build/runs",
                                  f"slopes-{options.seed}")
    try:
        for name in options.parts:
            PARTS[name](options, x)
    finally:
        lock.close()


if __name__ == "__main__":
    main()
