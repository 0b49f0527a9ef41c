"""A program spends its budget and is stopped. All hosts are restarted in turn, the store goes down, and the program returns."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab as stand  # noqa: E402

import signal

BUDGET, MOST = 2240, 280
OUTAGE_S = 4.5  # `platform_down` of the site file


async def case(holder, has_trouble):
    lab = stand.Lab(FOLDER, ["a", "b", "c"])
    holder.append(lab)
    if not await lab.open():
        lab.record("the hosts are not ready")
        return 2
    loop = asyncio.get_event_loop()
    program = lab.new_id()[:6]
    tokens = 0

    async def send(host, previous):
        nonlocal tokens
        ident, answer = await lab.turn(host, program, BUDGET, MOST, previous, b"go on ")
        tokens += answer.events * stand.TOKENS_PER_EVENT
        lab.record(f"turn {ident} after {previous} at host {host.number}: {answer.status} whole={answer.is_whole} "
                   f"events={answer.events} tokens so far={tokens}")
        return ident if answer.status == 200 and answer.is_whole else None, answer.status

    last = None
    for turn in range(20):
        ident, status = await send(lab.hosts[0], last)
        last = ident or last
        if status == 402:
            break
    lab.record(f"the program was stopped with {tokens} tokens")
    if has_trouble:
        for host in lab.hosts:
            lab.record(f"SIGTERM for host {host.number}")
            await host.kill(signal.SIGTERM)
            await asyncio.sleep(0.3)
            await host.start()
            if not await host.ready():
                return 2
            await asyncio.sleep(1.3)
        await asyncio.sleep(3)
        lab.store.is_busy = True
        lab.record("the store is down")
    started = loop.time()
    await asyncio.sleep(0.5)
    # The program returns with a new line of turns, as it began; each failed turn is sent twice more.
    last, failed = None, 0
    while loop.time() < started + OUTAGE_S - 0.3 and failed < 3:
        ident, status = await send(lab.hosts[failed % 3], last)
        last = ident or last
        failed = 0 if ident else failed + 1
        await asyncio.sleep(0.2)
    lab.store.is_busy = False
    lab.record(f"tokens handed to the client: {tokens}; budget {BUDGET} and one turn {MOST}: {BUDGET + MOST}")
    print(f"tokens {tokens}, allowed {BUDGET + MOST}")
    return 1 if tokens > BUDGET + MOST else 0


stand.play(FOLDER, case)
