"""Many uploads at once: does each request get its final answer?"""

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
SCAN = {"Name": "scan", "AimMs": 2000.0, "HardLimitMs": 4000.0, "Effect": "token", "Group": "all",
        "MemorySpanMs": 4000.0, "Importance": 2.0, "LateWorth": 0.5, "Stream": False}  # fmt: skip
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 512}
UPLOADS, SERVERS = 60, 4
LEAST_BYTES, STEP_BYTES = 500_000, 1_000
FEW = 4  # at a time, without the disruption
MS = 4000
LOST_AFTER_MS = MS + 500.0  # later, or never, it is lost
WAIT_S = 25.0


async def case(record: Record, trouble: bool, folder: str) -> list[str]:
    """All uploads at once, or a few at a time; each client waits far longer than its request has."""
    broken: list[str] = []
    read: dict[str, int] = {}

    async def serve(at: Backend, message: Message, reader: Reader, writer: Writer) -> bool:
        await read_body(reader, message, 0.0, read)
        record.add("ran", id=message.identity, server=at.name)
        writer.write(answer(200, b"done"))
        return True

    async def upload(identity: str, size: int) -> None:
        body = random.Random(identity).randbytes(size)
        client = Client(proxy.port)
        await client.connect()
        record.add("begins", id=identity, bytes=size)
        got = await client.ask(post("/scan/1", identity, MS, body, f"Idempotency-Key: k{identity}"), WAIT_S)
        status = got.status if got else "none"
        facts = {"id": identity, "status": status, "servers_read": read.get(identity, 0)}
        if client.written_ms is None:
            record.add("not written whole", **facts)
        else:
            after = now_ms() - client.written_ms
            record.add("answered" if got else "NO ANSWER", **facts, ms_after_its_last_byte=round(after))
            if after > LOST_AFTER_MS:
                broken.append(f"{identity}: {status} after {after:.0f} ms, it had {MS} ms")
        client.close()

    at_once = asyncio.Semaphore(UPLOADS if trouble else FEW)

    async def in_turn(number: int) -> None:
        async with at_once:
            await upload(f"{number:016x}", LEAST_BYTES + number * STEP_BYTES)

    backends = [Backend(f"s-{i}", serve) for i in range(SERVERS)]
    proxy, _ = await deploy(folder, record, backends, settings(SCAN), limits=LIMITS)
    try:
        await asyncio.gather(*map(in_turn, range(UPLOADS)))
    finally:
        await proxy.kill()
    return broken


def test_uploads() -> None:
    """The rule holds."""
    assert play(FOLDER, case) == 0


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
