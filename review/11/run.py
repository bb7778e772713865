"""A coordinator whose failover was taken over still promotes its server.

The servers are replaced one after the other: s1, the primary, drains, and then
s2. The platform's promotion address takes no connections for less than three
seconds, so the coordinator's call waits for its connection. The coordinator
stands still for 0.7 s. Another node takes the failover over, gets the
coordinator's acknowledgement and promotes s3 with the next token. Then the
connection of the first coordinator's call is established, and the call is sent.
"""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
import lab as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PAUSE_S = 0.7
# The time between two steps of the release, as `fleetbench kinds` has it.
RELEASE_GAP_S = 1.0


async def write_all_the_time(lab, client, acknowledged):
    """Writes through a node that meets no disruption."""
    while True:
        try:
            ident, lines = await client.query(f"WRITE k{len(acknowledged) % 7} v", 3)
            if lines[0].startswith("COMPLETE"):
                acknowledged[ident] = lab.record.now()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            client.close()
            await client.open(client.node, "strict")
        await asyncio.sleep(0.02)


async def find_coordinator(lab, stage, limit=10):
    """The node that logs this stage of a failover first."""
    for _ in range(int(limit / 0.01)):
        for node in lab.nodes:
            if any(stage in line for line in node.new_lines()):
                return node
        await asyncio.sleep(0.01)
    raise RuntimeError("no coordinator")


async def release(lab):
    """Drains s1 and then s2. The servers that replace them run already."""
    for server in ("s1", "s2"):
        lab.group.drain(server)
        await asyncio.sleep(RELEASE_GAP_S)


async def scenario(lab):
    record, cloud, group = lab.record, lab.cloud, lab.group
    await asyncio.sleep(15)
    client = standins.Client(lab, "w")
    await client.open(lab.nodes[-1], "strict")
    acknowledged = {}
    writer = asyncio.create_task(write_all_the_time(lab, client, acknowledged))
    await asyncio.sleep(1)
    if TROUBLE:
        await cloud.go_dark()
    releasing = asyncio.create_task(release(lab))
    if TROUBLE:
        # Its next call follows after 50 ms.
        coordinator = await find_coordinator(lab, "stage=promotion_unanswered")
        await asyncio.sleep(0.12)
        coordinator.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S - 0.15)
        cloud.go_lit()
        await asyncio.sleep(0.15)
        coordinator.signal(signal.SIGCONT)
    await asyncio.sleep(6)
    await releasing
    writer.cancel()
    record.add("calls (seconds, holder, token, server, status): " + repr(cloud.calls))
    record.add("promotions (seconds, server, term): " + repr(group.promotions))
    highest, lower = 0, []
    for at, holder, token, server, _ in cloud.calls:
        if token < highest:
            lower.append((at, holder, token, server))
        highest = max(highest, token)
    late = [it for it in group.commits
            if it[3] in acknowledged
            and any(p[0] < it[0] and p[2] > it[2] for p in group.promotions)]
    record.add(f"calls with a lower token than one before: {lower}")
    record.add(f"commits at an old primary after a promotion, acknowledged: {len(late)}, "
               f"the first: {late[:3]}")
    print("lower tokens:", len(lower), "acknowledged commits at an old primary:", len(late))
    if not cloud.calls or not acknowledged:
        return 2
    return 1 if lower or late else 0


standins.main(FOLDER, scenario, count=5)
