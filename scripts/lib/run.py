"""Runs both deployments with a primary cut off in the middle and checks the
promises from outside."""

import argparse
import os
import signal
import sys
import time

import checking
from caller import Caller
from cluster import Cluster, reserve_network
from deployments import DEPLOYMENTS, Layout
from failures import run_failures
from http_json import CallError
from processes import ProcessError

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
NODE_STOP_LIMIT_S = 15
DRAIN_LIMIT_S = 40
GROUP_CHANGE_PAUSE_S = 0.5
COUNTED_WRITE = {"bukhan": "checkout", "lankapura": "typing_return"}


class Verdict:
    """Prints one line for each promise and remembers what failed."""

    def __init__(self, name):
        self.name = name
        self.failed = []

    def expect(self, holds, text):
        print(f"{self.name:10} {'ok  ' if holds else 'FAIL'} {text}",
              flush=True)
        if not holds:
            self.failed.append(text)


def live_nodes(cluster):
    return [it for it in cluster.layout.nodes
            if it.id in cluster.processes.running]


def show_moved_session(cluster, verdict):
    """A write through one node is read through another, same session."""
    nodes = live_nodes(cluster)
    group = next(iter(cluster.layout.groups()))
    caller = Caller(cluster, "moved")
    write_class = COUNTED_WRITE[cluster.layout.deployment.name]
    read_class = next(iter(cluster.layout.deployment.allowances))
    value = "moved:1@" + caller.new_request_id()
    wrote = caller.statement(nodes[0], group, write_class, "write",
                             f"PUT moved:1 {value}", caller.new_request_id())
    read = caller.statement(nodes[-1], group, read_class, "read",
                            "GET moved:1")
    caller.append_to_history()
    holds = wrote.get("outcome") == "answered" and read.get("result") == value
    verdict.expect(holds, f"a session that moved from {nodes[0].id} to "
                          f"{nodes[-1].id} read its own write from a "
                          f"{read.get('role')}")


def show_repeated_write(cluster, verdict):
    """The same request ID through another node gets the first answer."""
    nodes = live_nodes(cluster)
    group = list(cluster.layout.groups())[1]
    caller = Caller(cluster, "repeated")
    write_class = COUNTED_WRITE[cluster.layout.deployment.name]
    request_id = caller.new_request_id()
    answers = [caller.statement(node, group, write_class, "write",
                                "ADD repeated:1 1", request_id, repeat)
               for node, repeat in ((nodes[1], False), (nodes[-1], True))]
    caller.append_to_history()
    results = [it.get("result") for it in answers]
    holds = results == ["1", "1"] and answers[1].get("replayed") is True
    verdict.expect(holds, f"a {write_class} repeated under its request ID "
                          f"through {nodes[-1].id} ran once: {results}")


def stop_node_under_load(cluster, verdict):
    """A planned stop of one node; the checker counts requests cut in flight."""
    node = cluster.layout.nodes[-1]
    cluster.faults.add("stop", target=node.endpoint("callers"))
    cluster.processes.request_stop(node.id)
    status = cluster.processes.wait(node.id, NODE_STOP_LIMIT_S)
    cluster.faults.add("exit", target=node.endpoint("callers"))
    verdict.expect(status == 0, f"{node.id} stopped under load, "
                                f"status {status}")


def change_groups(cluster):
    """New declarations of every group under load must not lose a request."""
    connections = cluster.layout.deployment.connections
    for count in (connections - 1, connections):
        cluster.change_connections(count)
        time.sleep(GROUP_CHANGE_PAUSE_S)


def stop_all_nodes(cluster, verdict):
    names = [it.id for it in live_nodes(cluster)]
    for name in names:
        cluster.processes.request_stop(name)
    statuses = [cluster.processes.wait(it, NODE_STOP_LIMIT_S) for it in names]
    verdict.expect(all(it == 0 for it in statuses),
                   f"clean stop of {len(names)} nodes, "
                   f"status {sorted(map(str, set(statuses)))}")


def report(counts, verdict, failures):
    print(f"{verdict.name:10}      {counts['requests']} requests, "
          f"{counts['reads']} reads, replica share "
          f"{counts['replica_read_share']} of at most "
          f"{counts['replica_read_share_bound']}")
    print(f"{verdict.name:10}      failover gap, median "
          f"{counts['failover_gap_p50_ms']} ms, worst "
          f"{counts['failover_gap_max_ms']} ms; unknown to the end: "
          f"{counts['unknown']}")
    verdict.expect(counts["failovers"] == failures,
                   f"{counts['failovers']} of {failures} cuts ended with a "
                   "new primary")
    verdict.expect(counts["reads_served_by_replicas"] > 0,
                   "reads were served by replicas")
    verdict.expect(counts["timed_out"] == 0, "every request got an answer")
    wrong = checking.violations(counts)
    verdict.expect(not wrong, f"violations: {wrong or 'none'}")
    for example in counts["examples"][:5]:
        print(f"{verdict.name:10}      {example}")


def drive(cluster, options, verdict):
    cluster.start()
    verdict.expect(True, f"{len(cluster.layout.nodes)} nodes and "
                         f"{len(cluster.layout.servers)} servers are up")
    duration_s = options.duration_s
    cluster.start_load(duration_s, options.sessions, options.rate)
    began = time.monotonic()
    run_failures(cluster, options.failures, spacing_s=4.0,
                 before_s=duration_s / 3)
    change_groups(cluster)
    if options.stop_node:
        stop_node_under_load(cluster, verdict)
    left = began + duration_s - time.monotonic()
    cluster.wait_load(max(left, 0) + DRAIN_LIMIT_S)
    show_moved_session(cluster, verdict)
    show_repeated_write(cluster, verdict)
    verdict.expect(cluster.wait_converged(), "all servers hold the same log")
    cluster.save_server_logs()
    stop_all_nodes(cluster, verdict)
    report(checking.check(cluster), verdict, options.failures)


def run_deployment(name, options):
    verdict = Verdict(name)
    x, lock = reserve_network(options.seed)
    folder = os.path.join(ROOT, "build/runs",
                          f"{options.label}-{name}-{options.seed}")
    cluster = Cluster(Layout(DEPLOYMENTS[name], x, options.nodes), folder,
                      options.binaries, options.seed)
    try:
        drive(cluster, options, verdict)
    except (ProcessError, CallError, checking.CheckError) as error:
        verdict.expect(False, f"{error}; logs in build/runs")
    finally:
        killed = cluster.stop()
        lock.close()
    if killed:
        verdict.expect(False, f"had to be killed: {killed}")
    return verdict.failed


def parse_arguments():
    parser = argparse.ArgumentParser(prog="run")
    parser.add_argument("--deployments", nargs="+", default=["bukhan",
                                                             "lankapura"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=9)
    parser.add_argument("--duration-s", type=float, default=30)
    parser.add_argument("--failures", type=int, default=1)
    parser.add_argument("--sessions", type=int, default=200)
    parser.add_argument("--rate", type=float, default=400)
    parser.add_argument("--stop-node", action=argparse.BooleanOptionalAction,
                        default=True)
    parser.add_argument("--label", default="run")
    parser.add_argument("--binaries", default=os.path.join(ROOT, "build/bin"))
    return parser.parse_args()


def main():
    options = parse_arguments()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    failed = []
    for name in options.deployments:
        failed += run_deployment(name, options)
    print("all promises held" if not failed
          else f"{len(failed)} promises did not hold")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
