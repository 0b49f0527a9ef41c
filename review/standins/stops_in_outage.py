"""No case: turns held for another host are lost when the hosts that hold them stop in an outage of the store (issue 31).

Exit 1: turns were lost, 0: none was, 2: it could not run. TROUBLE=0 leaves out the kill of the host that ran them.
"""
import asyncio
import signal
import tempfile

from lab import Lab, play

OUTAGE = 7.0


async def stop(lab, host):
    host.process.send_signal(signal.SIGTERM)
    await asyncio.wait_for(host.process.wait(), 8)
    await host.start()


async def case(holder, has_trouble):
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(folder, ["zone-cedar", "zone-etowah", "zone-blue"])
        holder.append(lab)
        if not await lab.open():
            return 2
        loop = asyncio.get_running_loop()
        began = loop.time()
        lab.store.is_busy = True
        sent = [await lab.turn(lab.hosts[0], lab.new_id()) for _ in range(5)]
        turns = [ident for ident, reply in sent if reply.status == 200 and reply.is_whole]
        if has_trouble:
            await lab.hosts[0].kill()
            await lab.hosts[0].start()
        for host in lab.hosts[1:]:
            await stop(lab, host)
        await asyncio.sleep(max(0.0, began + OUTAGE - loop.time()))
        lab.store.is_busy = False
        for host in lab.hosts:
            if not await host.ready():
                return 2
        await asyncio.sleep(4)
        lost = set(turns)
        for _ in range(8):
            for turn in list(lost):
                ident, _ = await lab.turn(lab.random.choice(lab.hosts), lab.new_id(), previous=turn)
                if lab.runs(ident):
                    lost.discard(turn)
            await asyncio.sleep(0.5)
        print(f"{len(lost)} of {len(turns)} turns reach no engine in 8 tries")
        return 1 if lost else 0


play(None, case)
