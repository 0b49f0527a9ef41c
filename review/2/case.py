"""A turn whose input is larger than a row of the store keeps the turns behind it from ever being stored."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from lab import Lab, play  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
LARGE = 100_000  # bytes; the clients' limit `max_body_bytes` is 4,194,304
PROGRAMS = 160
RECOVERY = 12.0  # recovery_s
TAIL = 4.0


async def case(holder, has_trouble):
    lab = Lab(FOLDER, ["zone-cedar", "zone-etowah", "zone-blue"])
    holder.append(lab)
    if not await lab.open():
        lab.record("the hosts were not ready in time")
        return 2
    target = lab.hosts[0]
    ident, answer = await lab.turn(target, lab.new_id(), text=b"d" * LARGE)
    lab.record(f"a turn with an input of {LARGE} bytes: {ident} {answer.status} whole={answer.is_whole}")
    if answer.status != 200 or not answer.is_whole:
        return 0  # It was not accepted, so nothing is promised.
    kept = {ident: "large"}
    programs = {ident: lab.new_id()}
    for _ in range(PROGRAMS // 8):
        sent = await asyncio.gather(*(one(lab, target) for _ in range(8)))
        for program, turn, reply in sent:
            lab.record(f"turn {turn} of program {program}: {reply.status} whole={reply.is_whole} events={reply.events}")
            if reply.status == 200 and reply.is_whole:
                kept[turn] = "small"
                programs[turn] = program
    lab.record(f"{len(kept)} turns were answered whole")
    await asyncio.sleep(12)  # calm: everything is reachable, the store answers
    stored = lab.store.keys("turns")
    lab.record(f"12 s later in the store: {sum(1 for turn in kept if turn in stored)} of {len(kept)}")
    if has_trouble:  # final fault: all processes are killed
        await asyncio.gather(*(host.kill() for host in lab.hosts))
        await asyncio.sleep(1)
        await asyncio.gather(*(host.start() for host in lab.hosts))
        if not all(await asyncio.gather(*(host.ready() for host in lab.hosts))):
            return 2
    back = asyncio.get_running_loop().time()
    open_turns = set(kept)
    first = {"sent": 0, "served": 0}
    statuses = {}
    while asyncio.get_running_loop().time() < back + RECOVERY + TAIL and open_turns:
        for turn in list(open_turns):
            host = lab.random.choice(lab.hosts)
            again, reply = await lab.turn(host, lab.new_id(), previous=turn, patience=2.0)
            statuses[reply.status] = statuses.get(reply.status, 0) + 1
            if lab.runs(again):
                open_turns.discard(turn)
            elif statuses[reply.status] <= 5:
                lab.record(f"a turn that goes on from {turn} ({kept[turn]}): {reply.status} {reply.body[:60]!r}, not run")
        for host in lab.hosts:
            ident, _ = await lab.turn(host, lab.new_id(), patience=2.0)
            if asyncio.get_running_loop().time() > back + RECOVERY:
                first["sent"] += 1
                first["served"] += lab.runs(ident)
        await asyncio.sleep(0.3)
    lab.record(f"other turns in the last {TAIL:.0f} s: {first}; answers to turns that go on: {statuses}")
    lost = {kind: sum(1 for turn in open_turns if kept[turn] == kind) for kind in ("small", "large")}
    lab.record(f"turns answered whole that reach no engine by {RECOVERY + TAIL:.0f} s after the return: {lost}")
    print(f"lost: {lost}, other turns served {first['served']} of {first['sent']}")
    if open_turns and first["served"] < 0.8 * first["sent"]:
        return 2
    return 1 if open_turns else 0


async def one(lab, host):
    program = lab.new_id()
    turn, reply = await lab.turn(host, program)
    return program, turn, reply


play(FOLDER, case)
