"""One real proxy as a process: startup, signals, exit."""

from __future__ import annotations

import logging
import os
import signal
import time
from collections.abc import Callable
from types import FrameType
from typing import TYPE_CHECKING, cast

from twisted.internet.error import CannotListenError

from lupinlink.net import log as logs
from lupinlink.net.client_drain import ClientDrain
from lupinlink.net.components import build
from lupinlink.net.discovery_client import ListError
from lupinlink.net.handover.capacity import MIN_CONNECTIONS, Limits, capacity_for
from lupinlink.net.http1 import MAX_BODY
from lupinlink.net.listener_takeover import ListenerTakeover
from lupinlink.net.loop_iterations import measure
from lupinlink.net.management import MOST_BODY, Management, most_callers, yes_or_no
from lupinlink.net.management import Call as DoorCall
from lupinlink.net.process import allowed, collect_by_time, resident_mb
from lupinlink.net.twisted_types import Reactor
from lupinlink.settings import Config, SettingsError

if TYPE_CHECKING:
    from lupinlink.net.fleet_extension import FleetExtension
    from lupinlink.net.fleet_host import FleetHost

log = logging.getLogger(__name__)
FIXED = ("name", "listen", "mgmt", "sockets", "memory_mb", "settings")  # what a reload cannot change
CALLERS_BACKLOG = 128


class Service:
    """Puts the parts together and takes them down again."""

    def __init__(
        self,
        config: Config,
        reactor: Reactor,
        load: Callable[[], Config],
        fleet: FleetExtension | None = None,
    ) -> None:
        """``load`` reads the configuration anew; ``fleet``: what a fleet file adds."""
        self._config, self._reactor, self._load = config, reactor, load
        # Twisted times calls by the wall clock, which may be set; deadlines must not follow it.
        reactor.seconds = time.monotonic
        sockets = allowed(config.sockets)
        limits = Limits(sockets, config.memory_mb, most_callers(sockets) if config.mgmt else 0)
        now = capacity_for(limits)
        if now.clients + now.servers < MIN_CONNECTIONS:
            raise SettingsError(f"limits leave room for {max(0, now.clients + now.servers)} connections only")
        parts = self._parts = build(config, reactor, now)
        self._counters, self._lifecycle, self._discovery_client = (
            parts.counters,
            parts.lifecycle,
            parts.discovery_client,
        )
        self._leavers = ClientDrain(parts, self._leave)
        self._premises = ListenerTakeover(config, limits, now, parts, self._told, self._leavers.start)
        calls: dict[str, dict[str, DoorCall]] = {
            "/control/ready": {"GET": yes_or_no(lambda: self._lifecycle.ready(self._discovery_client.ready))},
            "/control/out-of-service": {"PUT": yes_or_no(self._out_of_service)},
            "/control/in-service": {"PUT": yes_or_no(self._in_service)},
        }
        self._hosting = self._host(fleet) if fleet is not None else None
        if self._hosting is not None:
            calls = self._hosting.calls(calls)
        most_body = MAX_BODY if self._hosting is not None else MOST_BODY
        self._door = Management(calls, most_callers(sockets), parts.clock, self._counters, most_body)

    def _host(self, fleet: FleetExtension) -> FleetHost:
        """Our side of the seam."""
        from lupinlink.net.fleet_host import Acts, FleetHost

        return FleetHost(
            fleet, self._config, self._parts, Acts(self._out_of_service, self._in_service, self._stop)
        )

    def run(self) -> int:
        """Serve until a signal ends it."""
        # From the first moment on: the system's own answer to these two is to end the process.
        signal.signal(signal.SIGHUP, self._on_reload)
        signal.signal(signal.SIGUSR1, self._on_show)
        try:
            self._discovery_client.start(self._config.initial_list)
        except ListError as exc:
            raise SettingsError(f"known: {exc}") from exc
        self._open_door()
        self._reactor.callWhenRunning(self._started)  # first: who reads that it serves may send SIGTERM
        self._premises.enter()
        if self._premises.fault is None:
            self._reactor.run()
        if self._premises.fault is not None:
            raise self._premises.fault
        self._counters.show("exit")
        return 0

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
        collect_by_time(self._parts.clock)
        measure(self._reactor, self._parts.clock.iterations)
        if self._hosting is not None:
            self._hosting.start()

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
        self._discovery_client.move(new.discovery)

    def _on_show(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._show)

    def _show(self) -> None:
        parts = self._parts
        self._counters.show(
            "signal",
            open=parts.proxy.open,
            servers_ready=self._discovery_client.ready,
            servers_listed=len(self._discovery_client),
            deadlines=len(parts.clock.deadlines),
            timers=len(parts.clock.timer_wheel),
            **parts.clients.gauges(),
            **self._door.gauges(),
            resident_mb=int(resident_mb()),
            **parts.clock.iterations.gauges(),
            **parts.servers.gauges(),
            **parts.proxy.gauges(),
        )

    def _on_stop(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._stop)

    def _told(self, drain: bool) -> None:
        if drain:
            self._out_of_service()
        else:
            self._in_service()

    def _out_of_service(self) -> bool:
        self._lifecycle.out_of_service(self._parts.clock.now())
        self._premises.pass_on(drain=True)
        self._leavers.start()
        return True

    def _in_service(self) -> bool:
        self._lifecycle.in_service()
        self._premises.pass_on(drain=False)
        return not self._lifecycle.stopping

    def _stop(self) -> None:
        if not self._lifecycle.stopping:
            self._lifecycle.stop(self._parts.clock.now())
            log.info("stopping", extra={"kv": {"open": self._parts.proxy.open}})
            if self._hosting is not None:
                self._hosting.stop()
            self._leavers.start()

    def _leave(self) -> None:
        """Nothing more can come here."""
        self._premises.leave()
        if self._hosting is not None:
            self._hosting.stop()
        self._discovery_client.stop()
        self._reactor.stop()


def serve(config: Config, load: Callable[[], Config], fleet: FleetExtension | None = None) -> int:
    """Run one proxy in this process; ``load`` reads its configuration anew, ``fleet`` is a fleet file's."""
    from twisted.internet import reactor

    logs.set_up(config.name, logs.level_of(os.environ))
    return Service(config, cast(Reactor, reactor), load, fleet).run()
