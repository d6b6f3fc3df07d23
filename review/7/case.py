"""During a planned restart, a sidecar drops requests that it has begun to read."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from stand_ins import *

SIDECARS = 3
CLIENTS = 80   # of each sidecar, which has 1,024 descriptors
SLOW = 5       # of the 20 pods run 8 times slower, once
WORK = 0.25    # s of work of a request
HOLD = 0.14    # s that a sidecar is held up, of 0.15 s at most
VALUE = 20000  # bytes of the value of each request after a client's first, of 64 KiB at most


async def case(record):
    answers_at = {}  # when slow pods answer the first requests, by sidecar

    async def behave(pod, fields):
        sidecar = fields["t"]
        if fields["id"].startswith("a") and pod.slow:
            while sidecar not in answers_at:
                await asyncio.sleep(0.01)
            await asyncio.sleep(answers_at[sidecar] - time.monotonic())
        else:
            await asyncio.sleep(WORK)
        return row(("value of " + fields["id"]).encode())

    pods = [await Pod(record, f"s-{i}", 42, behave).begin() for i in range(20)]
    for i, pod in enumerate(pods):
        pod.slow = i < SLOW
    discovery = await Discovery(record, pods).begin()
    platform = await Platform(record).begin()

    async def restart(name):
        sidecar = Sidecar(record, discovery.address, platform.address, platform.state(), discovery.whole(),
                          settings(), name=name).start()
        await sidecar.ready()
        clients = await asyncio.create_subprocess_exec(
            sys.executable, os.path.join(HERE, "clients.py"), str(sidecar.port), str(CLIENTS), str(VALUE), name,
            stdout=asyncio.subprocess.PIPE)
        children.append(clients._transport.get_extra_info("subprocess"))
        await clients.stdout.readline()
        answers_at[name] = time.monotonic() + 8 * WORK
        await asyncio.sleep(0.1)
        if TROUBLE:
            sidecar.send_signal(signal.SIGTERM)
            await asyncio.sleep(answers_at[name] - HOLD / 2 - time.monotonic())
            sidecar.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HOLD)
            sidecar.send_signal(signal.SIGCONT)
        results = [json.loads(line) for line in (await clients.communicate())[0].splitlines()]
        counts = {}
        for each in results:
            record.line(f"sidecar {name} client {each}")
            counts[each["result"]] = counts.get(each["result"], 0) + 1
        record.line(f"sidecar {name} in all {counts}")
        record.line(f"log of {name}:\n" + sidecar.log_text())
        sidecar.end()
        return [f"request {each['id']} was taken whole by {name}, which ended its connection without an answer"
                for each in results if each["result"] == "taken, no answer"]

    broken = []
    for i in range(SIDECARS):  # one after the other, as in a planned restart
        broken += await restart(f"n{i + 1}")
    return broken


main(HERE, case)
