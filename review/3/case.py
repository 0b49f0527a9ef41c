"""One turn with a long input and many short ones; then the final fault. New programs continue from the turns before it."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab as stand  # noqa: E402

LONG = 70_000  # bytes; clients may send up to `max_body_bytes` of the config (4,194,304)
PROGRAMS = 60
DOWN_S = 1.0  # `down_s` of the final fault
RECOVERY_S = 12.0


async def case(holder, has_trouble):
    lab = stand.Lab(FOLDER, ["a", "b", "c"])
    holder.append(lab)
    if not await lab.open():
        lab.record("the hosts are not ready")
        return 2
    loop = asyncio.get_event_loop()

    async def send(host, program, previous, text):
        ident, answer = await lab.turn(host, program, previous=previous, text=text)
        reached = lab.runs(ident) > 0
        lab.record(f"turn {ident} of {program} after {previous} at host {host.number}: {answer.status} whole={answer.is_whole} "
                   f"{'ran' if reached else 'reached no engine'} {answer.body if answer.status != 200 else b''}")
        return ident, answer.status == 200 and answer.is_whole, reached

    known = []
    for number in range(1 + PROGRAMS):
        ident, whole, _ = await send(lab.hosts[0], lab.new_id()[:6], None, b"a short question " if number else b"x" * LONG)
        if whole:
            known.append((ident, "short" if number else "long"))
    if len(known) < PROGRAMS:
        return 2
    await asyncio.sleep(6)
    if has_trouble:
        lab.record("final fault: all processes are killed")
        await asyncio.gather(*(host.kill() for host in lab.hosts))
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(host.start() for host in lab.hosts))
        for host in lab.hosts:
            if not await host.ready():
                return 2
    back = loop.time()
    lab.record("all processes are back")
    first = {"sent": 0, "served": 0}
    lost = list(known)
    while lost and loop.time() < back + RECOVERY_S + 1:
        program = lab.new_id()[:6]
        is_late = loop.time() > back + RECOVERY_S - 4
        _, whole, _ = await send(lab.hosts[first["sent"] % 3], program, None, b"a new question ")
        first["sent"] += is_late
        first["served"] += is_late and whole
        for number, (previous, kind) in enumerate(list(lost)):  # a new program continues from an earlier turn
            _, _, reached = await send(lab.hosts[number % 3], lab.new_id()[:6], previous, b"and then ")
            if reached:
                lost.remove((previous, kind))
        await asyncio.sleep(0.4)
    kinds = [kind for _, kind in lost]
    text = (f"turns answered whole: {len(known)}; of these no engine was reached by recovery_s after {kinds.count('long')} long and "
            f"{kinds.count('short')} short ones; other turns served in the last 4 s: {first['served']} of {first['sent']}")
    lab.record(text)
    print(text)
    return 1 if lost and first["served"] * 5 >= first["sent"] * 4 else 0


stand.play(FOLDER, case)
