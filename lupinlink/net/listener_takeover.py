"""The address where a proxy serves: how a process moves in, beside which other, and to whom it hands over."""

from __future__ import annotations

import logging
import os
import socket
from collections.abc import Callable, Mapping
from typing import Any, cast

from twisted.internet.error import CannotListenError

from lupinlink.net.clients import Listener
from lupinlink.net.clients.listener import BACKLOG
from lupinlink.net.components import Components
from lupinlink.net.discovery_client import ListError
from lupinlink.net.handover.capacity import Capacity, Limits, Usage, capacity_for, shrunk, usage
from lupinlink.net.handover.channel import Channel, Doorstep, call, place
from lupinlink.net.handover.upgrade import Upgrade
from lupinlink.net.process import resident_mb
from lupinlink.net.twisted_types import Port
from lupinlink.settings import Config, SettingsError

log = logging.getLogger("lupinlink.net.service")
UPGRADE_MS = 100.0  # how often an upgrade's state is looked at


class ListenerTakeover:
    """House of an upgrade: what it asks of this process."""

    def __init__(
        self,
        config: Config,
        limits: Limits,
        now: Capacity,
        parts: Components,
        told: Callable[[bool], None],
        see_off: Callable[[], None],
    ) -> None:
        """``told``: drain (True) or serve again; ``see_off``: clients are to go from now on."""
        self._config, self._limits, self.capacity = config, limits, now
        self._told, self._see_off = told, see_off
        self._reactor, self._clock, self._lifecycle = parts.reactor, parts.clock, parts.lifecycle
        self._servers, self._discovery_client, self._proxy, self._clients = (
            parts.servers, parts.discovery_client, parts.proxy, parts.clients,
        )  # fmt: skip
        self._upgrade = Upgrade(self, config.name)
        self._looking = False
        self._doorstep: Doorstep | None = None
        self.fault: SettingsError | None = None  # why it cannot serve here

    def enter(self) -> None:
        """Take the place over from who serves there, or move in at once."""
        old = self._find_old()
        if old is None:
            self.move_in(None, {})
        else:
            channel = Channel(self._reactor, old, self._heard, lambda: self._upgrade.ended(channel))
            self._upgrade.begin(channel, self._clock.now())
            self._look_after()

    def leave(self) -> None:
        """This process ends."""
        self._upgrade.leave()
        if self._doorstep is not None:
            self._doorstep.close()

    def pass_on(self, drain: bool) -> None:
        """An operator called here; with a successor, nobody arrives here any more."""
        self._upgrade.pass_on(drain)

    def _find_old(self) -> socket.socket | None:
        """The channel to a process that serves at our address, if one does."""
        if not self._config.handover_dir or not self._config.listen[1]:
            return None
        path = place(self._config.handover_dir, self._config.listen)
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
        """For a successor: our listening socket, discovery's list and whether we are drained."""
        assert self._clients.port is not None
        return self._clients.port.fileno(), {
            "known": self._discovery_client.snapshot(),
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
                        listening = Listener.on(theirs, self._clients, self._reactor)
            except OSError:
                os.close(handed)  # no socket at all
            if listening is None:
                log.warning("what was handed over does not listen here")
        if listening is None:
            listening = Listener(port, self._clients, BACKLOG, host, self._reactor)  # type: ignore[arg-type]
            if self._config.handover_dir:
                listening.share()
        try:
            listening.startListening()
        except CannotListenError as exc:
            self.fault = SettingsError(f"listen: {host}:{port}: {exc.socketError}")
            if self._reactor.running:
                self._reactor.stop()
            return
        self._clients.port = cast(Port, listening)
        if self._upgrade.busy:
            # A predecessor serves at this address, so no front held requests for it: what queues is new.
            self._clients.accept_queue.reading_stopped(self._clock.now())
        self._clients.listen()  # not before this process serves
        if offer.get("drained"):
            self._told(True)
        known = offer.get("known")
        if isinstance(known, dict):
            try:
                self._discovery_client.start(known)
            except ListError as exc:
                log.warning("list of the old process not used", extra={"kv": {"why": exc}})
        if self._upgrade.busy:
            self._beside_old()
        self._serve()

    def _beside_old(self) -> None:
        """Until the old process tells what it holds, next to nothing is left."""
        self.beside(usage(self._limits, capacity_for(self._limits), self._limits.memory_mb))

    def _serve(self) -> None:
        """Take clients; beside an old process only once a request could be served."""
        if self._upgrade.busy and not (self._discovery_client.ready and self._lifecycle.list_settled):
            self._clock.after(UPGRADE_MS, self._serve)
            return
        if self._lifecycle.serving:
            return
        if self._reactor.running:
            self._in_place()
        else:
            self._reactor.callWhenRunning(self._in_place)

    def _in_place(self) -> None:
        assert self._clients.port is not None
        self._lifecycle.serve()
        self._clients.listen()
        self._upgrade.serving()
        if self._doorstep is not None:
            self._doorstep.open()
        where = self._clients.port.getHost()
        log.info("serving", extra={"kv": {"host": where.host, "port": where.port}})

    def handed_over(self) -> None:
        """A successor serves: what is here ends with its answers, and no more comes."""
        self._lifecycle.hand_over(self._clock.now())
        self._clients.listen()
        self._see_off()

    def taken_back(self) -> None:
        """The successor has gone before us."""
        self._lifecycle.cancel_handover()
        self._resize(capacity_for(self._limits))
        self._clients.listen()
        if self._doorstep is not None:
            self._doorstep.open()

    def beside(self, other: Usage | None) -> None:
        """The rest of the proxy's limits is ours."""
        if not self._lifecycle.handed_over:
            self._resize(capacity_for(self._limits, other))

    def holds(self) -> Usage:
        """What this process holds, and no more than that from here on."""
        counts = len(self._clients.connections), len(self._servers.connections), self._proxy.open
        self._resize(shrunk(self._limits, *counts, self.capacity.spare_mb))
        return usage(self._limits, self.capacity, resident_mb())

    def told(self, drain: bool) -> None:
        """A call that reached the old process."""
        self._told(drain)

    def _resize(self, now: Capacity) -> None:
        self.capacity = now
        self._clients.resize(now.clients, now.spare_mb)
        self._servers.resize(now.servers)
