"""A zone is cut off for a while after the primary, in another zone, has said
that it leaves.

The primary has been replaced at once, by a server of the zone that is cut off
later. The nodes of this case are in the zone that stays.
"""

import asyncio
import itertools
import os
import sys
import time

from client import Closed, Session
from deployment import HOST, Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 8
DRAIN_S = 7.0
# zone_cut in the site file lasts 5.5 s.
CUT_AFTER_S = 3.5
CUT_S = 5.5
# A server that leaves goes on for DrainMs and a little longer.
LEAVES_AFTER_S = 13.0
TIMEOUT_S = 0.8
ROUTES = [{"Name": "checkout", "DatabaseName": "checkout", "Kind": "primary",
           "Service": "ledger", "TimeoutMs": int(TIMEOUT_S * 1000),
           "TargetLatencyMs": 100, "Priority": 1, "MaxStalenessMs": 0}]


class Clients:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.ids = itertools.count(1)
        self.sent = {}
        self.served = 0
        self.done = False

    async def run(self, number):
        names = self.deployment.names
        while not self.done:
            try:
                session = await Session.open(
                    HOST, self.deployment.port(names[number % 3], 0),
                    "checkout")
                while not self.done and not session.notice_waits():
                    await self.operate(session, number)
                session.close()
            except Closed:
                await asyncio.sleep(0.05)

    async def operate(self, session, number):
        identity = f"q{next(self.ids)}"
        text = f"WRITE it{number} v{identity}" if number % 2 else \
            f"READ it{number}"
        self.sent[identity] = time.monotonic()
        self.record(f"sent {identity}: {text}")
        reply = await session.ask(identity, text)
        self.record(f"reply to {identity}: {reply.code or 'ok'}")
        self.served += reply.code is None
        await asyncio.sleep(0.05)


async def play(record):
    deployment = Deployment(record, routes=ROUTES, work_s=0.003,
                            node_zones="a", server_zones="abb")
    clients = Clients(deployment, record)
    service = deployment.services["ledger"]
    try:
        await deployment.start()
        await asyncio.sleep(4)
        tasks = [asyncio.create_task(clients.run(n)) for n in range(CLIENTS)]
        await asyncio.sleep(3)
        if clients.served < 100:
            print("the calm deployment does not serve")
            return 2
        leaving = deployment.servers["i-10"]
        leaving.draining = True
        while (deployment.store.document("servers/i-10") or
               {}).get("State") != "draining":
            await asyncio.sleep(0.01)
        acknowledged = time.monotonic()
        record("the store has accepted that i-10 is draining")
        await asyncio.sleep(CUT_AFTER_S)
        if TROUBLE:
            record("zone b is cut off")
            service.cut_off([it for it in deployment.servers.values()
                             if it.zone == "b"])
        await asyncio.sleep(CUT_S)
        record("zone b is back")
        service.heal()
        await asyncio.sleep(LEAVES_AFTER_S - CUT_AFTER_S - CUT_S)
        leaving.crash()
        record("i-10 has left")
        await asyncio.sleep(1)
        clients.done = True
        await asyncio.wait(tasks, timeout=8)
        late = [it for it in service.runs if it["server"] == "i-10" and
                it["state"] == "I" and it["id"] in clients.sent and
                it["begun"] - acknowledged > DRAIN_S]
        for it in late:
            record(f"DRAIN {it['id']} reaches i-10 "
                   f"{it['begun'] - acknowledged:.3f} s after it had said "
                   f"that it leaves")
        last = max([it["begun"] - acknowledged for it in late], default=0.0)
        print(f"served={clients.served} promotions="
              f"{[it.id for it, _ in service.promoted]} late={len(late)}, the "
              f"last after {last:.3f} s")
        return 1 if late else 0
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
