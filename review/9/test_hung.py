"""Half of the servers hang under uploads: does each request get its final answer in its time?"""

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
SCAN = {"Name": "scan", "AimMs": 800.0, "HardLimitMs": 2000.0, "Effect": "token", "Group": "all",
        "MemorySpanMs": 2000.0, "Importance": 2.0, "LateWorth": 0.5, "Stream": False}  # fmt: skip
BURSTS, AT_ONCE, BETWEEN_S = 8, 26, 0.25
SERVERS, HANGING = 8, 4
BODY_BYTES, STEP_BYTES = 400_000, 12_000
MS = 1500
LOST_AFTER_MS = MS + 500.0  # later, or never, it is lost
WAIT_S = 12.0


async def case(record: Record, trouble: bool, folder: str) -> list[str]:
    """Uploads come in bursts; half of the servers hang before it, and stay so."""
    broken: list[str] = []

    async def serve(at: Backend, message: Message, reader: Reader, writer: Writer) -> bool:
        if trouble and at.name in hanging:
            record.add("hangs", id=message.identity, server=at.name)
            await asyncio.sleep(60.0)
        await read_body(reader, message)
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
        if client.written_ms is None:
            record.add("not written whole", id=identity, status=status)
        else:
            after = now_ms() - client.written_ms
            record.add("answered" if got else "NO ANSWER", id=identity, status=status,
                       ms_after_its_last_byte=round(after))  # fmt: skip
            if after > LOST_AFTER_MS:
                broken.append(f"{identity}: {status} after {after:.0f} ms, it had {MS} ms")
        client.close()

    # Little fits into the buffers of a server that hangs.
    small = [trouble and i < HANGING for i in range(SERVERS)]
    backends = [Backend(f"s-{i}", serve, buffers=4096 * on, segment=1460 * on) for i, on in enumerate(small)]
    hanging = {one.name for one in backends[:HANGING]}
    proxy, _ = await deploy(folder, record, backends, settings(SCAN))
    try:
        tasks = []
        for burst in range(BURSTS):
            for number in range(AT_ONCE):
                identity, size = f"{burst:08x}{number:08x}", BODY_BYTES + number * STEP_BYTES
                tasks.append(asyncio.create_task(upload(identity, size)))
            await asyncio.sleep(BETWEEN_S)
        await asyncio.gather(*tasks)
    finally:
        await proxy.kill()
    return broken


def test_hung() -> None:
    """The rule holds."""
    assert play(FOLDER, case) == 0


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
