"""One real proxy as a process: startup, signals, exit."""

from __future__ import annotations

import gc
import logging
import os
import resource
import signal
import socket
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from types import FrameType
from typing import TYPE_CHECKING, Any, cast

from twisted.internet.error import CannotListenError

from lupinlink.interface import Endpoint, MembershipKind
from lupinlink.net import log as logs
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.counters import Counters
from lupinlink.net.farm import Farm, ListError
from lupinlink.net.handover.channel import Channel, Doorstep, call, place
from lupinlink.net.handover.room import LEAST_CONNECTIONS, Held, Limits, Room, held, room, shrunk
from lupinlink.net.handover.upgrade import Upgrade
from lupinlink.net.http1 import MAX_BODY
from lupinlink.net.lifecycle import Lifecycle
from lupinlink.net.management import MOST_BODY, Management, most_callers, yes_or_no
from lupinlink.net.management import Call as DoorCall
from lupinlink.net.proxy import Proxy
from lupinlink.net.typed import Port, Reactor
from lupinlink.net.user_agents import Listener, UserAgents
from lupinlink.net.wheel import Clockwork
from lupinlink.settings import Config, SettingsError

if TYPE_CHECKING:
    from lupinlink.net.hosting import Hosting
    from lupinlink.net.seam import FleetSide

log = logging.getLogger(__name__)
FIXED = ("name", "listen", "mgmt", "sockets", "memory_mb", "settings")  # what a reload cannot change
BACKLOG, CALLERS_BACKLOG = 1024, 128
COLLECT_MS = 5000.0  # with what startup made set aside it takes a millisecond or two
UPGRADE_MS = 100.0  # how often an upgrade's state is looked at
CHECK_MS = 20.0  # how often connections are looked through while they are to go


def allowed(sockets: int) -> int:
    """As many descriptors as told, or fewer where the system grants this process fewer."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < sockets:
        soft = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        return soft
    return sockets


def resident_mb() -> float:
    """What this process has in memory, in MiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1048576.0


class Service:
    """Puts the parts together and takes them down again."""

    def __init__(
        self, config: Config, reactor: Reactor, load: Callable[[], Config], fleet: FleetSide | None = None
    ) -> None:
        """``load`` reads the configuration anew; ``fleet``: what a fleet file adds."""
        self._config, self._reactor, self._load = config, reactor, load
        # Twisted times calls by the wall clock, which may be set; deadlines must not follow it.
        reactor.seconds = time.monotonic
        self._counters = Counters()
        self._clock = Clockwork(reactor)
        settings = config.settings
        sockets = allowed(config.sockets)
        self._limits = Limits(sockets, config.memory_mb, most_callers(sockets) if config.mgmt else 0)
        self._room = room(self._limits)
        if self._room.agents + self._room.servers < LEAST_CONNECTIONS:
            most = max(0, self._room.agents + self._room.servers)
            raise SettingsError(f"limits leave room for {most} connections only")
        self._servers = ApplicationServers(
            reactor,
            self._clock,
            settings,
            self._room.servers,
            self._counters,
        )
        self._farm = Farm(
            reactor,
            self._clock,
            config.discovery,
            settings,
            self._servers,
            self._counters,
        )
        self._proxy = Proxy(settings, config.seed, self._clock, self._servers, self._ask_farm, self._counters)
        self._lifecycle = Lifecycle()
        self._agents = UserAgents(
            self._proxy,
            self._farm,
            self._clock,
            settings,
            self._lifecycle,
            self._room.agents,
            self._room.spare_mb,
            self._counters,
        )
        self._farm.news = self._news
        calls: dict[str, dict[str, DoorCall]] = {
            "/control/ready": {"GET": yes_or_no(lambda: self._lifecycle.ready(self._farm.ready))},
            "/control/out-of-service": {"PUT": yes_or_no(self._out_of_service)},
            "/control/in-service": {"PUT": yes_or_no(self._in_service)},
        }
        self._hosting = self._host(fleet) if fleet is not None else None
        if self._hosting is not None:
            calls = self._hosting.calls(calls)
        most_body = MAX_BODY if self._hosting is not None else MOST_BODY
        self._door = Management(calls, most_callers(sockets), self._clock, self._counters, most_body)
        self._checking = False
        self._upgrade = Upgrade(self, config.name)
        self._looking = False
        self._doorstep: Doorstep | None = None
        self._fault: SettingsError | None = None

    def _host(self, fleet: FleetSide) -> Hosting:
        """Our side of the seam."""
        from lupinlink.net.hosting import Acts, Hosting

        acts = Acts(self._out_of_service, self._in_service, self._stop)
        parts = self._proxy, self._agents, self._farm, self._servers
        known = self._config.name, self._config.settings
        return Hosting(fleet, known, self._reactor, self._clock, self._lifecycle, parts, self._counters, acts)

    def run(self) -> int:
        """Serve until a signal ends it."""
        # From the first moment on: the system's own answer to these two is to end the process.
        signal.signal(signal.SIGHUP, self._on_reload)
        signal.signal(signal.SIGUSR1, self._on_show)
        try:
            self._farm.start(self._config.known)
        except ListError as exc:
            raise SettingsError(f"known: {exc}") from exc
        self._open_door()
        self._reactor.callWhenRunning(self._started)  # first: who reads that it serves may send SIGTERM
        old = self._find_old()
        if old is None:
            self.move_in(None, {})
        else:
            channel = Channel(self._reactor, old, self._heard, lambda: self._upgrade.ended(channel))
            self._upgrade.begin(channel, self._clock.now())
            self._look_after()
        if self._fault is None:
            self._reactor.run()
        if self._fault is not None:
            raise self._fault
        self._counters.show("exit")
        return 0

    def _find_old(self) -> socket.socket | None:
        """The channel to a process that serves at our address, if one does."""
        if not self._config.folder or not self._config.listen[1]:
            return None
        path = place(self._config.folder, self._config.listen)
        self._doorstep = Doorstep(self._reactor, path, self._called)
        return call(path)

    def _called(self, connection: socket.socket) -> None:
        channel = Channel(self._reactor, connection, self._heard, lambda: self._upgrade.ended(channel))

    def _heard(self, channel: Channel, message: Mapping[str, Any], handed: int | None) -> None:
        self._upgrade.heard(channel, message, handed, self._clock.now())
        self._look_after()

    def _look_after(self) -> None:
        """While another process is there, look after the upgrade."""
        if not self._looking and self._upgrade.busy:
            self._looking = True
            self._clock.after(UPGRADE_MS, self._looked)

    def _looked(self) -> None:
        self._looking = False
        self._upgrade.tick(self._clock.now())
        self._look_after()

    def offered(self) -> tuple[int, dict[str, Any]]:
        """For a successor: our listening socket, the farm's list and whether we are drained."""
        assert self._agents.port is not None
        return self._agents.port.fileno(), {
            "known": self._farm.snapshot(),
            "drained": self._lifecycle.drained,
        }

    def move_in(self, handed: int | None, offer: Mapping[str, Any]) -> None:
        """Listen, on what was handed over or on a socket of our own, and serve once there are servers."""
        host, port = self._config.listen
        listening: Listener | None = None
        if handed is not None:
            try:
                with socket.socket(fileno=handed) as theirs:
                    listens = theirs.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
                    if listens and theirs.getsockname()[1] == port:
                        listening = Listener.on(theirs, self._agents, self._reactor)
            except OSError:
                os.close(handed)  # no socket at all
            if listening is None:
                log.warning("what was handed over does not listen here")
        if listening is None:
            listening = Listener(port, self._agents, BACKLOG, host, self._reactor)  # type: ignore[arg-type]
            if self._config.folder:
                listening.share()
        try:
            listening.startListening()
        except CannotListenError as exc:
            self._fault = SettingsError(f"listen: {host}:{port}: {exc.socketError}")
            if self._reactor.running:
                self._reactor.stop()
            return
        self._agents.port = cast(Port, listening)
        if self._upgrade.busy:
            # A predecessor serves at this address, so no front held requests for it: what queues is new.
            self._agents.unwatched_since = self._clock.now()
        self._agents.listen()  # not before this process serves
        if offer.get("drained"):
            self._out_of_service()
        known = offer.get("known")
        if isinstance(known, dict):
            try:
                self._farm.start(known)
            except ListError as exc:
                log.warning("list of the old process not used", extra={"kv": {"why": exc}})
        if self._upgrade.busy:
            self._beside_old()
        self._serve()

    def _beside_old(self) -> None:
        """Until the old process tells what it holds, next to nothing is left."""
        self.beside(held(self._limits, room(self._limits), self._limits.memory_mb))

    def _serve(self) -> None:
        """Take user agents; beside an old process only once a request could be served."""
        if self._upgrade.busy and not self._farm.ready:
            self._clock.after(UPGRADE_MS, self._serve)
            return
        if self._lifecycle.serving:
            return
        if self._reactor.running:
            self._in_place()
        else:
            self._reactor.callWhenRunning(self._in_place)

    def _in_place(self) -> None:
        assert self._agents.port is not None
        self._lifecycle.serve()
        self._agents.listen()
        self._upgrade.serving()
        if self._doorstep is not None:
            self._doorstep.open()
        where = self._agents.port.getHost()
        log.info("serving", extra={"kv": {"host": where.host, "port": where.port}})

    def handed_over(self) -> None:
        """A successor serves: what is here ends with its answers, and no more comes."""
        self._lifecycle.hand_over(self._clock.now())
        self._agents.listen()
        self._watch_leavers()

    def taken_back(self) -> None:
        """The successor has gone before us."""
        self._lifecycle.take_back()
        self._resize(room(self._limits))
        self._agents.listen()
        if self._doorstep is not None:
            self._doorstep.open()

    def beside(self, other: Held | None) -> None:
        """The rest of the proxy's limits is ours."""
        if not self._lifecycle.handed_over:
            self._resize(room(self._limits, other))

    def holds(self) -> Held:
        """What this process holds, and no more than that from here on."""
        counts = len(self._agents.connections), len(self._servers.connections), self._proxy.open
        self._resize(shrunk(self._limits, *counts, self._room.spare_mb))
        return held(self._limits, self._room, resident_mb())

    def told(self, drain: bool) -> None:
        """A call that reached the old process."""
        if drain:
            self._out_of_service()
        else:
            self._in_service()

    def _resize(self, now: Room) -> None:
        self._room = now
        self._agents.resize(now.agents, now.spare_mb)
        self._servers.resize(now.servers)

    def _open_door(self) -> None:
        if self._config.mgmt is None:
            return
        host, port = self._config.mgmt
        try:
            door = self._reactor.listenTCP(port, self._door, CALLERS_BACKLOG, host)
        except (CannotListenError, OSError) as exc:
            why = exc.socketError if isinstance(exc, CannotListenError) else exc
            raise SettingsError(f"mgmt: {host}:{port}: {why}") from exc
        log.info("door", extra={"kv": {"at": host, "mgmt_port": door.getHost().port}})

    def _started(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop)
        # What startup has made stays for good; collections over it would only be pauses.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20000, 20, 50)
        self._clock.after(COLLECT_MS, self._collect)
        if self._hosting is not None:
            self._hosting.start()

    def _collect(self) -> None:
        """Old cycles, such as closed connections, go by the clock: by number they would pile up for hours."""
        gc.collect()
        self._clock.after(COLLECT_MS, self._collect)

    def _ask_farm(self) -> None:
        self._farm.watch()

    def _on_reload(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        """The configuration's file was replaced. What cannot be used changes nothing."""
        self._counters["reloads"] += 1
        if self._lifecycle.stopping:
            log.info("reload ignored", extra={"kv": {"why": "stopping"}})
            return
        try:
            new = self._load()
        except Exception as exc:  # whatever is wrong with a file, the old configuration serves on
            log.error("reload failed", extra={"kv": {"why": " ".join(str(exc).split())}})
            return
        fixed = [name for name in FIXED if getattr(new, name) != getattr(self._config, name)]
        host, port = new.discovery
        kv = {"discovery": f"{host}:{port}", "needs_restart": ",".join(fixed) or "nothing"}
        log.info("reloaded", extra={"kv": kv})
        self._farm.move(new.discovery)

    def _news(self, kind: MembershipKind, rows: list[Endpoint]) -> None:
        self._proxy.news(kind, rows)

    def _on_show(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._show)

    def _show(self) -> None:
        self._counters.show(
            "signal",
            open=self._proxy.open,
            servers_ready=self._farm.ready,
            servers_listed=len(self._farm),
            deadlines=len(self._clock.deadlines),
            timers=len(self._clock.wheel),
            **self._agents.gauges(),
            **self._door.gauges(),
            resident_mb=int(resident_mb()),
            **self._servers.gauges(),
            **self._proxy.gauges(),
        )

    def _on_stop(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._stop)

    def _out_of_service(self) -> bool:
        self._lifecycle.out_of_service(self._clock.now())
        self._upgrade.pass_on(drain=True)
        self._watch_leavers()
        return True

    def _in_service(self) -> bool:
        self._lifecycle.in_service()
        self._upgrade.pass_on(drain=False)
        return not self._lifecycle.stopping

    def _stop(self) -> None:
        if not self._lifecycle.stopping:
            self._lifecycle.stop(self._clock.now())
            log.info("stopping", extra={"kv": {"open": self._proxy.open}})
            if self._hosting is not None:
                self._hosting.stop()
            self._watch_leavers()

    def _watch_leavers(self) -> None:
        if not self._checking:
            self._checking = True
            self._check()

    def _check(self) -> None:
        """While user agents are to go: see them off, and leave once nothing more can come."""
        now, state = self._clock.now(), self._lifecycle
        if state.keeps():
            self._checking = False
            return
        if state.last_call(now):
            self._proxy.end_all()
        if now >= state.idle_from():
            self._agents.close_idle(unasked=state.stopping)
        if state.may_leave(now, len(self._agents.connections) + self._proxy.open):
            self._upgrade.leave()
            if self._hosting is not None:
                self._hosting.stop()
            if self._doorstep is not None:
                self._doorstep.close()
            self._farm.stop()
            self._reactor.stop()
        else:
            self._clock.after(CHECK_MS, self._check)


def serve(config: Config, load: Callable[[], Config], fleet: FleetSide | None = None) -> int:
    """Run one proxy in this process; ``load`` reads its configuration anew, ``fleet`` is a fleet file's."""
    from twisted.internet import reactor

    logs.set_up(config.name)
    return Service(config, cast(Reactor, reactor), load, fleet).run()
