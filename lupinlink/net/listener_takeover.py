"""Takeover of the listening socket: from the process that serves at our address, and by a successor."""

from __future__ import annotations

import logging
import os
import socket
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, cast

from twisted.internet.error import CannotListenError

from lupinlink.limits.memory_account import limit_for
from lupinlink.net.clients import Listener
from lupinlink.net.clients.listener import BACKLOG
from lupinlink.net.components import Components
from lupinlink.net.discovery_client import ListError
from lupinlink.net.handover.capacity import (
    Capacity,
    Limits,
    Usage,
    capacity_for,
    shrunk,
    spare_of_old,
    usage,
)
from lupinlink.net.handover.channel import Channel, SuccessorListener, connect, socket_path
from lupinlink.net.handover.upgrade import Upgrade
from lupinlink.net.process import MIB, own_mb
from lupinlink.net.twisted_types import Port
from lupinlink.settings import Config, SettingsError

log = logging.getLogger("lupinlink.net.service")
TICK_MS = 100.0  # how often the state of an upgrade is checked


class ListenerTakeover:
    """Carries out an upgrade in this process; implements ``handover.upgrade.UpgradeHost``."""

    def __init__(
        self,
        config: Config,
        limits: Limits,
        capacity: Capacity,
        components: Components,
        set_drained: Callable[[bool], None],
        drain_clients: Callable[[], None],
    ) -> None:
        """``set_drained``: drain (True) or serve again; ``drain_clients``: start closing connections."""
        self._config, self._limits, self.capacity = config, limits, capacity
        self._set_drained, self._drain_clients = set_drained, drain_clients
        self._reactor, self._clock, self._lifecycle = (
            components.reactor,
            components.clock,
            components.lifecycle,
        )
        self._servers, self._discovery_client, self._proxy, self._clients = (
            components.servers, components.discovery_client, components.proxy, components.clients,
        )  # fmt: skip
        self._upgrade = Upgrade(self, config.name)
        components.proxy.sent.on_sent = self._upgrade.request_sent
        self._account = components.account
        self._account.limit_bytes = limit_for(capacity.spare_mb)
        self._tick_scheduled = False
        self._successor_listener: SuccessorListener | None = None
        self.error: SettingsError | None = None  # why this process cannot listen

    def start(self) -> None:
        """Ask the process that serves at our address to hand over, or listen at once if there is none."""
        predecessor = self._connect_to_predecessor()
        if predecessor is None:
            self.start_listening(None, {})
        else:
            channel = Channel(
                self._reactor, predecessor, self._on_message, lambda: self._upgrade.on_channel_end(channel)
            )
            self._upgrade.request_handover(channel, self._clock.now())
            self._schedule_tick()

    def measured_at_rest(self, rest_mb: float) -> None:
        """Note what this process takes before any client comes: what is left is for clients."""
        self._limits = replace(self._limits, rest_mb=rest_mb)
        if not self._upgrade.busy:
            self._resize(capacity_for(self._limits))

    def stop(self) -> None:
        """This process exits."""
        self._upgrade.stop()
        if self._successor_listener is not None:
            self._successor_listener.close()

    def pass_on(self, drain: bool) -> None:
        """Pass an operator's call on to the successor, if one serves: it gets the new clients."""
        self._upgrade.pass_on(drain)

    def _connect_to_predecessor(self) -> socket.socket | None:
        """A connection to the process that serves at our address, if there is one."""
        if not self._config.handover_dir or not self._config.listen[1]:
            return None
        path = socket_path(self._config.handover_dir, self._config.listen)
        self._successor_listener = SuccessorListener(self._reactor, path, self._on_successor_connected)
        return connect(path)

    def _on_successor_connected(self, connection: socket.socket) -> None:
        channel = Channel(
            self._reactor, connection, self._on_message, lambda: self._upgrade.on_channel_end(channel)
        )

    def _on_message(self, channel: Channel, message: Mapping[str, Any], descriptor: int | None) -> None:
        self._upgrade.on_message(channel, message, descriptor, self._clock.now())
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Check the upgrade regularly while another process takes part in it."""
        if not self._tick_scheduled and self._upgrade.busy:
            self._tick_scheduled = True
            self._clock.after(TICK_MS, self._tick)

    def _tick(self) -> None:
        self._tick_scheduled = False
        self._upgrade.tick(self._clock.now())
        self._schedule_tick()

    def make_offer(self) -> tuple[int | None, dict[str, Any]]:
        """For a successor: our listening socket, the list from discovery, and whether we are drained.

        A process that is stopping may have closed the socket, and may keep no list any more.
        """
        offer: dict[str, Any] = {"drained": self._lifecycle.drained, "sent": self._proxy.sent_identities()}
        if not self._discovery_client.stopped:
            offer["known"] = self._discovery_client.snapshot()
        port = self._clients.port
        return port.fileno() if port is not None else None, offer

    def start_listening(self, descriptor: int | None, offer: Mapping[str, Any]) -> None:
        """Listen on the descriptor or on a socket of our own, and serve once there are ready backends."""
        host, port = self._config.listen
        listening: Listener | None = None
        if descriptor is not None:
            try:
                with socket.socket(fileno=descriptor) as inherited:
                    listens = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
                    if listens and inherited.getsockname()[1] == port:
                        listening = Listener.on(inherited, self._clients, self._reactor)
            except OSError:
                os.close(descriptor)  # not a socket
            if listening is None:
                log.warning("what was handed over does not listen here")
        if listening is None:
            listening = Listener(port, self._clients, BACKLOG, host, self._reactor)  # type: ignore[arg-type]
            if self._config.handover_dir:
                listening.share()
        try:
            listening.startListening()
        except CannotListenError as exc:
            self.error = SettingsError(f"listen: {host}:{port}: {exc.socketError}")
            if self._reactor.running:
                self._reactor.stop()
            return
        self._clients.port = cast(Port, listening)
        if self._upgrade.busy:
            # While the predecessor served, no front held requests back, so connections that queue are new.
            self._clients.accept_queue.reading_stopped(self._clock.now())
        self._clients.listen()  # accepts only once this process serves
        if offer.get("drained"):
            self._set_drained(True)
        known = offer.get("known")
        if isinstance(known, dict):
            try:
                self._discovery_client.start(known)
            except ListError as exc:
                log.warning("list of the old process not used", extra={"kv": {"why": exc}})
        if self._upgrade.busy:
            self._assume_full_predecessor()
        self._serve_when_ready()

    def _assume_full_predecessor(self) -> None:
        """Until the old process reports its usage, assume that it uses up the limits."""
        self.on_predecessor_usage(usage(self._limits, capacity_for(self._limits), self._limits.memory_mb))

    def _serve_when_ready(self) -> None:
        """Accept clients; while an old process serves, wait until requests could be served here."""
        if self._upgrade.busy and not (self._discovery_client.ready and self._lifecycle.list_settled):
            self._clock.after(TICK_MS, self._serve_when_ready)
            return
        if self._lifecycle.serving:
            return
        if self._reactor.running:
            self._start_serving()
        else:
            self._reactor.callWhenRunning(self._start_serving)

    def _start_serving(self) -> None:
        if self._clients.port is None:  # closed, as this process is stopping
            return
        self._lifecycle.serve()
        self._clients.listen()
        self._upgrade.on_serving()
        if self._successor_listener is not None:
            self._successor_listener.open()
        where = self._clients.port.getHost()
        log.info("serving", extra={"kv": {"host": where.host, "port": where.port}})

    def on_successor_serving(self) -> None:
        """A successor serves: finish the open requests and accept no new connections."""
        self._lifecycle.hand_over(self._clock.now())
        self._clients.listen()
        self._drain_clients()

    def on_successor_ended(self) -> None:
        """The successor has ended while this process is still here: serve with the full limits again."""
        self._lifecycle.cancel_handover()
        self._resize(capacity_for(self._limits))
        self._clients.listen()
        if self._successor_listener is not None:
            self._successor_listener.open()

    def on_predecessor_usage(self, other: Usage | None) -> None:
        """Use the part of the proxy's limits that the old process leaves."""
        if not self._lifecycle.handed_over:
            self._resize(capacity_for(self._limits, other))

    def current_usage(self) -> Usage:
        """What this process uses; from now on it is limited to that."""
        counts = len(self._clients.connections), len(self._servers.connections), self._proxy.open
        spare_mb = spare_of_old(self.capacity.spare_mb, self._account.used_bytes / MIB)
        self._resize(shrunk(self._limits, *counts, spare_mb))
        return usage(self._limits, self.capacity, max(own_mb(), self._limits.rest_mb + spare_mb))

    def on_drain_changed(self, drain: bool) -> None:
        """An operator's call that reached the old process."""
        self._set_drained(drain)

    def on_requests_sent(self, identities: object) -> None:
        """Requests that the other process has sent, and that may not run here again."""
        if isinstance(identities, list) and all(isinstance(one, int) for one in identities):
            self._proxy.sent.sent_elsewhere(identities)

    def _resize(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self._account.limit_bytes = limit_for(capacity.spare_mb)
        self._clients.resize(capacity.clients, capacity.spare_mb)
        self._servers.resize(capacity.servers)
