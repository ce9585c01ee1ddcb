"""The connection pools of all application servers; finds a connection for each attempt."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from twisted.internet.defer import Deferred

from lupinlink.interface import Endpoint, EndpointState, Status
from lupinlink.limits.connection_reuse import MAX_RESTING, ConnectionReuse, patience_ms, wait_ms
from lupinlink.limits.memory_account import Holding, MemoryAccount, MemoryKind, MemoryLevel
from lupinlink.net import http1
from lupinlink.net.application_servers.attempts import Attempt
from lupinlink.net.application_servers.dialling import Dial
from lupinlink.net.application_servers.idle_connections import IdleConnections, PooledConnection
from lupinlink.net.application_servers.kept_connection import KeptConnection
from lupinlink.net.application_servers.outcomes import probe_result
from lupinlink.net.application_servers.pool import Pool
from lupinlink.net.application_servers.request_encoding import encode_request
from lupinlink.net.application_servers.resting import RestingConnection
from lupinlink.net.counters import Counters
from lupinlink.net.log import LineLimit
from lupinlink.net.request_types import AttemptResult, ClientRequest, EndReason
from lupinlink.net.slots import Slots
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.net.twisted_types import Reactor
from lupinlink.settings import Settings

IDLE_LIMIT_SHARE = 0.6  # of the server's idle time-out, so that no request crosses the close
SWEEP_MS = 250.0
MAX_OPEN_SHARE = 0.8  # of the limit on connections; above it a new one replaces one that has not rested
PROBE_TIMEOUT_MS = 1000.0
CONNECTION_BYTES = 4 * 1024  # memory of the objects of one connection
ENTRY_BYTES = 2 * 1024  # memory of the objects of one application server, those of the decisions included


class ApplicationServers:
    """The pools, with one limit on the number of connections."""

    def __init__(
        self,
        reactor: Reactor,
        clock: ReactorClock,
        settings: Settings,
        cap: int,
        counters: Counters,
        account: MemoryAccount | None = None,
    ) -> None:
        self.clock, self.settings, self.counters = clock, settings, counters
        self.account = account or MemoryAccount()
        held = Holding(self.account, MemoryKind.SERVERS)
        self.connections: Slots[object] = Slots(cap, held, CONNECTION_BYTES)
        self.list_is_held: Callable[[], bool] = lambda: False
        self.read_pending_updates: Callable[[], bool] = lambda: False
        self.reuse, self.unrequested_lines = ConnectionReuse(), LineLimit()
        self.given_up_lines = LineLimit()
        self._reactor = reactor
        self._pools: dict[str, Pool] = {}
        self._listed_at_rest = 0
        self._idle = IdleConnections()
        self._idle_ms = settings.idle_close_ms * IDLE_LIMIT_SHARE
        self.account.listen(self._level_changed)
        clock.after(SWEEP_MS, self._sweep)

    def _level_changed(self, before: MemoryLevel, now: MemoryLevel) -> None:
        for connection in self.connections:
            if isinstance(connection, KeptConnection) and connection.connected:
                connection.set_read_size()

    def measured_at_rest(self) -> None:
        """Count the present list as part of the process at rest."""
        self._listed_at_rest = len(self._pools)
        self._count_entries()

    def _count_entries(self) -> None:
        self.account.kept_bytes = max(0, len(self._pools) - self._listed_at_rest) * ENTRY_BYTES

    def resize(self, cap: int) -> None:
        """Change the limit on connections; idle ones above it are closed at once, busy ones when they end."""
        self.connections.capacity = cap
        while len(self.connections) > cap and self._evict():
            pass

    def update_list(self, rows: list[tuple[Endpoint, str, int]], full: bool) -> None:
        """Apply rows of discovery's list; a new process or address of a known name gets a new pool."""
        named = {row.name for row, _, _ in rows}
        for row, host, port in rows:
            pool = self._pools.get(row.name)
            if pool is None or (pool.host, pool.port) != (host, port) or row.started_ms > pool.started_ms:
                if pool is not None:
                    pool.retire()
                pool = Pool(row.name, host, port, row.started_ms, self._idle)
                self._pools[row.name] = pool
            was_current, pool.current = pool.current, row.state == EndpointState.READY
            if not pool.current:
                if was_current:
                    pool.log_out_of_service(self.clock.now())
                pool.retire()
            if row.state == EndpointState.GONE:
                del self._pools[row.name]
        for name in [n for n in self._pools if n not in named] if full else ():
            pool = self._pools.pop(name)
            if pool.current:
                pool.log_out_of_service(self.clock.now())
            pool.retire()
        self._count_entries()

    def start(
        self,
        server: str,
        request: ClientRequest,
        timeout_ms: float,
        arrive_by_ms: float,
        wanted: Callable[[], bool],
    ) -> Attempt:
        """Start an attempt to send a client's request."""
        pool = self._pools.get(server)
        host = f"{pool.host}:{pool.port}" if pool is not None else server
        until, only_head = self.clock.now() + timeout_ms, request.method == "HEAD"
        encode = partial(encode_request, request, host)
        attempt = Attempt(self, server, encode, until, arrive_by_ms, wanted, only_head, request.identity)
        return self.send(attempt)

    def probe(self, server: str) -> Deferred[AttemptResult]:
        """Ask an application server whether it is alive, or for its load report."""
        target = "/metrics/load" if self.settings.reports_in_probes else "/alive"
        data = http1.request("GET", target, [("Host", server)])
        attempt = Attempt(self, server, lambda left: (data, None), self.clock.now() + PROBE_TIMEOUT_MS)
        return self.send(attempt).ended.addCallback(probe_result)

    def _rest_needed_ms(self, connection: PooledConnection, attempt: Attempt, now: float) -> float | None:
        """How long an attempt waits for this connection, which is out of its pool; None: open another."""
        if not connection.requests_carried:
            return 0.0
        pool, rested_ms = connection.pool, now - connection.idle_since
        dial_ms = 0.0 if self._may_open_more(pool) else pool.round_trip_ms
        patience = patience_ms(attempt.left_ms(), pool.usual_answer_ms, dial_ms)
        return wait_ms(rested_ms, pool.late_bytes.rest_ms(now), patience)

    def _may_open_more(self, pool: Pool) -> bool:
        """Whether one may be opened since those to this server have not rested; one is out of the pool."""
        has_room = len(self.connections) < MAX_OPEN_SHARE * self.connections.capacity
        return has_room and len(pool.idle) + 1 < MAX_RESTING

    def _return_not_rested(self, connection: PooledConnection) -> None:
        """Return a connection that has not rested; close the one that has rested least if they are many."""
        pool = connection.pool
        must_replace = not self._may_open_more(pool)
        pool.return_unused(connection)
        if must_replace and pool.idle:
            self._close_for_another(pool.idle[-1], EndReason.NOT_RESTED)

    def carry_on_kept(self, connection: PooledConnection, attempt: Attempt) -> bool:
        """Send the attempt on a connection that has rested; False if that may not be used any more."""
        now = self.clock.now()
        rested_ms, late_bytes = now - connection.idle_since, connection.pool.late_bytes
        if rested_ms >= self._idle_ms:
            connection.drop(EndReason.IDLE)
        elif connection.requests_carried and not self.reuse.may_carry(late_bytes, rested_ms, now):
            connection.drop(EndReason.ONE_REQUEST_ONLY)
        elif connection.usable():
            self.counters["connections_reused"] += 1
            connection.carry(attempt)
            return True
        return False

    def send(self, attempt: Attempt) -> Attempt:
        """Start an attempt on an idle connection, or on a new one."""
        pool, now = self._pools.get(attempt.server), self.clock.now()
        if pool is None or not pool.current:
            attempt.end(AttemptResult(Status.NOT_SENT, why=EndReason.NOT_IN_SERVICE))
            return attempt
        while pool.idle:
            connection = pool.take(now)
            rest_ms = self._rest_needed_ms(connection, attempt, now)
            if rest_ms is None:
                self._return_not_rested(connection)
                break
            if rest_ms > 0.0:
                self.counters["attempts_waiting_for_rest"] += 1
                RestingConnection(self, connection, attempt, rest_ms)
                return attempt
            if self.carry_on_kept(connection, attempt):
                return attempt
        if not attempt.may_begin(0.0):
            attempt.end(AttemptResult(Status.NOT_SENT, why=EndReason.NOT_BEGUN))
            return attempt
        if self.connections.full:
            self._evict()
        if self.connections.full:
            self.counters["attempts_over_cap"] += 1
            attempt.end(AttemptResult(Status.NOT_SENT, why=EndReason.OVER_CAP))
            return attempt
        self.counters["connections_opened"] += 1
        attempt.dial = Dial(self, pool, attempt)
        attempt.dial.start(self._reactor)
        return attempt

    def _evict(self) -> bool:
        """Close the connection that has been idle longest."""
        oldest = self._idle.oldest()
        if oldest is not None:
            self._close_for_another(oldest, EndReason.MADE_ROOM)
        return oldest is not None

    def _close_for_another(self, connection: PooledConnection, why: EndReason) -> None:
        """Close an idle connection for a new one. Its socket is freed one loop iteration later."""
        connection.pool.forget(connection)
        connection.drop(why)
        self.connections.remove(connection.handle)

    def _sweep(self) -> None:
        """Close idle connections well before their application server does."""
        limit = self.clock.now() - self._idle_ms
        while (connection := self._idle.oldest(limit)) is not None:
            connection.pool.forget(connection)
            connection.drop(EndReason.IDLE)
        self.clock.after(SWEEP_MS, self._sweep)

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        return {"server_connections_now": len(self.connections), "server_connections_idle": len(self._idle),
                "pools": len(self._pools)}  # fmt: skip

    def busy_servers(self) -> set[str]:
        """Application servers with a request in flight, or a connection being established for one."""
        resting = {id(one) for pool in self._pools.values() for one in pool.idle}
        busy = (getattr(one, "pool", None) for one in self.connections if id(one) not in resting)
        return {pool.name for pool in busy if isinstance(pool, Pool)}

    def is_reachable(self, server: str) -> bool:
        """Whether the last connection to it was established; True before the first."""
        pool = self._pools.get(server)
        return pool is None or pool.reached

    def close_idle(self, why: EndReason) -> None:
        """Close the idle connections to all servers."""
        while (connection := self._idle.oldest()) is not None:
            connection.pool.forget(connection)
            connection.drop(why)

    def close(self) -> None:
        """Close all idle connections, before the process exits."""
        for pool in self._pools.values():
            pool.retire()
