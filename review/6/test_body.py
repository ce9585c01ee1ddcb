"""A server dies while it receives a body: is what the next server runs what the client sent?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.stand2.deployment import deploy, settings
from review.stand2.messages import Message, answer, digest, post, read_body
from review.stand2.parts import Backend, Client, Reader, Record, Writer
from review.stand2.proxy import play

FOLDER = Path(__file__).resolve().parent
SCAN = {"Name": "scan", "AimMs": 2000.0, "HardLimitMs": 4000.0, "Effect": "token", "Group": "all",
        "MemorySpanMs": 4000.0, "Importance": 2.0, "LateWorth": 0.5, "Stream": False}  # fmt: skip
SIZES = [230_000, 260_000, *range(263_000, 278_000, 1_000), 300_000]
SERVERS = 4
SERVER_BYTES_PER_S = 150_000.0
DIES_AFTER_S = 0.02  # from the head of a request on
MS = 4000


async def case(record: Record, trouble: bool, folder: str) -> list[str]:
    """One upload after another; the first server to get one dies while it receives it, and starts anew."""
    sent: dict[str, bytes] = {}
    met: set[str] = set()
    restarts: list[asyncio.Task[None]] = []
    broken: list[str] = []

    async def die(at: Backend) -> None:
        await asyncio.sleep(DIES_AFTER_S)
        record.add("dies", server=at.name)
        await at.restart()

    async def serve(at: Backend, message: Message, reader: Reader, writer: Writer) -> bool:
        identity = message.identity
        if trouble and identity not in met:
            met.add(identity)
            restarts.append(asyncio.create_task(die(at)))
        await read_body(reader, message, SERVER_BYTES_PER_S)
        same = message.body == sent[identity]
        record.add("ran", id=identity, server=at.name, bytes=len(message.body),
                   body=digest(message.body), as_sent=same)  # fmt: skip
        if not same:
            broken.append(f"{at.name} ran {identity} with a body that its client did not send")
        writer.write(answer(200, digest(message.body).encode()))
        return True

    async def upload(identity: str, size: int) -> None:
        sent[identity] = body = random.Random(identity).randbytes(size)
        client = Client(proxy.port)
        record.add("sent", id=identity, bytes=size, body=digest(body))
        got = await client.ask(post("/scan/1", identity, MS, body, f"Idempotency-Key: k{identity}"), 6.0)
        said = got.body.decode() if got is not None and got.status == 200 else ""
        record.add("answered", id=identity, status=got.status if got else "none", ran_body=said)
        client.close()

    backends = [Backend(f"s-{i}", serve, buffers=4096, segment=1460) for i in range(SERVERS)]
    proxy, _ = await deploy(folder, record, backends, settings(SCAN))
    try:
        for size in SIZES:
            await upload(f"{size:016x}", size)
        await asyncio.gather(*restarts)
    finally:
        await proxy.kill()
    return broken


def test_body() -> None:
    """The rule holds."""
    assert play(FOLDER, case) == 0


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
