"""SIGTERM comes while a backend is giving a long answer: the answer has to reach its client whole."""

from __future__ import annotations

import asyncio
import signal
import sys
import time

from review.common.platform import BROKEN, HELD, TROUBLE, Answer, Platform, ask, play
from review.common.stand_ins import Backend, Call, Discovery

SIZE, PIECES = 2_000_000, 80  # bytes of the answer (32 MB at most), written in so many pieces
PIECE_S = 0.0625  # between two of them: the answer takes 5 s, at 400 kB a second
CLIENTS = 4
TERM_AFTER_S = 0.2  # SIGTERM comes so long after the requests
EXPIRES_MS = 4000  # the deadline of route-lookup; beyond 64 KiB the first bytes are timed
# SIGKILL comes no sooner than 3.7 s after SIGTERM (the longest deadline, counted as 3 s, and 0.7 s more).
# Here the platform waits longer than that: it sends none before the answers could be whole.
WAIT_S = 30.0
EXIT_S = 20.0


async def give_long_answer(call: Call, writer: asyncio.StreamWriter) -> None:
    """Give the answer piece by piece, without a longer pause."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
    for _ in range(PIECES):
        writer.write(b"x" * (SIZE // PIECES))
        await writer.drain()
        await asyncio.sleep(PIECE_S)


async def test_term_long_answer(platform: Platform) -> int:
    """Return whether each answer that a backend was giving arrived whole."""
    discovery = Discovery()
    backends = [
        Backend(f"s-{i}", ["catania", "palermo"][i % 2], platform.say, give_long_answer) for i in range(4)
    ]
    for server in (discovery, *backends):
        await server.open()
    discovery.list(*backends)
    proxy = platform.proxy(0, discovery)
    process = proxy.start()
    await proxy.await_up()

    async def one(number: int) -> Answer:
        ident = f"{number:016x}"
        platform.say(f"client: sent {ident}")
        answer = await ask(proxy.port, "GET", f"/route-lookup/{number}", ident, EXPIRES_MS, WAIT_S)
        whole = "whole" if answer.whole else "not whole"
        got = f"{answer.status}, {len(answer.body)} of {SIZE} bytes, {whole}"
        platform.say(f"client: {ident} got {got}, after {answer.took:.3f} s")
        return answer

    tasks = [asyncio.create_task(one(number)) for number in range(CLIENTS)]
    await asyncio.sleep(TERM_AFTER_S)
    if TROUBLE:
        process.send_signal(signal.SIGTERM)
        platform.say(f"platform: SIGTERM to {process.pid}")
        term_at = time.monotonic()
    answers = await asyncio.gather(*tasks)
    if TROUBLE:
        while process.poll() is None and time.monotonic() < term_at + EXIT_S:
            await asyncio.sleep(0.01)
        since, code = time.monotonic() - term_at, process.poll()
        platform.say(f"{process.pid} ended with {code} {since:.3f} s after SIGTERM; no SIGKILL was sent")
    cut = sum(answer.status in (0, 200) and not answer.whole for answer in answers)
    platform.say(f"{cut} of {CLIENTS} answers were cut off or never begun")
    return BROKEN if cut else HELD


if __name__ == "__main__":
    sys.exit(play(__file__, test_term_long_answer))
