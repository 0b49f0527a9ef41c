"""A program spends its budget and is stopped; a zone is cut off, and the program returns through that zone."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab as stand  # noqa: E402


BUDGET, MOST = 5600, 280
CUT_S = 5.5  # `zone_cut` of the site file


async def case(holder, has_trouble):
    lab = stand.Lab(FOLDER, ["a", "b", "c"], has_ways=True)
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
                   f"events={answer.events} tokens so far={tokens} {answer.body if answer.status != 200 else b''}")
        return ident if answer.status == 200 and answer.is_whole else None, answer.status

    last = None
    for turn in range(30):
        ident, status = await send(lab.hosts[1], last)
        last = ident or last
        if status == 402:
            break
    lab.record(f"the program was stopped with {tokens} tokens")
    started = loop.time()
    if has_trouble:
        lab.hosts[0].way.is_cut = True
        lab.record("zone a is cut off")
    await asyncio.sleep(1.5)
    last, failed = None, 0
    while loop.time() < started + CUT_S - 0.5 and failed < 6:
        ident, status = await send(lab.hosts[0], last)
        last = ident or last
        failed = 0 if ident else failed + 1
        await asyncio.sleep(0.2)
    lab.hosts[0].way.is_cut = False
    lab.record(f"tokens handed to the client: {tokens}; budget {BUDGET} and one turn {MOST}: {BUDGET + MOST}")
    print(f"tokens {tokens}, allowed {BUDGET + MOST}")
    return 1 if tokens > BUDGET + MOST else 0


stand.play(FOLDER, case)
