"""What real proxies meet on loopback: application servers and the roster, each a front before the model."""

from __future__ import annotations

import asyncio
import json
import math
import socket
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

from lupinlink.interface import Endpoint, EndpointState, MembershipKind
from lupinlink.lab.model.clients import Ask
from lupinlink.lab.model.referee import End
from lupinlink.lab.model.servers import NEVER_RUN, Ending, Job, Server
from lupinlink.lab.model.world import World
from lupinlink.lab.passage import Passage
from lupinlink.net import http1

HOST = "127.0.0.1"
STATE = {
    EndpointState.READY: "in_service",
    EndpointState.DRAINING: "terminating",
    EndpointState.GONE: "terminated",
}
BACKLOG = 1024  # connections that wait to be accepted
BEAT_MS = 2000.0  # an empty line on a watch, as long as nothing changes
NOISE = b"\x00\xffthis is no answer\r\n\r\n"
OTHER_SECOND_ANSWERS = (
    http1.response(503, [("X-Never-Ran", "1")], b"", close=False),
    http1.response(500, [], b"", close=False),
)


def listen(port: int = 0, backlog: int = BACKLOG, host: str = HOST) -> socket.socket:
    """A listening socket on loopback; port 0: one that is free. No host: every address of loopback's."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if not host:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
    listener.bind((host, port))
    listener.listen(backlog)
    listener.setblocking(False)
    return listener


class ServerFront:
    """One place's listener: HTTP/1.1 before the model's server that runs there."""

    def __init__(self, fronts: Fronts, name: str) -> None:
        self.fronts, self.name = fronts, name
        self._listener: asyncio.Server | None = None
        self._mute: list[socket.socket] = []
        self.passages: dict[Passage, None] = {}
        self.shook = self.probed = 0
        sock = self.bound(0)
        self.port: int = sock.getsockname()[1]
        self._open(sock)

    def bound(self, port: int) -> socket.socket:
        """A listening socket of its own."""
        return listen(port)

    def _open(self, sock: socket.socket) -> None:
        self._sock = sock
        loop = self.fronts.loop
        # Accepting begins on the loop's next turn; the kernel's queue holds who comes before that.
        self._task = loop.create_task(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        server = await self.fronts.loop.create_server(lambda: Passage(self), sock=sock, backlog=BACKLOG)
        if self._sock is sock:
            self._listener = server
        else:
            server.close()

    def close(self) -> None:
        """The process is gone: its connections are reset, new ones refused."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._task.cancel()
        self._sock.close()
        self.silence(False)
        for passage in list(self.passages):
            passage.abort()

    def reopen(self) -> None:
        """Another process at the old address."""
        self._open(self.bound(self.port))

    def silence(self, silent: bool) -> None:
        """Cut off: nothing is read, and new connections do not come up, since the kernel's queue is full."""
        for passage in list(self.passages):
            transport = passage.transport
            if transport is not None and not transport.is_closing():
                with suppress(RuntimeError):
                    transport.pause_reading() if silent else transport.resume_reading()
        for sock in self._mute:
            sock.close()
        self._mute.clear()
        if not silent or self._listener is None:
            return
        self._listener.close()
        self._listener = None
        self._sock = listen(self.port, 0)
        for _ in range(2):  # a queue of length 0 holds one, and drops what comes then
            dummy = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            dummy.setblocking(False)
            dummy.connect_ex((HOST, self.port))
            self._mute.append(dummy)

    def speak_again(self) -> None:
        """The machine is back: what was open before is reset, and what was sent to it meanwhile is lost."""
        for passage in list(self.passages):
            passage.abort()
        self.silence(False)
        self._sock.close()
        self._open(self.bound(self.port))

    @property
    def process(self) -> Server:
        return self.fronts.world.farm.places[self.name].server

    def opened(self, passage: Passage) -> None:
        process = self.process
        passage.process = process
        self.passages[passage] = None
        if process.ports.open >= process.machine.connections:
            process.ports.refused += 1
            passage.abort()
            return
        process.ports.open += 1
        self.shook += 1
        self.fronts.world.referee.shook()
        process.overhead(process.machine.connection_work_ms)

    def closed(self, passage: Passage) -> None:
        self.passages.pop(passage, None)
        if passage.process is not None:
            passage.process.ports.open -= 1
        self.end(passage, End.GIVEN_UP)
        job = passage.job
        if job is not None and passage.process is not None:
            if job.state in ("working", "pausing"):
                self.fronts.world.referee.wasted(job.cost_ms)
            passage.process.cancel(job)

    def end(self, passage: Passage, how: End) -> None:
        """An attempt is over for its proxy."""
        if passage.ask is not None:
            world = self.fronts.world
            world.referee.ended(passage.ask.name, passage.number, world.clock.now(), how)
            self.fronts.out[passage.ask.name].discard(passage)
            if not self.fronts.out[passage.ask.name]:
                del self.fronts.out[passage.ask.name]
            passage.ask = None

    def asked(self, passage: Passage, message: http1.Message) -> None:
        world, process = self.fronts.world, self.process
        if message.method == "GET" and message.target in ("/alive", "/metrics/load"):
            if passage.hushed:
                return
            self.probed += 1
            world.referee.probed()
            process.overhead(process.machine.probe_work_ms)
            passage.write(http1.response(200, self._report(process.report()), b"", close=False))
            return
        name = message.get("x-trace-id")
        ask = self.fronts.ask_of(passage, name or "", message)
        if ask is None or name is None:
            # A request that nobody sent: the referee must hear of it, whoever made it up.
            place = world.farm.places[self.name]
            world.referee.sent(name or "", place.name, place.zone, place.cell, world.clock.now(), False)
            passage.write(http1.response(400, [], b"", close=True))
            return
        self.fronts.look_for_ends(name)
        place = world.farm.places[self.name]
        crosses = place.zone != self.fronts.zone_of(ask.proxy)
        passage.ask = ask
        self.fronts.out.setdefault(name, set()).add(passage)
        passage.number = world.referee.sent(
            name, place.name, place.zone, place.cell, world.clock.now(), crosses
        )
        ways = world.ways
        if passage.hushed:
            return  # it went out, and will never arrive
        delay = ways.between(self.fronts.zone_of(ask.proxy), place.zone)
        if passage.fresh:  # its handshake has taken a way there and back
            passage.fresh = False
            delay += ways.between(0, 0 if not crosses else 1) * 2.0
        world.clock.at(world.clock.now() + delay, partial(self._arrive, passage, ask, process))

    def _arrive(self, passage: Passage, ask: Ask, process: Server) -> None:
        world = self.fronts.world
        if passage.ask is not ask or passage.hushed or not process.alive or process.troubles.silent:
            return
        world.referee.arrived(ask.name, passage.number, world.clock.now())
        chance = self.fronts.chance
        if process.troubles.resets > 0.0 and chance.even() < process.troubles.resets:
            self.end(passage, End.RESET)
            passage.abort()
            return
        job = Job(self.fronts.work(ask), ask.want.wait_ms, ask.want.key, ask.deadline, None, ask.proxy)
        job.ended = partial(self._ended, passage, ask)
        passage.job = job
        process.offer(job)

    def _ended(self, passage: Passage, ask: Ask, how: Ending, report: dict[str, float]) -> None:
        world = self.fronts.world
        zone = world.farm.places[self.name].zone
        delay = world.ways.between(zone, self.fronts.zone_of(ask.proxy))
        world.clock.at(world.clock.now() + delay, partial(self._answer, passage, ask, how, report))

    def _answer(self, passage: Passage, ask: Ask, how: Ending, report: dict[str, float]) -> None:
        job = passage.job
        if passage.ask is not ask:
            return
        if how is not Ending.SERVED and how not in NEVER_RUN and job is not None:
            self.fronts.world.referee.wasted(job.cost_ms)
        passage.job = None
        lost = self.process.troubles.lost
        if passage.hushed or (lost > 0.0 and self.fronts.chance.even() < lost):
            return  # on its way: the connection stays open and says nothing
        headers = self._report(report)
        if how is Ending.SERVED:
            end, data = End.SERVED, http1.response(200, headers, ask.name.encode(), close=False)
        elif how in NEVER_RUN:
            status = 503 if how is Ending.FULL else 504
            end = End.NEVER_RAN
            data = http1.response(status, [*headers, ("X-Never-Ran", "1")], b"", close=False)
        elif how is Ending.SPOILT:
            end, data = End.ERROR, NOISE
        else:
            end, data = End.ERROR, http1.response(500, headers, b"", close=False)
        self.end(passage, end)
        passage.write(data)
        self._answer_again(passage, data)

    def _answer_again(self, passage: Passage, data: bytes) -> None:
        """Write a second answer some time later, where a fault says so: the same, or another one."""
        troubles, draws, clock = self.process.troubles, self.fronts.chance, self.fronts.world.clock
        if troubles.second_answers <= 0.0 or draws.even() >= troubles.second_answers:
            return
        kinds = (data, *OTHER_SECOND_ANSWERS)
        second = kinds[int(draws.even() * len(kinds))]
        at = clock.now() + draws.even() * troubles.second_answer_ms
        clock.at(at, partial(passage.write, second))

    def _report(self, report: dict[str, float]) -> list[tuple[str, str]]:
        if not self.fronts.world.scenario.rules.reports:
            return []
        return [("Endpoint-Load-Metrics", f"TEXT util={report['util']:.3f}, qps={report['qps']:.1f}")]


class Fronts:
    """Every application server's front."""

    def __init__(self, world: World, loop: asyncio.AbstractEventLoop, asks: dict[str, Ask]) -> None:
        self.world, self.loop, self.asks = world, loop, asks
        self._noise = world.streams.draws("work noise")
        self.chance = world.streams.draws("fronts")
        self.out: dict[str, set[Passage]] = {}  # attempts that are out, by the request's name
        self.by_name: dict[str, ServerFront] = {}
        farm = world.farm
        farm.died.append(self._died)
        farm.started.append(self._started)
        farm.silenced.append(self._silenced)
        for name in farm.places:
            self.open(name)

    def open(self, name: str) -> None:
        """A place begins to listen."""
        self.port_of(name)

    def work(self, ask: Ask) -> float:
        """The work of one attempt, milliseconds of one standard core: noise round what its try asks for."""
        noise = self.world.scenario.load.work_noise
        if noise <= 0.0:
            return ask.want.work_ms
        return ask.want.work_ms * math.exp(noise * self._noise.normal() - noise * noise / 2.0)

    def ask_of(self, passage: Passage, name: str, message: http1.Message) -> Ask | None:
        """The try that a proxy's request is for; None: nobody sent it."""
        return self.asks.get(name)

    def endpoint(self, proxy: int, name: str) -> str:
        """Where a proxy is told to find a place."""
        return f"{HOST}:{self.port_of(name)}"

    def zone_of(self, proxy: int) -> int:
        return self.world.agents.front.zone_of[proxy]

    def port_of(self, name: str) -> int:
        """Where a place listens."""
        front = self.by_name.get(name)
        if front is None:
            front = self.by_name[name] = self.front(name)
        return front.port

    def front(self, name: str) -> ServerFront:
        """A place's listener."""
        return ServerFront(self, name)

    def look_for_ends(self, name: str) -> None:
        """Ends that have come but were not read yet went before what is read now."""
        for passage in list(self.out.get(name, ())):
            if passage.gone():
                passage.front.end(passage, End.GIVEN_UP)

    def _died(self, server: Server) -> None:
        if server.name in self.by_name:
            self.by_name[server.name].close()

    def _started(self, server: Server) -> None:
        if server.name in self.by_name:
            self.by_name[server.name].reopen()
        else:
            self.open(server.name)

    def _silenced(self, server: Server, silent: bool) -> None:
        front = self.by_name.get(server.name)
        if front is not None:
            front.silence(True) if silent else front.speak_again()

    def close(self) -> None:
        for front in self.by_name.values():
            front.close()


class RosterSide:
    """The roster as one proxy asks for it; ``endpoint``: where that proxy finds a place."""

    def __init__(self, world: World, proxy: int, endpoint: Callable[[int, str], str]) -> None:
        self.world, self.proxy, self._endpoint = world, proxy, endpoint
        self.watches: dict[RosterCall, None] = {}

    def tell(self, kind: MembershipKind, rows: list[Endpoint]) -> None:
        """The model's roster writes to this proxy's watches."""
        if kind is MembershipKind.FAILED:
            for call in list(self.watches):
                call.fail()
            return
        self.world.told.rows(self.proxy, kind, rows)
        text = json.dumps(self.document(rows, kind is not MembershipKind.DELTA)) + "\n"
        for call in self.watches:
            call.line(text)

    def document(self, rows: list[Endpoint], full: bool) -> dict[str, Any]:
        """Rows in the roster's own form."""
        zones, kinds = self.world.scenario.network.zones, list(self.world.scenario.kinds)
        targets = [
            {"uid": row.name, "endpoint": self._endpoint(self.proxy, row.name), "az": zones[row.zone],
             "model": kinds[row.kind], "pod_group": row.cell, "state": STATE[row.state],
             "capacity_hint": row.size_hint, "boot_ms": int(row.started_ms)}
            for row in rows
        ]  # fmt: skip
        return {"rev": self.world.roster.version, "all": full, "targets": targets}

    def gave(self, rows: list[Endpoint]) -> None:
        """A whole list was written to this proxy."""
        self.world.told.rows(self.proxy, MembershipKind.FULL, rows)

    def close(self) -> None:
        """End every watch."""
        for call in list(self.watches):
            call.fail()


class RosterFront(RosterSide):
    """One proxy's roster at an address of its own."""

    def __init__(self, world: World, fronts: Fronts, proxy: int) -> None:
        super().__init__(world, proxy, fronts.endpoint)
        sock = listen()
        self.port: int = sock.getsockname()[1]
        self._loop = fronts.loop
        self._task = fronts.loop.create_task(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        self._server = await self._loop.create_server(lambda: RosterCall(self), sock=sock)

    def close(self) -> None:
        self._task.cancel()
        if hasattr(self, "_server"):
            self._server.close()
        super().close()


class RosterCall(asyncio.Protocol):
    """One connection to the roster."""

    front: RosterSide

    def __init__(self, front: RosterSide | None = None) -> None:
        """``front``: whose roster it is, where that is known before the connection is there."""
        if front is not None:
            self.front = front
        self._parser = http1.RequestParser()
        self._transport: asyncio.Transport | None = None
        self._watching = self._open = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._parser.feed(data)
        message = self._parser.next()
        if message is None:
            return
        world = self.front.world
        if "watch=1" in message.target:
            self._watching = True
            self.front.watches[self] = None
            # What the model calls a watch answers by telling; the head goes out with the first line.
            version = message.target.partition("from=")[2]
            world.roster.resume(self.front.proxy, int(version) if version.isdigit() else 0)
            world.roster.watch(self.front.proxy)
        else:
            world.roster.fetch(self._whole)

    def _whole(self, rows: list[Endpoint] | None) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if rows is None:
            self.write(http1.response(503, [], b"", close=True))
            self._transport.close()
            return
        self.front.gave(rows)
        body = json.dumps(self.front.document(rows, True)).encode()
        self.write(http1.response(200, [("Content-Type", "application/json")], body, close=False))

    def line(self, text: str) -> None:
        """A line of the watch."""
        if self._transport is None or self._transport.is_closing():
            return
        if not self._open:
            self._open = True
            self.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._beat()
        self.write(f"{len(text):x}\r\n{text}\r\n".encode())

    def _beat(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self.write(b"1\r\n\n\r\n")
            clock = self.front.world.clock
            clock.at(clock.now() + BEAT_MS, self._beat)

    def fail(self) -> None:
        """The call has failed, or the watch has ended."""
        if self._transport is None:
            return
        if self._open:
            self._transport.abort()
        else:
            self.write(http1.response(503, [], b"", close=True))
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Bytes to the proxy."""
        if self._transport is not None:
            self._transport.write(data)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.front.watches.pop(self, None)
        if self._watching and not self.front.watches:
            self.front.world.roster.unwatch(self.front.proxy)
