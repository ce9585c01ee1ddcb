"""The farm: discovery's list of application servers, and the watch that keeps it fresh."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from lupinlink.interface import Endpoint, EndpointState, MembershipKind
from lupinlink.net import http1
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.counters import Counters
from lupinlink.net.typed import Connector, Reactor, Transport
from lupinlink.net.wheel import Clockwork, Timer
from lupinlink.settings import Settings, address

log = logging.getLogger(__name__)
# An empty line is due every 2 s: without one for so long, the watch is dead. What it would have told
# counts as told 6 s late at most, and the module's wait and a slow call (2 s) still come on top.
SILENCE_MS = 2600.0
MAX_LIST = 1024 * 1024
STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
Row = tuple[Endpoint, str, int]


class ListError(ValueError):
    """What discovery wrote is no list."""


def read_list(raw: Any, settings: Settings) -> tuple[int, bool, list[Row]]:
    """One object of discovery: version, whether it is the whole list, and the entries."""
    try:
        rows = []
        for item in raw["targets"]:
            # A state that is not known is no invitation to send new work.
            state = STATES.get(item["state"], EndpointState.DRAINING)
            row = Endpoint(
                name=str(item["uid"]),
                zone=number(settings.zones, item.get("az")),
                kind=number(settings.kinds, item.get("model")),
                cell=int(item.get("pod_group") or 0),
                state=state,
                size_hint=float(1.0 if item.get("capacity_hint") is None else item["capacity_hint"]),
                started_ms=float(item.get("boot_ms") or 0.0),
            )
            host, port = address(str(item["endpoint"]), "endpoint")
            rows.append((row, host, port))
        return int(raw["rev"]), bool(raw["all"]), rows
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise ListError(f"{type(exc).__name__}: {exc}") from exc


def number(names: tuple[str, ...], name: object) -> int:
    """The settings' number of a zone or kind; all unknown ones are one more of their own."""
    return names.index(name) if name in names else len(names)


class Watch(Protocol):
    """One watch, from its call to its end: ``ended`` fires with the reason."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, farm: Farm) -> None:
        self._farm = farm
        self._parser = http1.AnswerParser(MAX_LIST)
        self._line = b""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(
            http1.request(
                "GET",
                f"/discovery/hosts?watch=1&from={self._farm.version}",
                [("Host", self._farm.host), ("Connection", "close")],
            )
        )

    def dataReceived(self, data: bytes) -> None:
        self._parser.feed(data)
        try:
            whole = self._parser.next()
            head = whole or self._parser.head
            if head is None:
                return
            if head.status != 200:
                raise ListError(f"discovery answered {head.status}")
            self._farm.heard()
            lines = (self._line + (whole.body if whole is not None else self._parser.drain())).split(b"\n")
            self._line = lines.pop()
            if len(self._line) > MAX_LIST:
                raise ListError("line too long")
            for line in lines:
                if line.strip():
                    self._farm.take(json.loads(line))
        except (http1.MessageError, ValueError, RecursionError) as exc:
            # Broken bytes end this connection; the module is told and asks again.
            self._farm.watch_ended(self, str(exc))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self._farm.watch_ended(self, "connection ended")


class Farm(ClientFactory):
    """Keeps the list; a change goes to the pools and to the module at once."""

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        clock: Clockwork,
        discovery: tuple[str, int],
        settings: Settings,
        servers: ApplicationServers,
        counters: Counters,
    ) -> None:
        self._reactor, self._clock, self._settings = reactor, clock, settings
        self._servers, self._counters = servers, counters
        self.host, self._port = discovery
        self.version = 0
        self.ready = 0  # application servers that take work
        self.news: Callable[[MembershipKind, list[Endpoint]], None] = lambda kind, rows: None
        self._states: dict[str, EndpointState] = {}
        self._watch: Watch | None = None
        self._connector: Connector | None = None
        self._silence: Timer | None = None
        self._ended: Deferred[str] | None = None

    def start(self, known: Mapping[str, Any]) -> None:
        """The list as this proxy last had it; it may be out of date."""
        if not known:
            known = {"rev": 0, "all": True, "targets": []}
        self._apply(known, MembershipKind.CACHED)

    def watch(self) -> Deferred[str]:
        """Ask for changes from now on; fires with the reason when that ends. One watch at a time."""
        if self._ended is not None:
            return self._ended
        self._counters["watches"] += 1
        ended: Deferred[str] = Deferred()
        self._ended = ended
        self._expect()
        # Twisted's own time-out is off: the silence timer covers the dial as well.
        connector = self._reactor.connectTCP(
            self.host,
            self._port,
            self,
            timeout=None,
        )
        if self._ended is ended:
            self._connector = connector
        return ended

    def buildProtocol(self, addr: object) -> Watch:
        self._watch = Watch(self)
        return self._watch

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        if connector is self._connector or self._connector is None:
            self._over("no connection")

    def heard(self) -> None:
        """A sign of life on the watch."""
        self._expect()

    def take(self, raw: Any) -> None:
        """One object of the watch."""
        full = isinstance(raw, dict) and raw.get("all") is True
        self._apply(raw, MembershipKind.FULL if full else MembershipKind.DELTA)

    def watch_ended(self, watch: Watch, why: str) -> None:
        """A watch is over, by its own end or by ours."""
        if watch is self._watch:
            self._over(why)

    def stop(self) -> None:
        """Watch no longer, and tell nobody."""
        self.news = lambda kind, rows: None
        self._over("stopping")

    def _apply(self, raw: Any, kind: MembershipKind) -> None:
        version, _, rows = read_list(raw, self._settings)
        full = kind != MembershipKind.DELTA
        self.version = version
        if full:
            self._states.clear()
        self._states.update((row.name, row.state) for row, _, _ in rows)
        for name in [n for n, state in self._states.items() if state == EndpointState.GONE]:
            del self._states[name]
        self.ready = sum(state == EndpointState.READY for state in self._states.values())
        self._counters["lists"] += 1
        self._servers.learn(rows, full)
        self.news(kind, [row for row, _, _ in rows])

    def _expect(self) -> None:
        if self._silence is not None:
            self._silence.drop()
        self._silence = self._clock.after(SILENCE_MS, lambda: self._over("silence"))

    def _over(self, why: str) -> None:
        ended, self._ended = self._ended, None
        watch, self._watch = self._watch, None
        connector, self._connector = self._connector, None
        if self._silence is not None:
            self._silence.drop()
            self._silence = None
        if watch is not None and watch.transport is not None:
            watch.transport.abortConnection()
        elif connector is not None and watch is None:
            connector.disconnect()
        if ended is not None:
            self._counters["watches_ended"] += 1
            log.info("watch ended", extra={"kv": {"why": why, "rev": self.version}})
            self.news(MembershipKind.FAILED, [])
            ended.callback(why)
