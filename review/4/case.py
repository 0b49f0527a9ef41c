"""Tokens that a host granted while the store was down are forgotten when that host is killed: the budget is spent again."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from lab import TOKENS_PER_EVENT, Lab, play  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
BUDGET = 4200
MOST = 140  # of one turn
OUTAGE = 7.0  # seconds; the sites name up to 7


async def case(holder, has_trouble):
    lab = Lab(FOLDER, ["zone-cedar", "zone-etowah", "zone-blue"])
    holder.append(lab)
    if not await lab.open():
        lab.record("the hosts were not ready in time")
        return 2
    loop = asyncio.get_running_loop()
    program = lab.new_id()
    spent = 0
    previous = None

    async def turn(host):
        nonlocal spent, previous
        ident, reply = await lab.turn(host, program, budget=BUDGET, most=MOST, previous=previous, patience=2.5)
        spent += reply.events * TOKENS_PER_EVENT
        if reply.status == 200 and reply.is_whole:
            previous = ident
        lab.record(f"host {host.number}: turn {ident} {reply.status} whole={reply.is_whole} tokens={reply.events * TOKENS_PER_EVENT} "
                   f"in all {spent}, run {lab.runs(ident)} times" + ("" if reply.status == 200 else f" {reply.body[:60]!r}"))
        return reply

    lab.store.is_busy = True
    lab.record("the store is down (503)")
    began = loop.time()
    await asyncio.sleep(1)
    for _ in range(20):  # the program begins and goes on until nothing more is granted without the store
        reply = await turn(lab.hosts[0])
        if reply.status != 200 or loop.time() > began + OUTAGE - 2.5:
            break
    lab.record(f"tokens handed out while the store was down: {spent}")
    await asyncio.sleep(max(0.0, began + OUTAGE - 1 - loop.time()))
    if has_trouble:
        await lab.hosts[0].kill(signal.SIGKILL)
    await asyncio.sleep(max(0.0, began + OUTAGE - loop.time()))
    lab.store.is_busy = False
    lab.record("the store is back")
    if has_trouble:
        await asyncio.sleep(1)
        await lab.hosts[0].start()
        if not await lab.hosts[0].ready():
            return 2
    await asyncio.sleep(6)
    refused = 0
    while loop.time() < began + 60:  # the program loops until it is stopped
        reply = await turn(lab.hosts[1])
        if reply.status == 402:
            break
        refused += reply.status != 200
        if refused > 40:
            break
        if reply.status != 200:
            await asyncio.sleep(0.2)
    lab.record(f"handed out in all: {spent}; budget {BUDGET} + the most of one turn {MOST}")
    print(f"tokens {spent}, allowed {BUDGET + MOST}")
    return 1 if spent > BUDGET + MOST else 0


play(FOLDER, case)
