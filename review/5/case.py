"""Peers send broken packets to a node for a few seconds and go away.

A packet is at most 1 MiB and consists of carriage returns without a line feed.
The platform asks the node once a second whether it is ready, and a client with
an open session goes on asking it.
"""

import asyncio
import itertools
import os
import socket
import sys
import time

from client import Closed, Session
from deployment import HOST, Deployment, Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The dose of rude in the site file: 120 peers in a zone for 6.5 s.
PEERS = int(os.environ.get("PEERS", "120"))
PRESS_S = 6.5
PACKET = b"QUERY 5c0e7a21 READ " + b"\r" * ((1 << 20) - 64)
# "While clients press beyond the usual, and 5 s after" a machine may count as
# slowed; StabilityMs later it is in touch again.
EXCUSE_S = 5.0 + 5.0
WATCH_S = 40.0
# Two questions without a 200 take a machine out; this many in a row, with no
# one pressing any more, is a process that does not run.
SILENT_QUESTIONS = 10
# Of a core; a node that hands back the processor uses a few hundredths here.
BUSY_SHARE = 0.9
DEADLINE_S = 1.5
TIMEOUT_S = 0.8
ROUTES = [{"Name": "checkout", "DatabaseName": "checkout", "Kind": "primary",
           "Service": "ledger", "TimeoutMs": int(TIMEOUT_S * 1000),
           "TargetLatencyMs": 100, "Priority": 1, "MaxStalenessMs": 0}]


async def press(deployment, record):
    """Each peer sends packets over one connection until the time is up."""
    loop = asyncio.get_running_loop()
    end = loop.time() + PRESS_S
    sent = [0] * PEERS

    async def peer(number):
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(
                sock, (HOST, deployment.port("front-1", 0)))
            rest = PACKET
            while rest and loop.time() < end:
                try:
                    n = sock.send(rest[:65536])
                except BlockingIOError:
                    await asyncio.sleep(0.02)
                    continue
                sent[number] += n
                rest = rest[n:]
                await asyncio.sleep(0)
        except OSError as error:
            record(f"peer {number}: {error}")
        finally:
            sock.close()

    await asyncio.gather(*[peer(n) for n in range(PEERS)])
    record(f"{PEERS} peers have sent {sum(sent)} bytes and are gone")


async def ask_ready(deployment, record, answers, name):
    while True:
        begun = time.monotonic()
        ready = await asyncio.to_thread(deployment.is_ready, name)
        took = time.monotonic() - begun
        answers.append((begun, ready))
        record(f"readiness of {name}: {ready} after {took:.3f} s")
        await asyncio.sleep(max(0.0, 1.0 - took))


async def use(deployment, record, replies, name):
    """A client with a session at the node."""
    ids = itertools.count(1)
    while True:
        try:
            session = await Session.open(
                HOST, deployment.port(name, 0), "checkout", 5)
            while True:
                identity = f"{name}.{next(ids)}"
                sent = time.monotonic()
                record(f"sent {identity}: READ a1")
                reply = await session.ask(identity, "READ a1", 30)
                took = time.monotonic() - sent
                replies.append((sent, took, reply.code))
                record(f"reply to {identity} after {took:.3f} s: "
                       f"{reply.code or 'ok'}")
                await asyncio.sleep(0.2)
        except Closed as error:
            record(f"session at {name} ended: {error}")
            await asyncio.sleep(0.2)


def processor_s(deployment, name):
    """Processor time that the node has used."""
    with open(f"/proc/{deployment.processes[name].pid}/stat",
              encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def longest_silence(answers, since):
    longest = run = 0
    for begun, ready in answers:
        if begun < since:
            continue
        run = 0 if ready else run + 1
        longest = max(longest, run)
    return longest


async def play(record):
    deployment = Deployment(record, routes=ROUTES, work_s=0.003)
    answers = {name: [] for name in deployment.names}
    replies = {name: [] for name in deployment.names}
    try:
        await deployment.start()
        await asyncio.sleep(4)
        tasks = [asyncio.create_task(ask_ready(deployment, record,
                                               answers[name], name))
                 for name in deployment.names]
        tasks += [asyncio.create_task(use(deployment, record, replies[name],
                                          name)) for name in deployment.names]
        await asyncio.sleep(4)
        if longest_silence(answers["front-1"], 0) or len(
                replies["front-1"]) < 5:
            print("the calm deployment does not serve")
            return 2
        if TROUBLE:
            await press(deployment, record)
        else:
            await asyncio.sleep(PRESS_S)
        gone = time.monotonic()
        await asyncio.sleep(EXCUSE_S)
        used = {name: processor_s(deployment, name)
                for name in deployment.names}
        await asyncio.sleep(WATCH_S)
        used = {name: (processor_s(deployment, name) - used[name]) / WATCH_S
                for name in deployment.names}
        for it in tasks:
            it.cancel()
        since = gone + EXCUSE_S
        for name in deployment.names:
            silent = longest_silence(answers[name], since)
            late = [it for it in replies[name]
                    if it[0] > since and it[1] > DEADLINE_S]
            answered = sum(it[0] > since for it in replies[name])
            text = (f"{name}: {silent} questions in a row without an answer "
                    f"later than {EXCUSE_S} s after the peers left; "
                    f"{answered} statements answered, {len(late)} of them "
                    f"after their deadline; {used[name]:.2f} of a core used")
            record(text)
            print(text)
        silent = longest_silence(answers["front-1"], since)
        hangs = silent >= SILENT_QUESTIONS and used["front-1"] > BUSY_SHARE
        return 1 if hangs else 0
    finally:
        deployment.stop()


def main():
    record = Record("record.txt")
    try:
        return asyncio.run(play(record))
    except (OSError, TimeoutError) as error:
        print(f"could not run: {error}")
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
