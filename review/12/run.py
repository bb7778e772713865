"""A statement runs with the session values of another client.

Some clients set a session value, others set none. Each client sends one
statement now and then, so the nodes probe the primary in between. For 6.5 s the
primary refuses part of its requests.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))
import lab as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GREY_SHARE = 0.45
GREY_S = 6.5
CLIENTS = 36


async def one_client(lab, number, expected):
    """Sends a read now and then. Every second client has set a value."""
    client = standins.Client(lab, f"c{number:02d}x")
    values = {}
    while True:
        try:
            await client.open(lab.nodes[number % len(lab.nodes)], "strict")
            values = {}
            if number // 9 % 2:
                _, lines = await client.query(f"SET zone z{number}")
                if lines[0].startswith("COMPLETE"):
                    values = {"zone": f"z{number}"}
            while True:
                ident = f"{client.name}{standins.Client.counter + 1:08x}"
                expected[ident] = dict(values)
                await client.query(f"READ k{number}")
                await asyncio.sleep(0.7 + 0.01 * number)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            client.close()


async def scenario(lab):
    record, group = lab.record, lab.group
    await asyncio.sleep(5)
    expected = {}
    clients = [asyncio.create_task(one_client(lab, n, expected)) for n in range(CLIENTS)]
    await asyncio.sleep(4)
    if TROUBLE:
        group.servers["s1"].grey = GREY_SHARE
        record.add(f"server s1: refuses {GREY_SHARE} of its requests")
    await asyncio.sleep(GREY_S)
    group.servers["s1"].grey = 0.0
    record.add("server s1: refuses none")
    await asyncio.sleep(4)
    for client in clients:
        client.cancel()
    wrong = [run for run in group.runs if run[2] in expected and run[4] != expected[run[2]]]
    for at, server, ident, text, values, _ in wrong:
        record.add(f"wrong values at {at:.4f}: {ident} {text} ran at {server} with {values}, "
                   f"its client was acknowledged {expected[ident]}")
    print("statements run:", len(group.runs), "with other values:", len(wrong))
    if len(group.runs) < 50:
        return 2
    return 1 if wrong else 0


standins.main(FOLDER, scenario)
