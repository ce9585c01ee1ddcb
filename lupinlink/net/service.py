"""One real proxy as a process: startup, signals, exit."""

from __future__ import annotations

import gc
import logging
import resource
import signal
import time
from collections.abc import Callable
from types import FrameType
from typing import cast

from twisted.internet.error import CannotListenError

from lupinlink.interface import Endpoint, MembershipKind
from lupinlink.net import log as logs
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.counters import Counters
from lupinlink.net.farm import Farm, ListError
from lupinlink.net.proxy import Proxy
from lupinlink.net.typed import Port, Reactor
from lupinlink.net.user_agents import Listener, UserAgents
from lupinlink.net.wheel import Clockwork
from lupinlink.settings import Config, SettingsError

log = logging.getLogger(__name__)
RESERVE, RESERVE_SHARE = 24, 0.05  # descriptors for all else: listener, watch, log, reactor, closing ones
# Measured: 21 MB with the program at rest, 24 with 200 connections at work. Bodies on their way in have a
# common budget of their own (user_agents.HELD_SHARE), so a connection needs no room for the largest one.
BASE_MB, CONNECTION_MB = 25.0, 0.016
AGENT_SHARE = 0.55  # of the rest; user agents keep idle connections, pools give theirs up
LEAST_CONNECTIONS = 16
FIXED = ("name", "listen", "sockets", "memory_mb", "settings")  # what a reload cannot change
BACKLOG = 1024
COLLECT_MS = 5000.0  # with what startup made set aside it takes a millisecond or two
# After SIGTERM: connections keep coming for up to 0.4 s, and the kill comes 3.7 s after it at the
# earliest. So idle connections are closed after the last new one may have come, and what is still
# open shortly before the kill gets its answer then.
CLOSE_IDLE_MS, QUIET_MS, LAST_MS, CHECK_MS = 500.0, 700.0, 3400.0, 20.0


def allowed(sockets: int) -> int:
    """As many descriptors as told, or fewer where the system grants this process fewer."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < sockets:
        soft = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        return soft
    return sockets


class Service:
    """Puts the parts together and takes them down again."""

    def __init__(self, config: Config, reactor: Reactor, load: Callable[[], Config]) -> None:
        self._config, self._reactor, self._load = config, reactor, load
        # Twisted times calls by the wall clock, which may be set; deadlines must not follow it.
        reactor.seconds = time.monotonic
        self._counters = Counters()
        self._clock = Clockwork(reactor)
        settings = config.settings
        sockets = allowed(config.sockets)
        usable = sockets - max(RESERVE, int(sockets * RESERVE_SHARE))
        usable = min(usable, int((config.memory_mb - BASE_MB) / CONNECTION_MB))
        if usable < LEAST_CONNECTIONS:
            raise SettingsError(f"limits leave room for {max(0, usable)} connections only")
        agents = int(usable * AGENT_SHARE)
        self._servers = ApplicationServers(
            reactor,
            self._clock,
            settings,
            usable - agents,
            config.memory_mb - BASE_MB,
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
        self._agents = UserAgents(
            self._proxy,
            self._farm,
            self._clock,
            settings,
            agents,
            config.memory_mb - BASE_MB,
            self._counters,
        )
        self._farm.news = self._news
        self._stopping_since: float | None = None

    def run(self) -> int:
        """Serve until a signal ends it."""
        # From the first moment on: the system's own answer to these two is to end the process.
        signal.signal(signal.SIGHUP, self._on_reload)
        signal.signal(signal.SIGUSR1, self._on_show)
        try:
            self._farm.start(self._config.known)
        except ListError as exc:
            raise SettingsError(f"known: {exc}") from exc
        host, port = self._config.listen
        try:
            listening = Listener(port, self._agents, BACKLOG, host, self._reactor)  # type: ignore[arg-type]
            listening.startListening()
        except CannotListenError as exc:
            raise SettingsError(f"listen: {host}:{port}: {exc.socketError}") from exc
        self._agents.port = cast(Port, listening)
        self._reactor.callWhenRunning(self._started)
        self._reactor.run()
        self._counters.show("exit")
        return 0

    def _started(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop)
        # What startup has made stays for good; collections over it would only be pauses.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20000, 20, 50)
        self._clock.after(COLLECT_MS, self._collect)
        assert self._agents.port is not None
        where = self._agents.port.getHost()
        log.info("serving", extra={"kv": {"host": where.host, "port": where.port}})

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
        if self._stopping_since is not None:
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
            **self._servers.gauges(),
            **self._proxy.gauges(),
        )

    def _on_stop(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._stop)

    def _stop(self) -> None:
        if self._stopping_since is None:
            self._stopping_since = self._clock.now()
            self._agents.stopping = True
            log.info("stopping", extra={"kv": {"open": self._proxy.open}})
            self._clock.after(CLOSE_IDLE_MS, self._check)

    def _check(self) -> None:
        """Go once all that was taken is answered and nothing more can come."""
        assert self._stopping_since is not None
        since = self._clock.now() - self._stopping_since
        if since >= LAST_MS:
            self._proxy.end_all()
        left = not self._agents.close_idle()
        if since >= LAST_MS + 200.0 or (since >= QUIET_MS and not left and not self._proxy.open):
            self._farm.stop()
            self._reactor.stop()
        else:
            self._clock.after(CHECK_MS, self._check)


def serve(config: Config, load: Callable[[], Config]) -> int:
    """Run one proxy in this process; ``load`` reads its configuration anew."""
    from twisted.internet import reactor

    logs.set_up(config.name)
    return Service(config, cast(Reactor, reactor), load).run()
