"""A program starts while the store is down; the host that granted its tokens is killed. The program then uses its whole budget."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab as stand  # noqa: E402


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
    handed = 0
    previous = None

    async def send(host, tries):
        nonlocal tokens, previous, handed
        for attempt in range(tries):
            ident, answer = await lab.turn(host, program, BUDGET, MOST, previous, b"go on ")
            tokens += answer.events * stand.TOKENS_PER_EVENT
            lab.record(f"turn {ident} after {previous} at host {host.number}: {answer.status} whole={answer.is_whole} "
                       f"events={answer.events} tokens so far={tokens}")
            if answer.status == 200 and answer.is_whole:
                previous = ident
                handed += 1
                return 200
            if answer.status == 402:
                return 402
            await asyncio.sleep(0.25)
        return answer.status

    started = loop.time()
    if has_trouble:
        lab.store.is_busy = True
        lab.record("the store is down")
        await asyncio.sleep(0.5)
    for _ in range(2):
        if await send(lab.hosts[0], 3) != 200:
            lab.record("no turn was answered in the outage")
            return 2 if has_trouble else 0
    if has_trouble:
        await asyncio.sleep(0.5)
        await lab.hosts[0].kill()
        await asyncio.sleep(0.8)
        await lab.hosts[0].start()
        await asyncio.sleep(max(0, started + OUTAGE_S - loop.time()))
        lab.store.is_busy = False
        lab.record("the store is back")
        await asyncio.sleep(3)
    for turn in range(20):
        status = await send(lab.hosts[1 + turn % 2], 6)
        if status == 402:
            break
        await asyncio.sleep(0.3)
    lab.record(f"tokens handed to the client: {tokens}; budget {BUDGET} and one turn {MOST}: {BUDGET + MOST}")
    print(f"tokens {tokens}, allowed {BUDGET + MOST}, turns {handed}")
    return 1 if tokens > BUDGET + MOST else 0


stand.play(FOLDER, case)
