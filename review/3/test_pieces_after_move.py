"""A drain comes in two pieces some time after a new configuration: the backend must be left alone."""

from __future__ import annotations

import asyncio
import signal
import sys

from review.common.platform import BROKEN, HELD, TROUBLE, Answer, Platform, ask, play
from review.common.stand_ins import Backend, Discovery, Server

INTERVAL_S = 0.02  # between two requests
EXPIRES_MS = 2000
AFTER_MOVE_S = 6.0  # from 4 s after SIGHUP on, what the new discovery tells counts as told
PAUSE_S = 1.0  # between the two pieces of the message
GRACE_S = 0.25 + 0.05  # DrainGraceMs, and the 50 ms that each limit is longer on sockets


class Network(Server):
    """What lies between a proxy and discovery: passes everything on at once, one message in two pieces."""

    def __init__(self, platform: Platform, discovery: Discovery) -> None:
        self._platform, self._discovery = platform, discovery
        self.in_pieces = False  # the next message, and no other

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._discovery.port)
        there = asyncio.create_task(self._pass_on(reader, far_writer))
        try:
            while data := await far_reader.read(65536):
                if self.in_pieces and b"targets" in data:
                    self.in_pieces = False
                    half = len(data) // 2
                    writer.write(data[:half])
                    self._platform.say(f"network: passed on {half} of {len(data)} bytes")
                    await asyncio.sleep(PAUSE_S)
                    self._platform.say("network: passed on the rest")
                    data = data[half:]
                writer.write(data)
        finally:
            there.cancel()
            far_writer.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()


async def test_pieces_after_move(platform: Platform) -> int:
    """Return whether a backend got new work later than the grace after discovery wrote its drain."""
    former, present = Discovery(), Discovery()
    backends = [Backend(f"s-{i}", ["catania", "palermo"][i % 2], platform.say) for i in range(4)]
    for server in (former, present, *backends):
        await server.open()
    former.list(*backends)
    present.list(*backends)
    network = Network(platform, present)
    await network.open()
    proxy = platform.proxy(0, former)
    process = proxy.start()
    await proxy.await_up()
    tasks = []

    async def one(number: int) -> Answer:
        ident = f"{number:016x}"
        platform.say(f"client: sent {ident}")
        answer = await ask(proxy.port, "GET", f"/item-status/{number}", ident, EXPIRES_MS, 5.0)
        platform.say(f"client: {ident} got {answer.status or 'no answer'} after {answer.took:.3f} s")
        return answer

    async def load() -> None:
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(one(number)))
            await asyncio.sleep(INTERVAL_S)

    loading = asyncio.create_task(load())
    await asyncio.sleep(1.0)
    proxy.discovery = network.port
    proxy.write_config()
    process.send_signal(signal.SIGHUP)
    platform.say("platform: new configuration with another discovery, SIGHUP")
    await asyncio.sleep(1.5)
    for writer in list(former.watches):
        writer.close()
    platform.say("discovery: the former address has closed its connections")
    await asyncio.sleep(AFTER_MOVE_S - 1.5)
    network.in_pieces = TROUBLE
    drained = backends[0]
    present.change(drained.row("terminating"))
    platform.say(f"discovery: wrote that {drained.uid} is terminating, to {len(present.watches)} watch")
    await asyncio.sleep(4.0)
    loading.cancel()
    answers = await asyncio.gather(*tasks)
    platform.say(f"clients: {len(answers)} requests, {sum(a.status == 200 for a in answers)} served")
    late = [call for call in drained.calls if call.began - present.written_at > GRACE_S]
    for call in drained.calls:
        since = call.began - present.written_at
        if since > 0:
            word = "LATE" if since > GRACE_S else "within the grace"
            platform.say(f"verdict on {drained.uid}: {call.id} came {since:.3f} s after the write: {word}")
    platform.say(f"{drained.uid} got {len(late)} requests later than {GRACE_S} s after the write")
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(play(__file__, test_pieces_after_move))
