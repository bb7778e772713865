"""Runs standin_check on what a cluster left behind."""

import json
import subprocess

VIOLATIONS = (
    "acknowledged_by_old_primary", "ran_twice", "false_not_run",
    "false_failed", "stale_reads", "lost_acknowledged_writes",
    "mixed_answers", "cut_in_flight", "false_promotions")


class CheckError(Exception):
    """The checker could not read its input."""


def check(cluster):
    """The checker's counts as a dict, in its own order."""
    finished = subprocess.run(
        [cluster.binary("standin_check"),
         "--history", cluster.path("history.jsonl"),
         "--servers", cluster.path("servers.jsonl"),
         "--faults", cluster.path("faults.jsonl"),
         "--client-latency-us",
         str(cluster.layout.deployment.client_latency_us), "--json"],
        capture_output=True, text=True, timeout=120)
    if finished.returncode not in (0, 1):
        raise CheckError(finished.stderr.strip())
    with open(cluster.path("check.json"), "w") as file:
        file.write(finished.stdout)
    return json.loads(finished.stdout)


def violations(counts):
    return {name: counts[name] for name in VIOLATIONS if counts[name] > 0}
