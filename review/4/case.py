"""SIGTERM of a node whose clients keep using their open sessions.

Each client sends the next statement when it has the reply to the last one. A
request is lost if the connection ends without a complete reply to it.
"""

import asyncio
import itertools
import os
import signal
import sys
import time

from client import PROMISES, Closed, Session
from deployment import HOST, Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 20
# Within the work_ms of the site: 15 on average, 110 at most.
WORK_S = 0.045
TIMEOUT_S = 0.8
LOSS_SLACK_S = 0.2
# Requests sent later than this after SIGTERM have no excuse.
LATE_S = 3.0
GRACE_S = 6.0
ROUTES = [{"Name": "checkout", "DatabaseName": "checkout", "Kind": "primary",
           "Service": "ledger", "TimeoutMs": int(TIMEOUT_S * 1000),
           "TargetLatencyMs": 100, "Priority": 1, "MaxStalenessMs": 0},
          {"Name": "reserve", "DatabaseName": "reserve",
           "Kind": "read_your_writes", "Service": "ledger",
           "TimeoutMs": int(TIMEOUT_S * 1000), "TargetLatencyMs": 200,
           "Priority": 2, "MaxStalenessMs": 2500}]


class Clients:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.ids = itertools.count(1)
        self.stopped_at = None
        self.served = 0
        self.refused = 0
        self.lost = []
        self.done = False

    def choose(self, number, opened):
        """A session begins at the first node; later ones at the others, as
        the platform sends new connections to nodes that are ready."""
        names = self.deployment.names
        return names[0] if opened == 0 else names[1 + number % 2]

    async def run(self, number):
        for opened in itertools.count():
            if self.done:
                return
            name = self.choose(number, opened)
            database = ("checkout", "reserve")[number % 2]
            try:
                session = await Session.open(
                    HOST, self.deployment.port(name, 0), database)
            except Closed:
                await asyncio.sleep(0.1)
                continue
            await self.use(session, number, name)
            session.close()

    async def use(self, session, number, name):
        while not self.done:
            if session.notice_waits():
                return
            identity = f"q{next(self.ids)}"
            writes = number % 4 == 0
            text = f"WRITE it{number} v{identity}" if writes else \
                f"READ it{number}"
            sent = time.monotonic()
            self.record(f"sent {identity} to {name}: {text}")
            try:
                reply = await session.ask(identity, text)
            except Closed as error:
                ended = time.monotonic()
                self.record(f"no reply to {identity} from {name} after "
                            f"{ended - sent:.3f} s: {error}")
                self.lost.append((identity, name, sent, ended))
                return
            if reply.code is None:
                self.served += 1
            elif reply.code in PROMISES:
                self.refused += 1
            self.record(f"reply to {identity}: {reply.code or 'ok'}")


def broken(clients, service):
    """The lost requests that the rule counts."""
    runs = {it["id"]: it for it in service.runs}
    found = []
    for identity, name, sent, ended in clients.lost:
        run = runs.get(identity)
        passed_on = run is not None and run["begun"] < ended
        around = clients.stopped_at is not None and \
            ended < clients.stopped_at + GRACE_S + 1
        if not around or name != "front-1":
            continue
        # The server was still at work on an early request.
        if sent < clients.stopped_at + LATE_S or ended - sent > 0.9 * TIMEOUT_S:
            continue
        if passed_on or ended - sent > LOSS_SLACK_S:
            found.append((identity, sent - clients.stopped_at, ended - sent,
                          passed_on))
    return found


async def play(record):
    deployment = Deployment(record, routes=ROUTES, work_s=WORK_S)
    clients = Clients(deployment, record)
    try:
        await deployment.start()
        await asyncio.sleep(4)
        tasks = [asyncio.create_task(clients.run(n)) for n in range(CLIENTS)]
        await asyncio.sleep(5)
        if clients.served < 50:
            print("the calm deployment does not serve")
            return 2
        clients.stopped_at = time.monotonic()
        if TROUBLE:
            deployment.signal("front-1", signal.SIGTERM)
        await asyncio.sleep(GRACE_S + 1.5)
        clients.done = True
        await asyncio.wait(tasks, timeout=8)
        service = deployment.services["ledger"]
        for run in service.runs:
            record(f"ran {run['id']} on {run['server']}: {run['text']}")
        found = broken(clients, service)
        for identity, sent, age, passed_on in found:
            text = (f"LOST {identity}: sent {sent:.3f} s after SIGTERM, cut "
                    f"off {age:.3f} s later, passed on: {passed_on}")
            record(text)
            print(text)
        print(f"served={clients.served} refused={clients.refused} "
              f"without_reply={len(clients.lost)} broken={len(found)}")
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
