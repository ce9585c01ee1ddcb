"""A helper's share of the application servers, each behind a relay that can be cut, reset, late or lossy.

The relay stands in the same process as the server that it relays to: what a proxy sees of its path is the
listener, the bytes and their absence, and a second pair of sockets would show it nothing else.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from urllib.parse import parse_qs

from lupinlink.lab.emulated import Fronts, ServerFront, listen
from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.gate import Hush, claim
from lupinlink.lab.model.clients import Ask, Want
from lupinlink.lab.model.servers import Server
from lupinlink.lab.model.windows import ServerSecond
from lupinlink.lab.model.world import World
from lupinlink.lab.passage import Passage
from lupinlink.net import http1

SAMPLE_MS = 50.0  # between two looks at what servers hold
MOST_ASKED_MS = 3_600_000.0


class Relay(ServerFront):
    """A place's listener on all paths to it."""

    def __init__(self, fronts: Backends, name: str) -> None:
        self._farm_fronts = fronts
        self.hush = Hush()
        super().__init__(fronts, name)

    def bound(self, port: int) -> socket.socket:
        if port:
            sock = listen(port, host="")
        else:
            sock = claim(self._farm_fronts.next_port)
            self._farm_fronts.next_port = sock.getsockname()[1] + 1
        self.hush.apply(sock)
        return sock

    def opened(self, passage: Passage) -> None:
        assert passage.transport is not None
        passage.proxy = addresses.whose(passage.transport.get_extra_info("sockname")[0])
        passage.hushed = self.hush.covers(self.fronts.zone_of(passage.proxy))
        super().opened(passage)

    def silence(self, silent: bool) -> None:
        self.hush.whole = silent
        self._changed()

    def speak_again(self) -> None:
        self.silence(False)

    def cut(self, zones: list[int], on: bool) -> None:
        """The paths to the proxies of some zones are cut, or whole again."""
        self.hush.cut(zones, on)
        self._changed()

    def _changed(self) -> None:
        if self._sock.fileno() >= 0:
            self.hush.apply(self._sock)
        for passage in list(self.passages):
            was, passage.hushed = passage.hushed, self.hush.covers(self.fronts.zone_of(passage.proxy))
            if was and not passage.hushed:
                passage.abort()  # what was said on it meanwhile is lost


class Backends(Fronts):
    """The places of one share; the others' servers are here too, without a listener."""

    def __init__(
        self, world: World, loop: asyncio.AbstractEventLoop, share: int, of: int, port: int,
        found: Callable[[str, int], None],
    ) -> None:  # fmt: skip
        """``port``: listeners take free ones from there on. ``found`` is told where a place listens."""
        self._share, self._of, self._found = share, of, found
        self.next_port = port
        self._classes = list(world.scenario.classes)
        self._before: dict[str, tuple[Server, float, int, int, int]] = {}
        self._samples: dict[str, list[float]] = {}
        self._ready: dict[str, bool] = {}
        super().__init__(world, loop, {})

    def open(self, name: str) -> None:
        if int(name.rpartition("-")[2]) % self._of == self._share:
            self._found(name, self.port_of(name))

    def front(self, name: str) -> ServerFront:
        return Relay(self, name)

    def ask_of(self, passage: Passage, name: str, message: http1.Message) -> Ask | None:
        """What a request is for stands in its path, which an attempts on unchanged."""
        path, _, query = message.target.partition("?")
        figures = parse_qs(query)
        try:
            _, cls, key = path.split("/")
            work, wait = (float(figures[n][0]) for n in ("work", "wait"))
            want = Want(0, self._classes.index(cls), 0, int(key), 0, work, wait, 0.0)
            left = min(MOST_ASKED_MS, float(message.get("x-expires-in-ms") or MOST_ASKED_MS))
        except (KeyError, ValueError):
            return None
        if not name:
            return None
        return Ask(name, want, passage.proxy, self.world.clock.now() + left, False, 0)

    def cut(self, zone: int, on: bool) -> None:
        """A zone is cut off from all others, or connected again."""
        zones = range(len(self.world.scenario.network.zones))
        for name, front in self.by_name.items():
            assert isinstance(front, Relay)
            own = self.world.farm.places[name].zone == zone
            front.cut([z for z in zones if z != zone] if own else [zone], on)

    def sample(self) -> None:
        """One look at what each server holds."""
        for name in self.by_name:
            server = self.world.farm.places[name].server
            self._samples.setdefault(name, []).append(float(server.held))
            troubles = server.troubles
            ready = server.alive and not (
                server.draining or server.fallen or troubles.silent or troubles.hangs
            )
            self._ready[name] = self._ready.get(name, True) and ready

    def second(self) -> dict[str, ServerSecond]:
        """Each server of this share over the second that ends now."""
        rows = {}
        for name, front in self.by_name.items():
            server = self.world.farm.places[name].server
            now = (server, server.used_ms(), front.shook, front.probed, server.account.taken)
            before = self._before.get(name)
            if before is None or before[0] is not server:  # another process: its counts begin at nothing
                before = (server, 0.0, *(before[2:4] if before else (0, 0)), 0)
            self._before[name] = now
            samples = self._samples.pop(name, [])
            rows[name] = ServerSecond(
                held=round(sum(samples) / max(1, len(samples)), 4),
                busy=round((now[1] - before[1]) / (1000.0 * server.machine.cores), 4),
                connections=len(front.passages), shook=now[2] - before[2], probed=now[3] - before[3],
                taken=now[4] - before[4], ready=self._ready.pop(name, False),
            )  # fmt: skip
        return rows
