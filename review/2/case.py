"""A machine is cut off and goes on with a program; then its process is killed. Is the program's last turn still known?"""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab as stand  # noqa: E402


CUT_S = 5.5  # `node_cut` of the site file
DARK_S = 1.5  # `node_kill` with `power`; 3.5 in the site file


async def case(holder, has_trouble):
    lab = stand.Lab(FOLDER, ["a", "a", "b", "b", "c", "c"], has_ways=True)
    holder.append(lab)
    if not await lab.open():
        lab.record("the hosts are not ready")
        return 2
    loop = asyncio.get_event_loop()
    cut = lab.hosts[4]

    async def send(host, program, previous, text):
        ident, answer = await lab.turn(host, program, 2240, 70, previous, text)
        lab.record(f"turn {ident} of {program} after {previous} at host {host.number}: {answer.status} whole={answer.is_whole} "
                   f"{'ran' if lab.runs(ident) else 'reached no engine'} {answer.body if answer.status != 200 else b''}")
        return ident, answer.status, answer.status == 200 and answer.is_whole

    begun = {}
    for _ in range(12):
        program = lab.new_id()[:6]
        ident, _, whole = await send(cut, program, None, b"hello ")
        if whole:
            begun[program] = ident
    started = loop.time()
    if has_trouble:
        cut.way.is_cut = True
        lab.record(f"host {cut.number} is cut off from the other hosts and the store")
        await asyncio.sleep(1.6)
    last = {}
    for _ in range(2):  # the client still reaches it; a refused turn is sent once more
        for program, previous in begun.items():
            if program not in last:
                ident, _, whole = await send(cut, program, previous, b"and then ")
                if whole:
                    last[program] = ident
    if not last:
        lab.record("no turn was answered whole in the cut")
        return 2
    if has_trouble:
        await asyncio.sleep(0.5)
        await cut.kill()
        cut.way.lose_power()
        lab.record(f"the machine of host {cut.number} has lost power")
        await asyncio.sleep(DARK_S)
        await cut.start()
        await asyncio.sleep(max(0, started + CUT_S - loop.time()))
        cut.way.is_cut = False
        lab.record("the cut has ended")
    denied = 0
    for program, previous in last.items():
        for number in range(6):
            _, status, whole = await send(lab.hosts[number], program, previous, b"and last ")
            denied += status == 404
            if whole or status == 404:  # a 404 ends the program
                break
            await asyncio.sleep(0.3)
    text = f"{len(last)} turns answered whole in the cut; turns that go on from them and were answered 404: {denied}"
    lab.record(text)
    print(text)
    return 1 if denied else 0


stand.play(FOLDER, case)
