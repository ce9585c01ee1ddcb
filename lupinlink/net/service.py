"""One proxy process: startup, signals, configuration reload and exit."""

from __future__ import annotations

import logging
import math
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
from lupinlink.net.loop_iterations import measure_iterations
from lupinlink.net.management import MAX_OWN_BODY_BYTES, Handler, ManagementApi, connection_limit, yes_or_no
from lupinlink.net.memory_watch import MemoryWatch
from lupinlink.net.process import (
    collect_garbage_by_timer,
    freeze_startup_objects,
    limit_allocator,
    own_mb,
    raise_descriptor_limit,
    resident_mb,
)
from lupinlink.net.twisted_types import Reactor
from lupinlink.settings import Config, SettingsError

if TYPE_CHECKING:
    from lupinlink.net.fleet_extension import FleetExtension
    from lupinlink.net.fleet_host import FleetHost

log = logging.getLogger(__name__)
# A reload of the configuration does not change these.
RESTART_FIELDS = ("name", "listen", "mgmt", "sockets", "memory_mb", "settings")
MANAGEMENT_BACKLOG = 128


class Service:
    """Builds the components of the process, runs them and shuts them down."""

    def __init__(
        self,
        config: Config,
        reactor: Reactor,
        load: Callable[[], Config],
        fleet: FleetExtension | None = None,
    ) -> None:
        """``load`` reads the configuration again; ``fleet``: the extension that a fleet file adds."""
        self._config, self._reactor, self._load = config, reactor, load
        # By default Twisted schedules calls by the wall clock, and a change of it would shift deadlines.
        reactor.seconds = time.monotonic
        sockets = raise_descriptor_limit(config.sockets)
        callers = connection_limit(sockets) if config.mgmt else 0
        limits = Limits(sockets, config.memory_mb, callers, own_mb())
        capacity = capacity_for(limits)
        if capacity.clients + capacity.servers < MIN_CONNECTIONS:
            raise SettingsError(
                f"limits leave room for {max(0, capacity.clients + capacity.servers)} connections only;"
                " raise sockets or memory_mb"
            )
        components = self._components = build(config, reactor, capacity)
        self._counters, self._lifecycle, self._discovery_client = (
            components.counters,
            components.lifecycle,
            components.discovery_client,
        )
        self._memory_watch = MemoryWatch(components.account, components.clock, config.memory_mb)
        self._client_drain = ClientDrain(components, self._exit)
        self._takeover = ListenerTakeover(
            config, limits, capacity, components, self._set_drained, self._client_drain.start
        )
        calls: dict[str, dict[str, Handler]] = {
            "/control/ready": {"GET": yes_or_no(lambda: self._lifecycle.ready(self._discovery_client.ready))},
            "/control/out-of-service": {"PUT": yes_or_no(self._out_of_service)},
            "/control/in-service": {"PUT": yes_or_no(self._in_service)},
        }
        self._fleet_host = self._make_fleet_host(fleet) if fleet is not None else None
        if self._fleet_host is not None:
            calls = self._fleet_host.calls(calls)
        max_body_bytes = MAX_BODY if self._fleet_host is not None else MAX_OWN_BODY_BYTES
        self._management = ManagementApi(
            calls, connection_limit(sockets), components.clock, self._counters, max_body_bytes
        )

    def _make_fleet_host(self, fleet: FleetExtension) -> FleetHost:
        """Make what the extension may use of this service."""
        from lupinlink.net.fleet_host import FleetHost, ServiceActions

        return FleetHost(
            fleet,
            self._config,
            self._components,
            ServiceActions(self._out_of_service, self._in_service, self._stop),
        )

    def run(self) -> int:
        """Serve until a signal ends the process; returns the exit code. Raises SettingsError."""
        # Before anything else, since the default action of these two signals is to end the process.
        signal.signal(signal.SIGHUP, self._on_reload)
        signal.signal(signal.SIGUSR1, self._on_log_counters)
        try:
            self._discovery_client.start(self._config.initial_list)
        except ListError as exc:
            raise SettingsError(f"known: {exc}") from exc
        self._open_management()
        # Registered first, since SIGTERM may come as soon as the log says that the proxy serves.
        self._reactor.callWhenRunning(self._on_running)
        self._takeover.start()
        if self._takeover.error is None:
            self._reactor.run()
        if self._takeover.error is not None:
            raise self._takeover.error
        self._counters.show("exit")
        return 0

    def _open_management(self) -> None:
        if self._config.mgmt is None:
            return
        host, port = self._config.mgmt
        try:
            listener = self._reactor.listenTCP(port, self._management, MANAGEMENT_BACKLOG, host)
        except (CannotListenError, OSError) as exc:
            why = exc.socketError if isinstance(exc, CannotListenError) else exc
            raise SettingsError(f"mgmt: {host}:{port}: {why}") from exc
        log.info("door", extra={"kv": {"at": host, "mgmt_port": listener.getHost().port}})

    def _on_running(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop)
        freeze_startup_objects()
        collect_garbage_by_timer(self._components.clock)
        rest_mb = own_mb()
        self._components.servers.measured_at_rest()
        self._takeover.measured_at_rest(rest_mb)
        self._memory_watch.start(rest_mb)
        measure_iterations(self._reactor, self._components.clock.iterations)
        if self._fleet_host is not None:
            self._fleet_host.start()

    def _on_reload(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        """Load the configuration file again. If it is not valid, nothing changes."""
        self._counters["reloads"] += 1
        if self._lifecycle.stopping:
            log.info("reload ignored", extra={"kv": {"why": "stopping"}})
            return
        try:
            new = self._load()
        except Exception as exc:  # whatever is wrong with the file, the old configuration stays in use
            log.error("reload failed", extra={"kv": {"why": " ".join(str(exc).split())}})
            return
        changed = [name for name in RESTART_FIELDS if getattr(new, name) != getattr(self._config, name)]
        host, port = new.discovery
        kv = {"discovery": f"{host}:{port}", "needs_restart": ",".join(changed) or "nothing"}
        log.info("reloaded", extra={"kv": kv})
        self._discovery_client.move(new.discovery)

    def _on_log_counters(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._log_counters)

    def _log_counters(self) -> None:
        components = self._components
        self._counters.show(
            "signal",
            open=components.proxy.open,
            servers_ready=self._discovery_client.ready,
            servers_listed=len(self._discovery_client),
            deadlines=len(components.clock.deadlines),
            timers=len(components.clock.timer_wheel),
            **components.clients.gauges(),
            **self._management.gauges(),
            resident_mb=int(resident_mb()),
            **self._memory_watch.gauges(),
            **components.clock.iterations.gauges(),
            **components.servers.gauges(),
            **components.proxy.gauges(),
        )

    def _on_stop(self, number: int, frame: FrameType | None) -> None:
        # It was sent while this process was running or held up: not before the loop's last change was seen.
        self._reactor.callFromThread(self._stop, self._components.clock.last_change)

    def _set_drained(self, drain: bool) -> None:
        if drain:
            self._out_of_service()
        else:
            self._in_service()

    def _out_of_service(self) -> bool:
        self._lifecycle.out_of_service(self._components.clock.now())
        self._takeover.pass_on(drain=True)
        self._client_drain.start()
        return True

    def _in_service(self) -> bool:
        self._lifecycle.in_service()
        self._takeover.pass_on(drain=False)
        return not self._lifecycle.stopping

    def _stop(self, signalled_at: float = math.inf) -> None:
        if not self._lifecycle.stopping:
            self._lifecycle.stop(self._components.clock.now(), signalled_at)
            log.info("stopping", extra={"kv": {"open": self._components.proxy.open}})
            if self._fleet_host is not None:
                self._fleet_host.stop()
            self._client_drain.start()

    def _exit(self) -> None:
        """Shut down; no request can reach this process any more."""
        self._takeover.stop()
        if self._fleet_host is not None:
            self._fleet_host.stop()
        self._discovery_client.stop()
        self._reactor.stop()


def serve(config: Config, load: Callable[[], Config], fleet: FleetExtension | None = None) -> int:
    """Run one proxy in this process; arguments as for ``Service``. Returns the exit code."""
    from twisted.internet import reactor

    limit_allocator()
    logs.set_up(config.name, logs.level_of(os.environ))
    return Service(config, cast(Reactor, reactor), load, fleet).run()
