"""Two zones are cut off one after the other: first that of the primary, then
that of the server that has replaced it.

The first primary still has some commits that it acknowledged in its last
milliseconds and that the second never received. Reads are served at the second
one without them; then the first one is promoted again.
"""

import asyncio
import itertools
import os
import sys
import time

from client import Closed, Session
from deployment import HOST, Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WRITERS = 6
READERS = 6
# zone_cut in the site file lasts 5.5 s.
CUT_S = 5.5
# The site: replicas 8 ms behind, 48 at most.
LAG_S = 0.03
ROUTES = [{"Name": "checkout", "DatabaseName": "checkout", "Kind": "primary",
           "Service": "ledger", "TimeoutMs": 800, "TargetLatencyMs": 100,
           "Priority": 1, "MaxStalenessMs": 0}]


class Clients:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.ids = itertools.count(1)
        self.acknowledged = {}
        self.reads = {}
        self.done = False

    async def run(self, number, operate):
        names = self.deployment.names
        while not self.done:
            try:
                session = await Session.open(
                    HOST, self.deployment.port(names[number % 3], 0),
                    "checkout")
                while not self.done and not session.notice_waits():
                    await operate(session, number)
                session.close()
            except Closed:
                await asyncio.sleep(0.05)

    async def write(self, session, number):
        identity = f"w{next(self.ids)}"
        self.record(f"sent {identity}: WRITE it{number} v{identity}")
        reply = await session.ask(identity, f"WRITE it{number} v{identity}")
        self.record(f"reply to {identity}: {reply.code or 'ok'}")
        if reply.code is None:
            self.acknowledged[identity] = time.monotonic()
        await asyncio.sleep(0.03)

    async def read(self, session, number):
        identity = f"r{next(self.ids)}"
        sent = time.monotonic()
        reply = await session.ask(identity, f"READ it{number % WRITERS}")
        self.record(f"read {identity} of it{number % WRITERS}: "
                    f"{reply.code or reply.rows}")
        if reply.code is None:
            self.reads[identity] = sent
        await asyncio.sleep(0.05)


def stale(clients, service):
    """Reads whose log lacked a commit that had been acknowledged before their
    first byte and that is in the log in the end."""
    log = service.leader().log
    kept = {entry["id"] for entry in log}
    found = []
    for run in service.runs:
        sent = clients.reads.get(run["id"])
        if sent is None or "log" not in run:
            continue
        entries, length = run["log"]
        seen = {entry["id"] for entry in entries[:length]}
        missing = [identity for identity, at in clients.acknowledged.items()
                   if at < sent and identity in kept and identity not in seen]
        if missing:
            found.append((run["id"], run["server"], missing))
    return found


async def play(record):
    deployment = Deployment(record, routes=ROUTES, work_s=0.003, lag_s=LAG_S,
                            node_zones="c", server_zones="abb")
    clients = Clients(deployment, record)
    service = deployment.services["ledger"]

    def in_zone(zone):
        return [it for it in deployment.servers.values() if it.zone == zone]

    try:
        await deployment.start()
        await asyncio.sleep(4)
        tasks = [asyncio.create_task(clients.run(n, clients.write))
                 for n in range(WRITERS)]
        tasks += [asyncio.create_task(clients.run(n, clients.read))
                  for n in range(READERS)]
        await asyncio.sleep(3)
        if len(clients.acknowledged) < 50 or len(clients.reads) < 50:
            print("the calm deployment does not serve")
            return 2
        if TROUBLE:
            record("zone a is cut off")
            service.cut_off(in_zone("a"))
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            record("zone a is back, zone b is cut off")
            service.heal()
            service.cut_off(in_zone("b"))
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            record("zone b is back")
            service.heal()
        await asyncio.sleep(3)
        clients.done = True
        await asyncio.wait(tasks, timeout=8)
        found = stale(clients, service)
        for identity, server, missing in found:
            record(f"STALE {identity} at {server} lacks {' '.join(missing)}")
        lacking = {it for _, _, missing in found for it in missing}
        print(f"promoted={[it.id for it, _ in service.promoted]} "
              f"acknowledged={len(clients.acknowledged)} "
              f"reads={len(clients.reads)} stale={len(found)}, which lacked "
              f"{len(lacking)} commits")
        return 1 if found else 0
    finally:
        deployment.stop()


def main():
    record = Record("record.txt")
    try:
        return asyncio.run(play(record))
    except Exception as error:  # Not a verdict on the rule.
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
