"""The listener, and which connections of clients are taken and kept."""

from __future__ import annotations

import select
import socket
import struct
from typing import cast

from twisted.internet.protocol import ServerFactory
from twisted.internet.tcp import Port as TcpPort

from lupinlink.net import http1
from lupinlink.net.bodies import BodyBudget
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
HELD_SHARE = 0.25  # of the memory beyond the program's own: bodies on their way in, all together
BACKLOG = 1024  # connections that the kernel's queue holds at most
QUEUED_AT = 24  # Linux: tcpi_unacked in struct tcp_info; of a listener, the connections in its queue
ACCEPTS = 16  # connections accepted a turn, where there is room for them


def waiting(port: Port) -> bool:
    """Whether connections wait in the kernel's queue of a listener, asked without waiting."""
    return bool(select.select([port.fileno()], [], [], 0.0)[0])


def queue_length(port: Port) -> int:
    """How many connections wait in the kernel's queue of a listener; never fewer than there are."""
    if not waiting(port):
        return 0
    try:
        info = port.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, QUEUED_AT + 4)
        return int(struct.unpack_from("I", info, QUEUED_AT)[0]) or BACKLOG + 1
    except (OSError, struct.error):
        return BACKLOG + 1


class Listener(TcpPort):
    """The clients' address. A successor may hold the same socket, so its end here never shuts it down.

    Accepts no more connections a turn than there is room for, so that the cap stops it in time.

    Twisted takes a whole burst in one turn; those beyond the cap would have to be closed unread, and
    a request that was already written to one of them would be lost.
    """

    _shouldShutdown = False  # noqa: N815

    @classmethod
    def on(cls, listening: socket.socket, clients: Clients, reactor: object) -> Listener:
        """A listener on a socket that listens already."""
        made = cls._fromListeningDescriptor(  # type: ignore[no-untyped-call]
            reactor, listening.fileno(), listening.family, clients
        )
        return cast(Listener, made)

    def share(self) -> None:
        """Where no socket can be handed over, a second process may bind the same address."""
        self._reusePort = True

    def doRead(self) -> None:  # noqa: N802
        clients = cast(Clients, self.factory)
        # Kept here: Twisted sets its own figure anew while it reads, to what it has just accepted.
        most = self.numberAccepts = max(1, min(ACCEPTS, clients.room))
        before = clients.counters["clients"]
        super().doRead()  # type: ignore[no-untyped-call]
        if clients.accept_queue.since is None:
            return
        if clients.counters["clients"] - before < most or not waiting(self):
            clients.watched()  # the kernel's queue is empty: what comes from now on is read as it comes


class Clients(ServerFactory):
    """The listener: it holds every connection of clients under one cap."""

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
    ) -> None:
        self.proxy, self.clock, self.counters = proxy, clock, counters
        self._discovery_client, self._lifecycle = discovery_client, lifecycle
        self.port: Port | None = None
        self.accept_paused = False  # full of busy connections: the listener is not read
        self.accept_queue = QueueWait()
        self.budget = BodyBudget(0)  # for all bodies on their way in
        self.read = RequestReader(settings, self.budget).read
        places = self._places = ConnectionTable(cap, clock, counters)
        self.connections, self.phases, self.enter = places.connections, places.phases, places.enter
        self.streaming, self.uploading = places.streaming, places.uploading
        self.resize(cap, spare_mb)
        clock.after(SWEEP_MS, self._sweep)

    @property
    def ready(self) -> bool:
        """Whether a front should send clients here."""
        return self._lifecycle.up(self._discovery_client.ready)

    @property
    def room(self) -> int:
        """How many more connections the cap allows."""
        return self.connections.capacity - len(self.connections)

    def keeps(self, client: ClientConnection) -> bool:
        """Whether a connection that has its answer stays.

        While others wait in the kernel's queue, a kept connection would leave them there for good.
        """
        if not self._lifecycle.keeps_connections() or self.accept_paused:
            return False
        stays = self._places.worth_keeping(client)
        self.counters["given_up_answered"] += not stays
        return stays

    def buildProtocol(self, addr: object) -> Http1ClientConnection | None:
        if self.connections.full and not self._places.make_room():
            self.counters["connections_over_cap"] += 1
            return None
        client = Http1ClientConnection(self)
        client.address = getattr(addr, "host", "")
        client.held_ms = self.accept_queue.waited_ms(self.clock.now())
        self.accept_queue.accepted()
        client.handle = self.connections.add(client)
        self.enter(client, Phase.SILENT)
        self.counters["clients"] += 1
        if self.connections.full and not self._places.make_room():
            # The rest waits in the kernel's queue until there is room, instead of being turned away.
            self.accept_paused = True
            self.listen()
        return client

    def lost(self, client: ClientConnection) -> None:
        """A connection has ended."""
        self._places.forget(client)
        self._uncrowd()

    def _uncrowd(self) -> None:
        if self.accept_paused and not self.connections.full:
            self.accept_paused = False
            self.listen()

    def listen(self) -> None:
        """Read the listener or leave it, as the service's state and the room here have it."""
        if self.port is not None:
            if self._lifecycle.accepts() and not self.accept_paused:
                self.port.startReading()
                if self.accept_queue.since is not None:
                    self._look_at_queue()
                    if not waiting(self.port):
                        self.accept_queue.ended()  # nobody queued meanwhile
            else:
                self.port.stopReading()
                if self.accept_queue.since is None:
                    self.accept_queue.reading_stopped(self.clock.now())

    def _look_at_queue(self) -> None:
        if self.port is not None and self.accept_queue.since is not None:
            self.accept_queue.looked(self.clock.now(), queue_length(self.port))

    def watched(self) -> None:
        """The listener has been read empty: connections from now on are taken as they come."""
        if self.port is not None and self._lifecycle.accepts() and not self.accept_paused:
            self.accept_queue.ended()

    def resize(self, cap: int, spare_mb: float) -> None:
        """Have room for so many connections; whoever is beyond it stays until it goes."""
        self.connections.capacity = cap
        self.budget.limit_bytes = max(2 * http1.MAX_BODY, int(spare_mb * HELD_SHARE * 1024.0 * 1024.0))
        self.accept_paused = self.connections.full
        self.listen()

    @property
    def queued(self) -> bool:
        """Whether connections wait in the kernel's queue that this process is to take."""
        return self.port is not None and self._lifecycle.accepts() and waiting(self.port)

    def close_idle(self, include_new: bool) -> None:
        """Close what is between requests; ``unasked``: also who has not asked anything yet."""
        self._places.close_idle(include_new)

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        return {**self._places.gauges(), "bytes_held": self.budget.held_bytes}

    def _sweep(self) -> None:
        if self._lifecycle.accepts():
            # Danger: a crowd that keeps the listener from being read to its end would have all new clients
            # taken for held ones, and turned away, for as long.
            self._look_at_queue()
        # Without a listener nobody wants a place here, and a close may cross a request.
        self._places.sweep(rests=self._lifecycle.accepts())
        if self.accept_paused and self._places.make_room():
            self._uncrowd()
        self.clock.after(SWEEP_MS, self._sweep)
