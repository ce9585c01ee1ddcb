"""The stand-in discovery of a whole fleet: one service, one call after another, met by each on its path."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from lupinlink.interface import Endpoint, EndpointState, MembershipKind
from lupinlink.lab.emulated import BACKLOG, RosterCall, RosterSide, listen
from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.gate import Hush, claim
from lupinlink.lab.model.world import World

DEEMED_MS = 6000.0  # what it has to tell counts as told by then, whether it arrived or not


class FleetSide(RosterSide):
    """What one proxy is told, and what it was told last, which it knows again after a restart."""

    def __init__(
        self, world: World, proxy: int, endpoint: Callable[[int, str], str], hushed: Callable[[], bool]
    ) -> None:
        super().__init__(world, proxy, endpoint)
        self._hushed = hushed
        self.held: dict[str, Endpoint] = {}
        self.version = 0
        self.first_told = 0.0  # of this process, by a list or a watch

    def start(self) -> None:
        """Its process starts and knows what it was told last."""
        self.first_told = 0.0
        self.world.roster.forget(self.proxy)
        self.world.roster.hear(self.proxy, self.tell)
        self.world.roster.resume(self.proxy, self.version)
        # From here on nothing is told off that it was not told itself.
        self.world.told.start(self.proxy, list(self.held.values()))

    def known(self) -> dict[str, Any]:
        """The list as this proxy last had it, in discovery's form."""
        return {**self.document(list(self.held.values()), True), "rev": self.version}

    def tell(self, kind: MembershipKind, rows: list[Endpoint]) -> None:
        if kind is not MembershipKind.FAILED:
            if self._hushed():
                self._miss(kind, rows)
                return
            self._hold(kind, rows)
        super().tell(kind, rows)

    def gave(self, rows: list[Endpoint]) -> None:
        if self._hushed():
            self._miss(MembershipKind.FULL, rows)
            return
        self._hold(MembershipKind.FULL, rows)
        super().gave(rows)

    def _miss(self, kind: MembershipKind, rows: list[Endpoint]) -> None:
        """It is written and does not arrive; it counts as told later, unless something newer came first."""
        clock, version = self.world.clock, self.world.roster.version

        def deemed() -> None:
            if self.version < version:
                self.world.told.rows(self.proxy, kind, rows)

        clock.at(clock.now() + DEEMED_MS, deemed)

    def _hold(self, kind: MembershipKind, rows: list[Endpoint]) -> None:
        self.first_told = self.first_told or self.world.clock.now()
        self.version = self.world.roster.version
        if kind is MembershipKind.FULL:
            self.held.clear()
        for row in rows:
            if row.state is EndpointState.GONE:
                self.held.pop(row.name, None)
            else:
                self.held[row.name] = row


class FleetCall(RosterCall):
    """One connection to discovery, of the proxy whose path it came on."""

    def __init__(self, discovery: Discovery) -> None:
        super().__init__()
        self._discovery = discovery
        self.hushed = False
        self.zone = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._discovery.calls.add(self)
        proxy = addresses.whose(transport.get_extra_info("sockname")[0])
        self.front = self._discovery.sides[proxy]
        self.zone = self._discovery.zones[proxy]
        self.hushed = self._discovery.hush.covers(self.zone)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if not self.hushed:
            super().data_received(data)

    def write(self, data: bytes) -> None:
        if not self.hushed:
            super().write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self._discovery.calls.discard(self)
        super().connection_lost(exc)


class Discovery:
    """The service, at two ports: a new configuration can move a proxy from the first to the second."""

    def __init__(
        self, world: World, loop: asyncio.AbstractEventLoop, endpoint: Callable[[int, str], str], port: int
    ) -> None:
        """``port``: it listens at free ones from there on."""
        self._world, self._loop = world, loop
        self.zones = world.agents.front.zone_of
        self.hush = Hush()
        self.calls: set[FleetCall] = set()
        self.sides = [
            FleetSide(world, i, endpoint, lambda zone=zone: self.hush.covers(zone))  # type: ignore[misc]
            for i, zone in enumerate(self.zones)
        ]
        first = claim(port)
        second = claim(first.getsockname()[1] + 1)
        self._socks = [first, second]
        self.ports: list[int] = [sock.getsockname()[1] for sock in self._socks]
        self._servers: list[asyncio.Server] = []

    def address(self, proxy: int, moved: bool = False) -> str:
        """Where a proxy is told to find it."""
        return f"{addresses.finds(self.zones[proxy], proxy)}:{self.ports[moved]}"

    async def open(self) -> None:
        """Take calls."""
        for sock in self._socks:
            self._servers.append(
                await self._loop.create_server(lambda: FleetCall(self), sock=sock, backlog=BACKLOG)
            )

    def dark(self) -> None:
        """Its machine has lost its power: connections are reset, new ones refused."""
        self._world.roster.go_down(True)
        self.close()

    async def back(self) -> None:
        """Its machine runs again."""
        if self._servers:
            return
        self._socks = [self._gate(port) for port in self.ports]
        await self.open()
        self._world.roster.go_down(False)

    def _gate(self, port: int) -> socket.socket:
        sock = listen(port, host="")
        self.hush.apply(sock)
        return sock

    def cut(self, zone: int, on: bool) -> None:
        """The paths of a zone's proxies are cut, or whole again."""
        self.hush.cut([zone], on)
        for sock in self._socks:
            if sock.fileno() >= 0:
                self.hush.apply(sock)
        for call in list(self.calls):
            was, call.hushed = call.hushed, self.hush.covers(call.zone)
            if was and not call.hushed:
                call.abort()

    def close(self) -> None:
        """Take nothing more, and end all that is open."""
        for server in self._servers:
            server.close()
        self._servers.clear()
        for sock in self._socks:
            sock.close()
        for call in list(self.calls):
            call.abort()
