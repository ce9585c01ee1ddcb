"""One bad client sends a head that can't be read; the requests of all others must be answered."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress

from review.common.platform import BROKEN, HELD, TROUBLE, Answer, Platform, Proxy, ask, play
from review.common.stand_ins import Backend, Discovery

BEFORE_S, AFTER_S = 5.0, 25.0  # the ordinary clients send so long before and after the bad client's head
INTERVAL_S = 0.2  # between two requests to one proxy
EXPIRES_MS = 2000  # the deadline of the class item-status
LATE_S = 0.5  # after its time a request may still be answered for so long; later it is lost
OWED_S = 3.0  # a bad client is owed an error or a close within this time
SPACES = 6000  # the whole head has some 6 kB; a proxy reads heads of up to 16 kB


async def bad_client(platform: Platform, proxy: Proxy) -> None:
    """Send one head with a control character behind spaces, and note what comes back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
    head = b"GET /item-status/7 HTTP/1.1\r\nHost: service.internal\r\nX-Noise:" + b" " * SPACES + b"\x01\r\n"
    began = time.monotonic()
    writer.write(head + b"\r\n")
    platform.say(f"bad client: sent {proxy.name} one head of {len(head) + 2} bytes that can't be read")
    got: bytes | None = None
    with suppress(TimeoutError, ConnectionError):
        got = await asyncio.wait_for(reader.read(4096), AFTER_S)
    took = time.monotonic() - began
    what = f"{got.partition(bytes([13]))[0]!r} after {took:.3f} s" if got is not None else "nothing at all"
    platform.say(f"bad client: got {what}; it is owed an error or a close within {OWED_S} s")
    writer.close()


async def test_bad_head(platform: Platform) -> int:
    """Return whether each request of the ordinary clients got its final answer."""
    discovery = Discovery()
    backends = [Backend(f"s-{i}", ["catania", "palermo"][i % 2], platform.say) for i in range(4)]
    for server in (discovery, *backends):
        await server.open()
    discovery.list(*backends)
    proxies = [platform.proxy(rank, discovery) for rank in range(2)]
    for proxy in proxies:
        proxy.start()
    for proxy in proxies:
        await proxy.await_up()
    lost = dict.fromkeys((proxy.name for proxy in proxies), 0)
    sent = dict(lost)

    async def one(proxy: Proxy, number: int) -> None:
        ident = f"{proxy.rank + 10:x}{number:015x}"
        platform.say(f"client: sent {ident} to {proxy.name}")
        answer: Answer = await ask(
            proxy.port, "GET", f"/item-status/{number}", ident, EXPIRES_MS, EXPIRES_MS / 1000 + LATE_S + 10
        )
        late = answer.status == 0 or answer.took > EXPIRES_MS / 1000 + LATE_S
        lost[proxy.name] += late
        platform.say(f"client: {ident} got {answer.status or 'no answer'} after {answer.took:.3f} s")

    tasks = []
    steps = int((BEFORE_S + AFTER_S) / INTERVAL_S)
    for step in range(steps):
        if TROUBLE and step == int(BEFORE_S / INTERVAL_S):
            tasks.append(asyncio.create_task(bad_client(platform, proxies[0])))
        for proxy in proxies:
            sent[proxy.name] += 1
            tasks.append(asyncio.create_task(one(proxy, step)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)
    for name, count in lost.items():
        platform.say(f"{name}: {sent[name]} requests of ordinary clients, {count} lost")
    ran = sum(len(backend.calls) for backend in backends)
    platform.say(f"backends: {ran} requests ran")
    return BROKEN if any(lost.values()) else HELD


if __name__ == "__main__":
    sys.exit(play(__file__, test_bad_head))
