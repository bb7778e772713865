"""One replica receives nothing for a while, and the primary crashes meanwhile.

The service has SyncReplicas 1: a commit is acknowledged once one replica has
received it. The other replica has all commits, runs and can be reached. It is
busy with reads, so that it answers STATUS with BUSY now and then.
"""

import asyncio
import itertools
import os
import sys
import time

from client import PROMISES, Closed, Session
from deployment import HOST, Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READERS = 16
WRITERS = 3
# replica_lag in the site file lasts 6.5 s at most.
DEAF_S = 6.5
CRASH_AFTER_S = 2.0
DOWN_S = 7.0
ROUTES = [{"Name": "checkout", "DatabaseName": "checkout", "Kind": "primary",
           "Service": "ledger", "TimeoutMs": 800, "TargetLatencyMs": 100,
           "Priority": 1, "MaxStalenessMs": 0},
          {"Name": "reserve", "DatabaseName": "reserve",
           "Kind": "read_your_writes", "Service": "ledger", "TimeoutMs": 800,
           "TargetLatencyMs": 200, "Priority": 2, "MaxStalenessMs": 2500}]


class Clients:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.ids = itertools.count(1)
        self.acknowledged = {}
        self.reads = 0
        self.done = False

    async def run(self, number, database, operate):
        names = self.deployment.names
        while not self.done:
            try:
                session = await Session.open(
                    HOST, self.deployment.port(names[number % 3], 0), database)
                while not self.done and not session.notice_waits():
                    await operate(session, number)
                session.close()
            except Closed:
                await asyncio.sleep(0.05)

    async def read(self, session, number):
        reply = await session.ask(f"r{next(self.ids)}", f"READ it{number}")
        self.reads += reply.code is None
        if reply.code:
            await asyncio.sleep(0.02)

    async def write(self, session, number):
        identity = f"w{next(self.ids)}"
        self.record(f"sent {identity}: WRITE it{number} v{identity}")
        reply = await session.ask(identity, f"WRITE it{number} v{identity}")
        self.record(f"reply to {identity}: {reply.code or 'ok'}")
        if reply.code is None:
            self.acknowledged[identity] = time.monotonic()
        await asyncio.sleep(0.02)


def lost(clients, service):
    """The commits that were acknowledged before a promotion and are not in the
    log of the promoted server."""
    found = []
    for server, log in service.promoted:
        kept = {entry["id"] for entry in log}
        for commit in service.commits:
            if commit["id"] in clients.acknowledged and \
                    commit["term"] < server.leads and \
                    commit["id"] not in kept:
                found.append((commit["id"], server.id))
    return found


async def trouble(deployment, record):
    first, second = deployment.servers["i-10"], deployment.servers["i-11"]
    record(f"{second.id} receives nothing")
    second.deaf = True
    await asyncio.sleep(CRASH_AFTER_S)
    record(f"{first.id}, the primary, crashes")
    first.crash()
    await asyncio.sleep(DEAF_S - CRASH_AFTER_S)
    second.deaf = False
    record(f"{second.id} receives again")
    await asyncio.sleep(DOWN_S - DEAF_S + CRASH_AFTER_S)
    await first.restart()
    record(f"{first.id} is back with its log")


async def play(record):
    deployment = Deployment(record, routes=ROUTES, work_s=0.015, sync=1)
    clients = Clients(deployment, record)
    service = deployment.services["ledger"]
    try:
        await deployment.start()
        await asyncio.sleep(4)
        tasks = [asyncio.create_task(
            clients.run(n, "reserve", clients.read)) for n in range(READERS)]
        tasks += [asyncio.create_task(
            clients.run(n, "checkout", clients.write)) for n in range(WRITERS)]
        await asyncio.sleep(4)
        if len(clients.acknowledged) < 20 or clients.reads < 50:
            print("the calm deployment does not serve")
            return 2
        if TROUBLE:
            await trouble(deployment, record)
        else:
            await asyncio.sleep(DOWN_S + CRASH_AFTER_S)
        await asyncio.sleep(2)
        clients.done = True
        await asyncio.wait(tasks, timeout=8)
        found = lost(clients, service)
        for identity, server in found:
            record(f"LOST {identity}: acknowledged, not in the log of "
                   f"{server}, which was promoted")
        for server, log in service.promoted:
            print(f"promoted {server.id} with {len(log)} commits")
        print(f"acknowledged={len(clients.acknowledged)} "
              f"reads={clients.reads} lost={len(found)}")
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
