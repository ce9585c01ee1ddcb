"""The listener for clients, which accepts connections and decides which ones are kept."""

from __future__ import annotations

import select
import socket
import struct
from typing import cast

from twisted.internet.protocol import ServerFactory
from twisted.internet.tcp import Port as TcpPort

from lupinlink.limits.memory_account import MemoryAccount, MemoryLevel
from lupinlink.net import http1
from lupinlink.net.body_budget import BodyBudget
from lupinlink.net.clients.closing import CloseLog
from lupinlink.net.clients.connection import ClientConnection
from lupinlink.net.clients.connection_table import ConnectionTable
from lupinlink.net.clients.phases import Phase
from lupinlink.net.clients.queue_wait import QueueWait
from lupinlink.net.clients.request_reader import RequestReader
from lupinlink.net.clients.requests import Http1ClientConnection
from lupinlink.net.counters import Counters
from lupinlink.net.discovery_client import DiscoveryClient
from lupinlink.net.lifecycle import Lifecycle
from lupinlink.net.proxy import Proxy
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.net.twisted_types import Port
from lupinlink.settings import Settings

SWEEP_MS = 50.0
BODY_MEMORY_SHARE = 0.25  # of the memory that the program itself does not use, for all request bodies
BACKLOG = 1024  # capacity of the kernel's accept queue
# Linux: tcpi_unacked in struct tcp_info, which for a listener is the length of its accept queue.
TCPI_UNACKED_OFFSET = 24
MAX_ACCEPTS = 16  # connections accepted in one event loop iteration


def waiting(port: Port) -> bool:
    """Whether a listener's accept queue in the kernel has connections; does not block."""
    return bool(select.select([port.fileno()], [], [], 0.0)[0])


def queue_length(port: Port) -> int:
    """The length of a listener's accept queue in the kernel, never too low; above capacity if unknown."""
    if not waiting(port):
        return 0
    try:
        info = port.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCPI_UNACKED_OFFSET + 4)
        return int(struct.unpack_from("I", info, TCPI_UNACKED_OFFSET)[0]) or BACKLOG + 1
    except (OSError, struct.error):
        return BACKLOG + 1


class Listener(TcpPort):
    """The listening socket. A new process may share it, so closing it here never shuts it down.

    Accepts at most as many connections per event loop iteration as there is room for. Twisted would accept a
    whole burst; the connections above the limit would be closed unread, and requests written to them lost.
    """

    _shouldShutdown = False  # noqa: N815

    @classmethod
    def on(cls, listening: socket.socket, clients: Clients, reactor: object) -> Listener:
        """A listener on a socket that is listening already."""
        made = cls._fromListeningDescriptor(  # type: ignore[no-untyped-call]
            reactor, listening.fileno(), listening.family, clients
        )
        return cast(Listener, made)

    def share(self) -> None:
        """Allow a second process to bind the address, for systems that cannot hand over a socket."""
        self._reusePort = True

    def doRead(self) -> None:  # noqa: N802
        clients = cast(Clients, self.factory)
        # In a variable: while reading, Twisted sets numberAccepts to the number that it has accepted.
        most = self.numberAccepts = max(1, min(MAX_ACCEPTS, clients.room))
        before = clients.counters["clients"]
        super().doRead()  # type: ignore[no-untyped-call]
        if clients.accept_queue.since is None:
            return
        if clients.counters["clients"] - before < most or not waiting(self):
            clients.accept_queue_emptied()


class Clients(ServerFactory):
    """The factory and owner of all client connections, with one limit on their number."""

    noisy = False

    def __init__(
        self,
        proxy: Proxy,
        discovery_client: DiscoveryClient,
        clock: ReactorClock,
        settings: Settings,
        lifecycle: Lifecycle,
        cap: int,
        spare_mb: float,
        counters: Counters,
        account: MemoryAccount | None = None,
    ) -> None:
        self.proxy, self.clock, self.counters = proxy, clock, counters
        self.account = account or MemoryAccount()
        self._discovery_client, self._lifecycle = discovery_client, lifecycle
        self.port: Port | None = None
        self.accept_paused = False  # all connections are busy: none is accepted
        self.accept_queue = QueueWait()
        self.close_log = CloseLog()
        self.budget = BodyBudget(0, self.account)  # for all request bodies
        self.read_request = RequestReader(settings, self.budget).read
        table = self._table = ConnectionTable(cap, clock, counters, self.account)
        self.connections, self.phases, self.set_phase = table.connections, table.phases, table.set_phase
        self.streaming, self.uploading, self.unsent = table.streaming, table.uploading, table.unsent
        self.account.listen(self._level_changed)
        self.resize(cap, spare_mb)
        clock.after(SWEEP_MS, self._sweep)

    @property
    def ready(self) -> bool:
        """Whether a load balancer should send clients here."""
        return self._lifecycle.up(self._discovery_client.ready)

    @property
    def room(self) -> int:
        """How many more connections the limit allows."""
        return self.connections.capacity - len(self.connections)

    def keeps_open(self, client: ClientConnection) -> bool:
        """Whether a connection is kept open after its answer.

        Not while others wait in the accept queue: kept connections could leave them there for good.
        """
        if not self._lifecycle.keeps_connections() or self.accept_paused:
            return False
        stays = self._table.worth_keeping(client)
        self.counters["given_up_answered"] += not stays
        return stays

    def buildProtocol(self, addr: object) -> Http1ClientConnection | None:
        if self.connections.full and not self._table.make_room():
            self.counters["connections_over_cap"] += 1
            return None
        client = Http1ClientConnection(self)
        client.address = getattr(addr, "host", "")
        client.waited_ms = self.accept_queue.waited_ms(self.clock.now())
        self.accept_queue.accepted()
        client.handle = self.connections.add(client)
        self.set_phase(client, Phase.SILENT)
        self.counters["clients"] += 1
        if self.connections.full and not self._table.make_room():
            # Further connections wait in the accept queue until there is room, instead of being closed.
            self.accept_paused = True
            self.listen()
        return client

    def connection_lost(self, client: ClientConnection) -> None:
        """Note that a connection has ended."""
        self._table.forget(client)
        self._resume_accepting()

    def _level_changed(self, before: MemoryLevel, now: MemoryLevel) -> None:
        """Follow the level of memory pressure: how much is read, and whether connections are accepted."""
        for client in self.connections:
            if client.connected:
                client.set_read_size()
                if now < MemoryLevel.REFUSE:
                    client.reading_allowed()
        if now is MemoryLevel.CLOSE:
            self.accept_paused = True
            self.listen()
        else:
            self._resume_accepting()

    def _resume_accepting(self) -> None:
        short = self.account.level is MemoryLevel.CLOSE
        if self.accept_paused and not self.connections.full and not short:
            self.accept_paused = False
            self.listen()

    def listen(self) -> None:
        """Start or stop accepting, depending on the lifecycle and on whether there is room."""
        if self.port is not None:
            if self._lifecycle.accepts() and not self.accept_paused:
                self.port.startReading()
                if self.accept_queue.since is not None:
                    self._observe_queue()
                    if not waiting(self.port):
                        self.accept_queue.emptied()
            else:
                self.port.stopReading()
                if self.accept_queue.since is None:
                    self.accept_queue.reading_stopped(self.clock.now())

    def _observe_queue(self) -> None:
        if self.port is not None and self.accept_queue.since is not None:
            self.accept_queue.observed(self.clock.now(), queue_length(self.port))

    def accept_queue_emptied(self) -> None:
        """Note that the accept queue is empty: from now on connections are accepted as they arrive."""
        if self.port is not None and self._lifecycle.accepts() and not self.accept_paused:
            self.accept_queue.emptied()

    def resize(self, cap: int, spare_mb: float) -> None:
        """Change the limit on connections; existing ones above it stay until they end."""
        self.connections.capacity = cap
        self.budget.limit_bytes = max(2 * http1.MAX_BODY, int(spare_mb * BODY_MEMORY_SHARE * 1024.0 * 1024.0))
        self.accept_paused = self.connections.full or self.account.level is MemoryLevel.CLOSE
        self.listen()

    @property
    def queued(self) -> bool:
        """Whether the accept queue has connections that this process is to accept."""
        return self.port is not None and self._lifecycle.accepts() and waiting(self.port)

    @property
    def undelivered(self) -> int:
        """The number of connections whose client has not received all of its answer."""
        return sum(client.has_undelivered() for client in self.connections)

    def close_listener(self) -> None:
        """Accept nothing any more; a successor's descriptor of the same socket stays open."""
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()

    def close_idle(self, include_new: bool) -> None:
        """Close connections between requests; ``include_new``: also those without a request so far."""
        self._table.close_idle(include_new)

    def reject_unfinished(self) -> None:
        """Answer the requests that are not received whole, unless more of them has arrived."""
        self._table.reject_unfinished()

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        return {**self._table.gauges(), "bytes_held": self.budget.held_bytes}

    def _sweep(self) -> None:
        if self._lifecycle.accepts():
            # Without this, a burst that keeps the accept queue from running empty would make all new clients
            # count as having waited for an unknown time, and be refused, for as long as it lasts.
            self._observe_queue()
        # While nothing is accepted no other client needs the room, and a close may cross a request.
        self._table.sweep(rests=self._lifecycle.accepts())
        if self.accept_paused and self._table.make_room():
            self._resume_accepting()
        self.clock.after(SWEEP_MS, self._sweep)
