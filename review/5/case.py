"""A request that crashes engines reaches them again and again while hosts are restarted in turn."""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from lab import Lab, play  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
CONTACT = 3.0  # contact_ms
MARK = b"crash-me"


async def case(holder, has_trouble):
    lab = Lab(FOLDER, ["zone-cedar", "zone-cedar", "zone-etowah", "zone-blue"], engines=1, app_engines=6)
    holder.append(lab)
    crashes = []  # (time, request id)
    loop = asyncio.get_running_loop()
    for engine in lab.engines[1:]:
        engine.crashes_on = MARK
        engine.on_crash = lambda engine, ident: (crashes.append((loop.time(), ident)),
                                                 lab.record(f"engine {engine.name} crashes on request {ident}"))
    if not await lab.open():
        return 2
    in_touch_since = {host: loop.time() - CONTACT for host in lab.hosts}
    sent_by = {}
    is_over = False
    served = {"sent": 0, "served": 0}

    async def client():  # the same path, caller and body, once in 0.7 s, at any machine in touch
        while not is_over:
            hosts = [host for host in lab.hosts if loop.time() > in_touch_since[host] + CONTACT]
            host = lab.random.choice(hosts)
            ident = lab.new_id()
            sent_by[ident] = (loop.time(), host.number)
            _, reply = await lab.call(host, text=MARK, ident=ident)
            lab.record(f"host {host.number}: request {ident} {reply.status} {reply.body[:40]!r}")
            _, reply = await lab.call(host)
            served["sent"] += 1
            served["served"] += reply.status == 200
            await asyncio.sleep(0.7)

    task = asyncio.ensure_future(client())
    began = loop.time()
    while len(crashes) < 3 and loop.time() < began + 15:
        await asyncio.sleep(0.1)
    if len(crashes) < 3:
        return 2
    third = crashes[2][0]
    await asyncio.sleep(CONTACT + 2)
    for host in lab.hosts * 2:  # a release, and one more
        if has_trouble:
            in_touch_since[host] = loop.time() + 100
            host.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(host.process.wait(), 8)
            except asyncio.TimeoutError:
                pass
            await host.kill()
            await host.start()
            if not await host.ready():
                return 2
            in_touch_since[host] = loop.time()
        await asyncio.sleep(CONTACT + 1)
    await asyncio.sleep(4)
    is_over = True
    await task
    late = [ident for _, ident in crashes if sent_by.get(ident, (0, 0))[0] > third + CONTACT]
    lab.record(f"engines crashed {len(crashes)} times; retries that reached engines later than contact_ms after the third: {len(late)}")
    lab.record(f"other requests: {served}")
    print(f"late retries at engines: {len(late)}, allowed 3")
    return 1 if len(late) > 3 else 0


play(FOLDER, case)
