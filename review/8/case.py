"""A sidecar that is short of descriptors closes the very connection whose request it has just read."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from stand_ins import *

SOCKETS = 256   # descriptors, the least that the pages name
UPLOADS = 50    # usual clients that send a large statement
BUSY = 25       # usual clients with a request at a pod; all together under a third of the descriptors
HALVES = 90     # bad clients that send half a command
PAUSE = 0.6     # s: a slow client's pause within its statement


async def case(record):
    async def behave(pod, fields):
        if not fields["id"].startswith("q"):
            await asyncio.sleep(1.2)
        return row(("value of " + fields["id"]).encode())

    pods = [await Pod(record, f"s-{i}", 42, behave).begin() for i in range(20)]
    discovery = await Discovery(record, pods).begin()
    platform = await Platform(record).begin()
    sidecar = Sidecar(record, discovery.address, platform.address, platform.state(), discovery.whole(), settings(),
                      sockets=SOCKETS).start()
    try:
        await sidecar.ready()
        uploads = [await ClientConnection(sidecar).open() for _ in range(UPLOADS)]
        texts = [query(insert(f"f{i:07x}", "issue", 4000, f"mark{i}", f"f{i}", value="ab" * 20000))
                 for i in range(UPLOADS)]

        async def begin(i, connection):
            first = await connection.ask(lookup(f"q{i:07x}", "quote", 2000, f"q{i}"))
            record.line(f"client {i} first request q{i:07x}: {first}")
            connection.writer.write(texts[i][:-200])
            record.line(f"client {i} sends all but 200 bytes of f{i:07x}")

        await asyncio.gather(*(begin(i, connection) for i, connection in enumerate(uploads)))
        paused = time.monotonic()
        busy = [await ClientConnection(sidecar).open() for _ in range(BUSY)]
        asked = [asyncio.create_task(connection.ask(lookup(f"b{i:07x}", "quote", 2000, f"b{i}")))
                 for i, connection in enumerate(busy)]
        await asyncio.sleep(0.05)
        halves = []
        for i in range(HALVES if TROUBLE else 0):
            bad = await ClientConnection(sidecar).open()
            bad.writer.write(query(lookup(f"h{i:07x}", "quote", 2000, f"h{i}"))[:40])
            halves.append(bad)
        record.line(f"{len(halves)} bad clients have sent half a command")
        await asyncio.sleep(max(0, paused + PAUSE - time.monotonic()))
        record.line(f"the sidecar holds {sidecar.descriptors()} descriptors")
        sent = []
        for i, connection in enumerate(uploads):
            connection.writer.write(texts[i][-200:])
            sent.append(time.monotonic())

        async def end(i, connection):
            name = f"f{i:07x}"
            try:
                result = await asyncio.wait_for(connection.answer(), 5)
            except (asyncio.IncompleteReadError, ConnectionError) as reason:
                result = ("closed", repr(reason))
            except asyncio.TimeoutError:
                result = ("nothing", "within 5 s")
            record.line(f"client {i} {name}: {result}")
            return result

        got = await asyncio.gather(*(end(i, connection) for i, connection in enumerate(uploads)))
        record.line(f"the sidecar holds {sidecar.descriptors()} descriptors")
        for i, each in enumerate(await asyncio.gather(*asked, return_exceptions=True)):
            record.line(f"client b{i:07x}: {each!r}")
        ran = {fields["id"]: pod.name for pod in pods for _, fields in pod.arrivals}
        # That a pod was sent the request shows that the sidecar had read it.
        return [f"request f{i:07x} was read and sent to {ran[f'f{i:07x}']}; its client got: {result}"
                for i, result in enumerate(got) if result[0] in ("closed", "nothing") and f"f{i:07x}" in ran]
    finally:
        record.line("log of the sidecar:\n" + sidecar.log_text())
        sidecar.end()


main(HERE, case)
