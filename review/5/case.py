"""Programs start while the store is down; the host that granted their tokens is stopped and started. They then use their whole budgets."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab as stand  # noqa: E402

BUDGET, MOST = 2240, 280
OUTAGE_S = 4.5  # `platform_down` of the site file
PROGRAMS = 10


async def case(holder, has_trouble):
    lab = stand.Lab(FOLDER, ["a", "a", "b", "c"])
    holder.append(lab)
    if not await lab.open():
        lab.record("the hosts are not ready")
        return 2
    loop = asyncio.get_event_loop()
    tokens, last = {}, {}

    async def send(host, program):
        ident, answer = await lab.turn(host, program, BUDGET, MOST, last.get(program), b"go on ")
        tokens[program] = tokens.get(program, 0) + answer.events * stand.TOKENS_PER_EVENT
        lab.record(f"turn {ident} of {program} after {last.get(program)} at host {host.number}: {answer.status} whole={answer.is_whole} "
                   f"events={answer.events} tokens so far={tokens[program]}")
        if answer.status == 200 and answer.is_whole:
            last[program] = ident
        return answer.status

    started = loop.time()
    if has_trouble:
        lab.store.is_busy = True
        lab.record("the store is down")
        await asyncio.sleep(0.3)
    programs = [lab.new_id()[:6] for _ in range(PROGRAMS)]
    for _ in range(2):
        await asyncio.gather(*(send(lab.hosts[0], program) for program in programs))
    if has_trouble:
        lab.record("SIGTERM for host 1")
        await lab.hosts[1].kill(signal.SIGTERM)
        lab.record(f"host 1 has ended after {loop.time() - started:.1f} s of the outage")
        await lab.hosts[1].start()
        await asyncio.sleep(max(0, started + OUTAGE_S - loop.time()))
        lab.store.is_busy = False
        lab.record("the store is back")
        await asyncio.sleep(3)

    async def use(program, number):
        for turn in range(25):
            if await send(lab.hosts[2 + (turn + number) % 2], program) == 402:
                return
            await asyncio.sleep(0.3)

    await asyncio.gather(*(use(program, number) for number, program in enumerate(programs)))
    over = [program for program in programs if tokens[program] > BUDGET + MOST]
    text = f"tokens by program {sorted(tokens.values())}, allowed {BUDGET + MOST}"
    lab.record(text)
    print(text)
    return 1 if over else 0


stand.play(FOLDER, case)
