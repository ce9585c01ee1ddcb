"""Connections are reset under keyed requests, and servers become slow: does any request run twice?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.stand2.deployment import deploy, settings
from review.stand2.messages import Message, answer, now_ms, post, read_body
from review.stand2.parts import Backend, Client, Reader, Record, Writer
from review.stand2.proxy import play

FOLDER = Path(__file__).resolve().parent
WINDOW_MS, DEADLINE_MS = 1000.0, 4000.0
SLACK_MS = 50.0 + 150.0  # of every time limit on sockets, and for a proxy that is held up
SCAN = {"Name": "scan", "AimMs": 2000.0, "HardLimitMs": DEADLINE_MS, "Effect": "token", "Group": "all",
        "MemorySpanMs": WINDOW_MS, "Importance": 2.0, "LateWorth": 0.5, "Stream": False}  # fmt: skip
REQUESTS, SERVERS, ROUNDS = 10, 8, 2
BODY_BYTES = 180_000
SLOW_BYTES_PER_S = 100_000.0
WORK_S, RESET_AFTER_S, CALM_S = 0.7, 0.4, 5.0  # the work of a request; the trouble's begin; between rounds


async def case(record: Record, trouble: bool, folder: str) -> list[str]:
    """Servers drop a repeat for as long as the settings say, from the first whole arrival of its key on."""
    ran: dict[str, list[float]] = {}
    broken: list[str] = []
    slow = False

    async def serve(at: Backend, message: Message, reader: Reader, writer: Writer) -> bool:
        identity, key, begun = message.identity, message.headers["idempotency-key"], now_ms()
        await read_body(reader, message, SLOW_BYTES_PER_S if slow else 0.0)
        times, now = ran.setdefault(key, []), now_ms()
        facts = {"id": identity, "key": key, "server": at.name, "first_byte": round(begun)}
        if times and now - times[-1] < WINDOW_MS + SLACK_MS:
            record.add("repeat dropped", **facts, ms_after_the_first=round(now - times[0]))
        else:
            times.append(now)
            record.add("ran", **facts, ms_after_the_first=round(now - times[0]))
            if len(times) > 1:
                broken.append(f"{key} ran {len(times)} times, {now - times[0]:.0f} ms apart")
        await asyncio.sleep(WORK_S)
        writer.write(answer(200, b"done"))
        return True

    async def ask(number: int) -> None:
        identity, client = f"{number:016x}", Client(proxy.port)
        body = random.Random(number).randbytes(BODY_BYTES)
        record.add("sent", id=identity, bytes=len(body))
        request = post("/scan/1", identity, int(DEADLINE_MS), body, f"Idempotency-Key: k{number}")
        got = await client.ask(request, 6.0)
        record.add("answered", id=identity, status=got.status if got else "none")
        client.close()

    backends = [Backend(f"s-{i}", serve, buffers=4096, segment=1460) for i in range(SERVERS)]
    proxy, _ = await deploy(folder, record, backends, settings(SCAN))
    try:
        for turn in range(ROUNDS):
            numbers = range(turn * REQUESTS, (turn + 1) * REQUESTS)
            tasks = [asyncio.create_task(ask(number)) for number in numbers]
            await asyncio.sleep(RESET_AFTER_S)
            if trouble:
                record.add("servers become slow, their connections are reset")
                slow = True
                for one in backends:
                    one.reset_all()
            await asyncio.gather(*tasks)
            slow = False
            await asyncio.sleep(CALM_S)
    finally:
        await proxy.kill()
    return broken


def test_twice() -> None:
    """The rule holds."""
    assert play(FOLDER, case) == 0


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
