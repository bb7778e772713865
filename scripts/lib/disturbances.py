"""Disturbances that must not cause a promotion: a paused node, replicas that
lag, a store outage."""

import random
import signal
import time

from http_json import post

NODE_PAUSE_S = 0.5
LAG_S = 1.0
STORE_OUTAGE_S = 1.0
REST_S = 0.3
USUAL_LAG_MS = {"min": 0, "max": 20}
LONG_LAG_MS = {"min": 100, "max": 400}


def pause_node(cluster, choose):
    node = choose.choice(cluster.layout.nodes)
    process = cluster.processes.running[node.id]
    process.send_signal(signal.SIGSTOP)
    time.sleep(NODE_PAUSE_S)
    process.send_signal(signal.SIGCONT)


def delay_replica(cluster, choose):
    server = choose.choice(cluster.layout.servers)
    post(server.address, "/admin/fault", {"lag_ms": LONG_LAG_MS})
    time.sleep(LAG_S)
    post(server.address, "/admin/fault", {"lag_ms": USUAL_LAG_MS})


def stop_store(cluster, _):
    post(cluster.layout.store, "/admin/fault",
         {"down_ms": int(STORE_OUTAGE_S * 1000)})
    time.sleep(STORE_OUTAGE_S)


KINDS = (pause_node, delay_replica, stop_store)
LONGEST_S = max(NODE_PAUSE_S, LAG_S, STORE_OUTAGE_S) + REST_S


def run_disturbances(cluster, count):
    choose = random.Random(cluster.seed)
    for i in range(count):
        KINDS[i % len(KINDS)](cluster, choose)
        time.sleep(REST_S)
        cluster.processes.check_alive()
