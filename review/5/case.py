"""An engine crashes while several turns with the same short input run there. Later programs of the tenant send that input."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab as stand  # noqa: E402


INPUT = b"yes please "
DOWN_S = 4.0
CONTACT_S = 3.0


async def case(holder, has_trouble):
    lab = stand.Lab(FOLDER, ["a", "b", "c"])
    holder.append(lab)
    slow, fast = lab.engines
    slow.event_s, fast.event_s = 0.3, 0.05  # engines of one service differ in speed
    slow.down_s = DOWN_S
    if not await lab.open():
        lab.record("the hosts are not ready")
        return 2

    async def send(host, program, previous, text):
        ident, answer = await lab.turn(host, program, previous=previous, text=text, aim_ms=5000)
        reached = lab.runs(ident) > 0
        lab.record(f"turn {ident} of {program} after {previous} at host {host.number}: {answer.status} whole={answer.is_whole} "
                   f"{'ran' if reached else 'reached no engine'} {answer.body[:40] if answer.status != 200 else b''}")
        return ident, answer

    async def talk(number):
        program = lab.new_id()[:6]
        first, answer = await send(lab.hosts[0], program, None, f"a quote for {program} ".encode())
        if not answer.is_whole:
            return
        await gate.wait()
        for resend in range(3):  # a turn that failed is sent again, at most twice, at another host
            _, answer = await send(lab.hosts[resend % 3], program, first, INPUT)
            if answer.status == 200 and answer.is_whole:
                return
            await asyncio.sleep(lab.random.uniform(0.1, 0.4))

    gate = asyncio.Event()
    talks = [asyncio.ensure_future(talk(number)) for number in range(8)]
    await asyncio.sleep(4)
    gate.set()
    if has_trouble:
        crash = None
        for _ in range(200):
            await asyncio.sleep(0.01)
            if slow.running >= 3 and fast.running == 0:
                lab.record(f"engine {slow.name} crashes with {slow.running} turns")
                crash = asyncio.ensure_future(slow.crash(""))
                break
        if not crash:
            lab.record("the engines never stood so")
            return 2
        await crash
        lab.record(f"engine {slow.name} is back")
    await asyncio.gather(*talks)
    await asyncio.sleep(CONTACT_S + 1)
    lab.record("contact_ms without a disturbance is over")
    first_turns = first_reached = lost = followed = 0
    for number in range(6):
        program = lab.new_id()[:6]
        first, answer = await send(lab.hosts[number % 3], program, None, f"a quote for {program} ".encode())
        first_turns += 1
        first_reached += lab.runs(first) > 0
        if not (answer.status == 200 and answer.is_whole):
            continue
        followed += 1
        tries, reached = 0, False
        for resend in range(3):
            for attempt in range(2):  # a refused turn is tried once more at once, at another host
                ident, answer = await send(lab.hosts[(number + tries) % 3], program, first, INPUT)
                tries += 1
                reached = reached or lab.runs(ident) > 0
                if reached:
                    break
            if reached:
                break
            await asyncio.sleep(lab.random.uniform(0.1, 0.4))
        lost += tries >= 5 and not reached
    lab.record(f"first turns: {first_reached} of {first_turns} reached an engine; next turns: {lost} of {followed} reached none in 5 tries or more")
    print(f"first turns {first_reached}/{first_turns}, next turns that reached no engine {lost}/{followed}")
    return 1 if lost and first_reached * 10 >= first_turns * 9 else 0


stand.play(FOLDER, case)
