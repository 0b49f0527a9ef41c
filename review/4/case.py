"""A host is stopped in order and taken away for good. Programs that begin after that use their budgets: can each use all of it?"""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab as stand  # noqa: E402

BUDGET, MOST = 2240, 280
AIM_S = 8.0
CONTACT_S = 3.0


async def case(holder, has_trouble):
    lab = stand.Lab(FOLDER, ["a", "a", "b", "c"])
    holder.append(lab)
    if not await lab.open():
        lab.record("the hosts are not ready")
        return 2
    hosts = lab.hosts[1:]

    loop = asyncio.get_event_loop()
    begun = {}

    async def send(host, program, previous):
        left = begun.setdefault(program, loop.time()) + AIM_S - loop.time()
        ident, answer = await lab.turn(host, program, BUDGET, MOST, previous, f"go on {lab.new_id()} ".encode(),
                                       aim_ms=max(1, int(left * 1000)))
        reached = lab.runs(ident) > 0
        lab.record(f"turn {ident} of {program} after {previous} at host {host.number}: {answer.status} whole={answer.is_whole} "
                   f"{'ran' if reached else 'reached no engine'} {answer.body if answer.status != 200 else b''}")
        return ident, answer, reached

    async def usual(number):
        """Programs that loop without end: each sends turns until it is told 402, then the turn twice more."""
        while not over.is_set():
            program, previous, denied = lab.new_id()[:6], None, 0
            while denied < 3 and not over.is_set():
                ident, answer, _ = await send(lab.random.choice(hosts), program, previous)
                denied += answer.status == 402
                if answer.status not in (200, 402):
                    break
                previous = ident if answer.status == 200 else previous
                await asyncio.sleep(lab.random.uniform(0.3, 0.6))

    over = asyncio.Event()
    traffic = [asyncio.ensure_future(usual(number)) for number in range(16)]
    await asyncio.sleep(3)
    if has_trouble:
        lab.record("SIGTERM for host 0")
        await lab.hosts[0].kill(signal.SIGTERM)
        lab.record("host 0 has left")
    else:
        await asyncio.sleep(3)
    await asyncio.sleep(CONTACT_S + 0.5)
    lab.record("contact_ms is over")
    over.set()
    lost, first, first_reached = [], 0, 0

    async def talk(number):
        nonlocal first, first_reached
        program, previous, used = lab.new_id()[:6], None, 0
        while used + MOST <= BUDGET:
            tries = 0
            for resend in range(3):
                for attempt in range(2):
                    ident, answer, reached = await send(hosts[(number + 2 * resend + attempt) % 3], program, previous)
                    tries += loop.time() < begun[program] + AIM_S
                    if previous is None:
                        first += 1
                        first_reached += reached
                    if reached or answer.status not in (429, 503):
                        break
                if reached:
                    break
                await asyncio.sleep(lab.random.uniform(0.1, 0.4))
            used += answer.events * stand.TOKENS_PER_EVENT
            if not reached:
                lost.append((program, used, tries, answer.status))
                break
            previous = ident
    await asyncio.gather(*(talk(number) for number in range(6)))
    text = f"first turns {first_reached}/{first}; next turns that reached no engine (program, tokens used, tries before the aim, last answer): {lost}"
    lab.record(text)
    print(text)
    await asyncio.gather(*traffic)
    return 1 if any(tries >= 5 and status != 402 for _, _, tries, status in lost) else 0


stand.play(FOLDER, case)
