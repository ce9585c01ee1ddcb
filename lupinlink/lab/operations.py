"""Drains, upgrades, restarts and large bodies on real proxies under load: what each costs clients."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from msgspec import Struct

from lupinlink.lab.callers import Answer, Call, Flood, Pool
from lupinlink.lab.emulated import HOST, listen
from lupinlink.lab.sockets import DriveError, ProxyProcess
from lupinlink.net import http1

KINDS = ("upgrade", "drain", "restart", "bulk")
GIVE_UP_MS, WORK_S = 2000.0, (0.005, 0.06)
CALL_S = 1.0  # so long does an operator wait for an answer
FRONT_S = 0.3  # a front goes on with new connections for so long after a no
DRAINED_S, BACK_S = 4.0, 2.0  # after a drain's call nobody is here; after its end `/up` says yes
KILL_S = 3.7  # after SIGTERM
AFTER_READY_S = 1.5  # at most, from a successor's yes to the old one's SIGTERM
BETWEEN_S, SAMPLE_S = 0.5, 0.02
BULK_BYTES, BULK_AT_ONCE = 32 * 1024 * 1024, 8
BLOCK = bytes(range(256)) * 256


class Operated(Struct):
    """What came of it. ``lost``: written on a connection that was used first, and no whole answer came."""

    kind: str
    times: int
    sent: int = 0
    answers: dict[str, int] = {}
    lost: int = 0
    unconnected: int = 0  # found nobody listening
    resent: int = 0  # crossed the close of a connection at rest, and went out once more
    held: int = 0  # connections that a drained proxy still held after 4 s
    killed: int = 0  # did not end in time after SIGTERM
    calls: int = 0
    late_calls: int = 0  # operators' calls not answered within a second, or wrongly
    slowest_call_ms: float = 0.0
    slowest_ready_ms: float = 0.0  # from a process's start to its yes
    descriptors: int = 0  # at most, of all processes of the proxy together
    memory_mb: float = 0.0  # of their own (resident less shared), likewise
    rounds: int = 0

    @property
    def sound(self) -> bool:
        """Whether nothing happened that must not."""
        return not (self.lost or self.unconnected or self.held or self.killed or self.late_calls)


class Stand:
    """One application server, one discovery, one proxy (of one or two processes) and its clients."""

    def __init__(
        self, kind: str, times: int, rate: float, crowd: int, limits: dict[str, float], seed: int
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._rate, self._crowd, self._limits = rate, crowd, limits
        self._random = Random(seed)
        self.found = Operated(kind, times)
        self._fronts: list[asyncio.Server] = []
        self._old: ProxyProcess | None = None
        self._processes: list[ProxyProcess] = []  # all that may still run
        self._door = 0
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> Operated:
        """All rounds, then all ends."""
        try:
            with tempfile.TemporaryDirectory(prefix="lupinlink-lab-") as folder:
                await self._play(Path(folder))
        finally:
            for task in self._tasks:
                task.cancel()
            for proxy in self._processes:
                proxy.end()
            for front in self._fronts:
                front.close()
        return self.found

    async def _play(self, folder: Path) -> None:
        server, discovery, own = listen(), listen(), listen()
        self._fronts = [await asyncio.start_server(self._serve, sock=server),
                        await asyncio.start_server(self._watch, sock=discovery)]  # fmt: skip
        port = own.getsockname()[1]
        own.close()
        row = {"uid": "s-1", "endpoint": f"{HOST}:{server.getsockname()[1]}", "state": "in_service"}
        self._folder = folder
        self._config: dict[str, Any] = {
            "name": "n0", "listen": f"{HOST}:{port}", "mgmt": f"{HOST}:0", "seed": "1",
            "discovery": f"{HOST}:{discovery.getsockname()[1]}",
            "limits": self._limits, "known": {"rev": 1, "all": True, "targets": [row]},
            "settings": {
                "Classes": [{"Name": "look", "AimMs": 1000.0, "HardLimitMs": GIVE_UP_MS, "Effect": "pure"},
                            {"Name": "scan", "AimMs": 1000.0, "HardLimitMs": GIVE_UP_MS, "Effect": "token"}],
                "MembershipMode": "subscribe",
                "Limits": {"AttemptsCap": 3, "Cancel": True, "MaxRetryAfterMs": 2000.0, "RetryAfter": True},
            },
        }  # fmt: skip
        self._old = await self._start()
        most = int(self._limits["sockets"] / 3)
        self._pool = Pool(self._loop, HOST, port, most)
        self._task(self._sample())
        flood = Flood(self._loop, [(HOST, port)], self._crowd) if self._crowd else None
        self._arrive()
        rounds: dict[str, Callable[[], Awaitable[None]]] = {
            "upgrade": self._upgrade, "drain": self._drain, "restart": self._restart, "bulk": self._bulk,
        }  # fmt: skip
        for _ in range(self.found.times):
            await rounds[self.found.kind]()
            self.found.rounds += 1
            await asyncio.sleep(BETWEEN_S)
        self._rate = 0.0
        await asyncio.sleep(GIVE_UP_MS / 1000.0 + 0.2)
        if flood is not None:
            flood.end()
        self.found.resent = self._pool.resent
        self._pool.close()

    def _task(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self) -> ProxyProcess:
        """One process, up to its yes."""
        began = time.monotonic()
        self._count += 1
        proxy = ProxyProcess(self._folder, self._count, self._config, {"TMPDIR": str(self._folder)})
        self._processes = [p for p in self._processes if p.process.poll() is None] + [proxy]
        await proxy.ready()
        self._door = proxy.door
        while not await self._call("GET", "/control/ready", told=False):
            if time.monotonic() - began > 20.0:
                raise DriveError(f"process {self._count} never said yes")
            await asyncio.sleep(0.02)
        self.found.slowest_ready_ms = max(self.found.slowest_ready_ms, (time.monotonic() - began) * 1000.0)
        return proxy

    async def _ask(self, port: int, method: str, path: str) -> int:
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\n\r\n".encode())
            line = await reader.readline()
            return int(line.split()[1])
        finally:
            writer.close()

    async def _call(self, method: str, path: str, told: bool = True) -> bool:
        """An operators' call; ``told``: the answer has to be yes."""
        began, status = time.monotonic(), 0
        with suppress(OSError, IndexError, ValueError, asyncio.TimeoutError):
            status = await asyncio.wait_for(self._ask(self._door, method, path), 2.0 * CALL_S)
        took = time.monotonic() - began
        self.found.calls += 1
        self.found.slowest_call_ms = max(self.found.slowest_call_ms, took * 1000.0)
        yes = 200 <= status < 300
        self.found.late_calls += took > CALL_S or not status or (told and not yes)
        return yes

    async def _up(self) -> bool:
        with suppress(OSError, IndexError, ValueError, asyncio.TimeoutError):
            port = int(self._config["listen"].rpartition(":")[2])
            return await asyncio.wait_for(self._ask(port, "GET", "/up"), CALL_S) == 200
        return False

    async def _upgrade(self) -> None:
        """A second process, then SIGTERM to the first."""
        old = self._old
        assert old is not None
        self._old = await self._start()
        await asyncio.sleep(self._random.uniform(0.0, AFTER_READY_S))
        await self._end(old)

    async def _end(self, proxy: ProxyProcess) -> None:
        proxy.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + KILL_S
        while proxy.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if proxy.process.poll() is None:
            proxy.process.kill()
            proxy.process.wait()
        self.found.killed += proxy.process.returncode != 0

    async def _drain(self) -> None:
        """Out of service; 4 s later nobody may be here; back in service."""
        await self._call("PUT", "/control/out-of-service")
        began, most = time.monotonic(), self._pool.most
        self.found.late_calls += await self._up()
        await asyncio.sleep(FRONT_S)
        self._pool.most = 0
        await asyncio.sleep(max(0.0, began + DRAINED_S - time.monotonic()))
        self.found.held += self._pool.open
        await self._call("PUT", "/control/in-service")
        until = time.monotonic() + BACK_S
        while not await self._up():
            if time.monotonic() > until:
                self.found.late_calls += 1
                break
            await asyncio.sleep(0.02)
        self._pool.most = most
        await asyncio.sleep(BETWEEN_S)

    async def _restart(self) -> None:
        """SIGTERM without a successor; the front goes on with new connections for a moment."""
        old, most = self._old, self._pool.most
        assert old is not None
        ending = self._loop.create_task(self._end(old))
        await asyncio.sleep(FRONT_S)
        self._pool.most = 0
        await ending
        self._old = await self._start()
        self._pool.most = most

    async def _bulk(self) -> None:
        """Bodies of 32 MB, as many up as down, at once."""
        port = int(self._config["listen"].rpartition(":")[2])
        halves = BULK_AT_ONCE // 2
        found = await asyncio.gather(*(self._large(port, up) for up in [True] * halves + [False] * halves))
        for whole in found:
            self.found.sent += 1
            self.found.lost += not whole
            key = "200" if whole else "0"
            self.found.answers[key] = self.found.answers.get(key, 0) + 1

    async def _large(self, port: int, up: bool) -> bool:
        self._count += 1
        name = f"b{self._count}"
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            head = f"X-Trace-Id: {name}\r\nConnection: close\r\n"
            if up:
                writer.write(f"POST /scan/1 HTTP/1.1\r\n{head}Idempotency-Key: {name}\r\n"
                             f"Content-Length: {BULK_BYTES}\r\n\r\n".encode())  # fmt: skip
                for _ in range(BULK_BYTES // len(BLOCK)):
                    writer.write(BLOCK)
                    await writer.drain()
            else:
                writer.write(f"GET /look/{BULK_BYTES} HTTP/1.1\r\n{head}\r\n".encode())
            parser, got = http1.ResponseParser(http1.MAX_MESSAGE), 0
            while data := await reader.read(1 << 16):
                parser.feed(data)
                message = parser.next()
                if message is not None:
                    return message.status == 200 and (up or got + len(message.body) == BULK_BYTES)
                got += len(parser.take_body())
        except OSError:
            pass
        finally:
            writer.close()
        return False

    def _arrive(self) -> None:
        """Clients: a Poisson stream, whatever comes back."""
        if self._rate > 0.0:
            self._loop.call_later(self._random.expovariate(self._rate), self._arrive)
            self._send()

    def _send(self) -> None:
        self._count += 1
        name = f"u{self._count}"
        head = f"Host: lab\r\nX-Trace-Id: {name}\r\nX-Expires-In-Ms: {int(GIVE_UP_MS)}\r\n\r\n"
        call = Call(
            name, f"GET /look/2 HTTP/1.1\r\n{head}".encode(), partial(self._answered, self._pool.most)
        )
        if self._pool.most or self._pool.rests:
            self.found.sent += 1
            self._pool.send(call)

    def _answered(self, most: int, answer: Answer) -> None:
        if answer.status:
            key = str(answer.status)
            self.found.answers[key] = self.found.answers.get(key, 0) + 1
        elif answer.written:
            self.found.lost += 1
        elif most and self._pool.most:
            self.found.unconnected += 1
        else:
            self.found.sent -= 1  # the front sends nobody here just now

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The application server: the last part of a path says how many bytes it answers with."""
        parser = http1.RequestParser(http1.MAX_MESSAGE)
        with suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(1 << 16):
                parser.feed(data)
                message = parser.next()
                parser.take_body()
                if message is None:
                    continue
                size = int(message.target.rpartition("/")[2])
                await asyncio.sleep(self._random.uniform(*WORK_S))
                writer.write(http1.response_head(200, [], size, close=False))
                for at in range(0, size, len(BLOCK)):
                    writer.write(BLOCK[: size - at])
                    await writer.drain()
        writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Discovery: nothing ever changes."""
        with suppress(OSError, asyncio.CancelledError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(http1.response_head(200, [], http1.CHUNKED, close=False))
            while not writer.is_closing():
                writer.write(http1.chunk(b"\n"))
                await writer.drain()
                await asyncio.sleep(1.0)

    async def _sample(self) -> None:
        """What all processes of the proxy hold together."""
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            descriptors, pages = 0, 0
            for number in [p.process.pid for p in self._processes if p.process.poll() is None]:
                with suppress(OSError):
                    descriptors += len(os.listdir(f"/proc/{number}/fd"))
                    _, resident, shared, *_ = Path(f"/proc/{number}/statm").read_text().split()
                    pages += int(resident) - int(shared)
            self.found.descriptors = max(self.found.descriptors, descriptors)
            self.found.memory_mb = max(self.found.memory_mb, round(pages * page / 1048576.0, 1))
            await asyncio.sleep(SAMPLE_S)


def operate(
    kind: str, times: int, rate: float, crowd: int, sockets: int, memory_mb: float, seed: int
) -> Operated:
    """Play ``times`` rounds of one kind; raises DriveError where the proxy does not get to serve."""
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}

    async def work() -> Operated:
        return await Stand(kind, times, rate, crowd, limits, seed).play()

    return asyncio.run(work())
