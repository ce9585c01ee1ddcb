"""Application servers: their connection pools and the proxy passes that travel on them."""

from __future__ import annotations

import logging
import socket
from contextlib import suppress
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.interface import Endpoint, EndpointState, Status
from lupinlink.net import http1
from lupinlink.net.bodies import SMALL_BYTES, Body, Flow
from lupinlink.net.counters import Counters
from lupinlink.net.slots import Slots
from lupinlink.net.terms import Call, PassEnd, Reply
from lupinlink.net.typed import READ_BYTES, Connector, Reactor, Transport
from lupinlink.net.wheel import Clockwork, Timer
from lupinlink.settings import SOCKET_FIELDS, Settings

log = logging.getLogger(__name__)
IDLE_SHARE = 0.6  # of the application server's idle limit: a request must never meet its close half-way
SWEEP_MS = 250.0
PROBE_MS = 1000.0
WHOLE_MS = 300.0  # once an answer has begun, so long may nothing more of it come
# An answer that says it is longer than a small one is passed on once so much is here: a wrong length on a
# small one shows before, and can still be made up for elsewhere. One that does not say is likely to be long
# once it is longer than most.
FIRST_BYTES, UNTOLD_BYTES = 2 * 1024, 16 * 1024
FLOW_STILL_MS = 15000.0  # so long may an answer that is being passed on bring nothing more
FLOW_LOOK_MS = 1000.0
STALL_MS = 5000.0  # so long may an application server take nothing of a body
WRITE_BYTES = FLOW_READ_BYTES = 64 * 1024
MOST_BUSY, MOST_FIGURE, MOST_REPORT = 16.0, 1e6, 1024  # beyond these a load report is noise
REPLACED = ("x-expires-in-ms", "host")
KEPT = ("content-type", "content-encoding", "etag", "last-modified", "cache-control")  # of an answer's


def read_report(text: str | None) -> dict[str, float] | None:
    """``TEXT inflight=7, util=0.61`` as the module names it; unknown and unreadable figures are skipped.

    A figure that no server can mean (nan, inf, below zero, a million cores) is one that can't be read.
    """
    if not text:
        return None
    report = {}
    for pair in text[:MOST_REPORT].strip().removeprefix("TEXT").split(","):
        name, _, value = pair.strip().partition("=")
        if name in SOCKET_FIELDS:
            with suppress(ValueError):
                known, figure = SOCKET_FIELDS[name], float(value)
                if 0.0 <= figure <= (MOST_BUSY if known == "utilization" else MOST_FIGURE):
                    report[known] = figure
    return report or None


def kept(message: http1.Message) -> list[tuple[str, str]]:
    """The headers of an answer that go on to the user agent."""
    return [(n, v) for n, v in message.headers if n.lower() in KEPT]


def outcome(message: http1.Message) -> PassEnd:
    """What an answer says of the pass."""
    report = read_report(message.get("endpoint-load-metrics"))
    if message.status == 200:
        return PassEnd(Status.OK, Reply(kept(message), message.body), report)
    if message.status in (503, 504) and message.get("x-never-ran") == "1":
        return PassEnd(Status.OVERLOADED, None, report)
    if 400 <= message.status < 500 and message.status not in (408, 429):
        return PassEnd(Status.REJECTED, None, report)
    return PassEnd(Status.ERROR, None, report)  # it may have run


class Pass:
    """One proxy pass: ``ended`` fires once, after its connection was given back or closed."""

    def __init__(
        self,
        servers: ApplicationServers,
        server: str,
        data: bytes,
        until_ms: float,
        body: Body | None = None,
        only_head: bool = False,
    ) -> None:
        """``data``: what goes out first; ``body``: what follows it as it comes."""
        self.ended: Deferred[PassEnd] = Deferred()
        self.server, self.data, self.body, self.only_head = server, data, body, only_head
        self.connection: Connection | None = None
        self.dial: Dial | None = None
        self._servers = servers
        self._open = True
        self._deadline = servers.clock.at(until_ms, lambda: self.give_up(Status.TIMEOUT))

    def end_by(self, at_ms: float) -> None:
        """Another time to stop waiting at."""
        if self._open:
            self._servers.clock.drop(self._deadline)
            self._deadline = self._servers.clock.at(at_ms, lambda: self.give_up(Status.TIMEOUT))

    def end(self, end: PassEnd) -> None:
        """The outcome; later ones find nothing to end."""
        if self._open:
            self._open = False
            self._servers.clock.drop(self._deadline)
            self.ended.callback(end)

    def give_up(self, status: Status) -> None:
        """Stop waiting; the connection is closed before anything else can go out."""
        if not self._open:
            return
        dial, connection = self.dial, self.connection
        self.dial = self.connection = None
        if dial is not None:
            dial.abandon()
        if connection is not None:
            connection.drop()
        self.end(PassEnd(status))


@implementer(IPullProducer)
class Connection(Protocol):
    """One connection to an application server: one proxy pass at a time, idle in its pool between.

    As a pull producer it learns when the kernel has taken a request's last byte: a break before that
    proves that the request never ran, a break after it does not.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, servers: ApplicationServers, pool: Pool, dial: Dial) -> None:
        self._servers, self.pool, self._dial = servers, pool, dial
        self._pass: Pass | None = None
        self._parser = http1.AnswerParser(http1.MAX_MESSAGE)
        self._unsent: bytes | None = None
        self._body: Body | None = None  # of the request, while some of it is still to be sent
        self._sent = 0  # bytes of it that have gone out
        self._starved = False  # it has no more at the moment
        self._written = True
        self._whole_by: Timer | None = None
        self._flow: Flow | None = None  # the answer that is being passed on as it comes
        self._heard_at = 0.0
        self._held_back = False  # by the user agent, which does not read
        self.idle_since = 0.0
        self.handle = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self._dial.made(self)

    def carry(self, proxy_pass: Pass) -> None:
        """Send a pass's request."""
        self._pass, proxy_pass.connection = proxy_pass, self
        self._unsent, self._written = proxy_pass.data, False
        self._body, self._sent, self._starved = proxy_pass.body, 0, False
        self._parser.asked_for_head = proxy_pass.only_head
        if self._body is not None:
            self._body.more = self._more
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """All that was written has gone to the kernel."""
        if self._unsent is not None:
            data, self._unsent = self._unsent, None
            self.transport.write(data)
        elif self._body is not None:
            self._pump()
        else:
            self._written = True
            self.transport.unregisterProducer()

    def _more(self) -> None:
        if self._starved or (self._body is not None and self._body.broken):
            self._starved = False
            self._pump()

    def _pump(self) -> None:
        """Send on what is here of the request's body."""
        body = self._body
        assert body is not None
        if body.broken:
            # Its end is never to be written, so it never runs.
            self._finish(PassEnd(Status.NOT_SENT), reuse=False)
            return
        data = body.read(self._sent, WRITE_BYTES)
        self._sent += len(data)
        last = body.whole and self._sent == body.end
        if last:
            self._body, body.more = None, None
        out = data
        if body.length is None:
            out = http1.chunk(data) + (http1.LAST_CHUNK if last else b"")
        self._settle()
        if out:
            self.transport.write(out)
            self._whole_by = self._servers.clock.after(STALL_MS, self._stalled)
        elif last:
            self.resumeProducing()
        else:
            self._starved = True
        body.sent(self._sent)

    def _stalled(self) -> None:
        if self._pass is not None and not self._written:
            self._servers.counters["uploads_stalled"] += 1
            self._finish(PassEnd(Status.NOT_SENT), reuse=False)

    def stopProducing(self) -> None:
        pass  # connectionLost follows

    def drop(self) -> None:
        """Close at once. Twisted closes on its next turn, after other writes: the end must go first."""
        self._pass = None
        self._settle()
        self._let_body_go()
        with suppress(OSError, AttributeError):
            self.transport.getHandle().shutdown(socket.SHUT_RDWR)
        self.transport.abortConnection()

    def stale(self) -> bool:
        """Whether this idle connection has ended, or brought what nobody asked for: no request may meet it.

        Danger: bytes that came behind the last answer would be taken for the answer to the next request.
        """
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def dataReceived(self, data: bytes) -> None:
        if self._pass is None and self._flow is None:
            self.pool.forget(self)
            self.transport.abortConnection()  # nothing was asked
            return
        self._parser.feed(data)
        try:
            message = self._parser.next()
            while message is not None and message.status < 200:
                message = self._parser.next()
        except http1.MessageError as exc:
            self._servers.counters["broken_answers"] += 1
            log.warning("broken answer", extra={"kv": {"server": self.pool.name, "why": exc}})
            if self._flow is not None:
                self._end_flow(None)
            else:
                self._finish(PassEnd(Status.RESET if self._written else Status.NOT_SENT), reuse=False)
            return
        if self._flow is not None:
            self._flowed(message)
        elif not self._written:
            self._early(message)
        elif message is not None:
            end = outcome(message)
            if self._parser.asked_for_head and end.reply is not None:
                length = message.get("content-length")
                end.reply.length = int(length.partition(",")[0]) if length is not None else None
            self._finish(end, reuse=not self._parser.buffer and message.keeps_open())
        elif self._parser.begun():
            self._settle()
            if self._ripe():
                self._begin_flow()
            else:
                self._whole_by = self._servers.clock.after(WHOLE_MS, self._unfinished)

    def _early(self, message: http1.Message | None) -> None:
        """No answer precedes its request; nor can that one run now, with its end never to be written.

        Only that it was turned away unseen says more than that. What is announced (1xx) changes nothing.
        """
        if message is None and not self._parser.begun():
            return
        self._servers.counters["early_answers"] += 1
        end = outcome(message) if message is not None else PassEnd(Status.NOT_SENT)
        self._finish(end if end.status == Status.OVERLOADED else PassEnd(Status.NOT_SENT), reuse=False)

    def _ripe(self) -> bool:
        """Whether an answer is seen to be a long one that is worth passing on."""
        head, length = self._parser.head, self._parser.length
        if head is None or head.status != 200:
            return False
        if length is None:
            return self._parser.came > UNTOLD_BYTES
        return length > SMALL_BYTES and self._parser.came >= FIRST_BYTES

    def _begin_flow(self) -> None:
        """Pass the answer on as it comes. For its pass that is the end; the connection stays busy."""
        head, proxy_pass = self._parser.head, self._pass
        assert head is not None and proxy_pass is not None
        self._servers.counters["flows"] += 1
        self._flow = Flow(self._parser.length, self._hold_back, self._go_on, self._abandon_flow)
        self._pass, proxy_pass.connection = None, None
        self._heard_at = self._servers.clock.now()
        self._whole_by = self._servers.clock.after(FLOW_LOOK_MS, self._look_at_flow)
        self.transport.bufferSize = FLOW_READ_BYTES
        report = read_report(head.get("endpoint-load-metrics"))
        proxy_pass.end(PassEnd(Status.OK, Reply(kept(head), self._parser.drain(), self._flow), report))

    def _flowed(self, message: http1.Message | None) -> None:
        """More of the answer that is being passed on, or its end."""
        assert self._flow is not None
        self._heard_at = self._servers.clock.now()
        if message is not None:
            self._end_flow(message, reuse=not self._parser.buffer and message.keeps_open())
        else:
            self._flow.data(self._parser.drain())

    def _end_flow(self, message: http1.Message | None, reuse: bool = False) -> None:
        """``message``: holds the last bytes; None: it broke off."""
        flow, self._flow = self._flow, None
        assert flow is not None
        self._settle()
        self.transport.bufferSize = READ_BYTES
        self._rest(reuse)
        if message is None:
            self._servers.counters["flows_broken"] += 1
            flow.broken()
        else:
            flow.data(message.body)
            flow.ended()

    def _look_at_flow(self) -> None:
        self._whole_by = None
        now = self._servers.clock.now()
        if self._held_back:
            self._heard_at = now
        if now - self._heard_at > FLOW_STILL_MS:
            self._end_flow(None)
        else:
            self._whole_by = self._servers.clock.after(FLOW_LOOK_MS, self._look_at_flow)

    def _hold_back(self) -> None:
        if self._flow is not None and not self._held_back:
            self._held_back = True
            self.transport.pauseProducing()

    def _go_on(self) -> None:
        if self._held_back:
            self._held_back = False
            self.transport.resumeProducing()

    def _abandon_flow(self) -> None:
        """The user agent has gone."""
        if self._flow is not None:
            self._flow = None
            self.drop()

    def _unfinished(self) -> None:
        self._servers.counters["unfinished_answers"] += 1
        if self._pass is not None:
            self._finish(PassEnd(Status.RESET), reuse=False)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.pool.forget(self)
        self._servers.connections.remove(self.handle)
        self._settle()
        self._let_body_go()
        # Without a length, only an orderly end that was announced shows that the answer is whole.
        message = self._parser.eof() if isinstance(reason.value, ConnectionDone) else None
        if message is not None and message.keeps_open():
            message = None
        if self._flow is not None:
            self._end_flow(message)
        elif self._pass is not None:
            if message is not None and self._written:
                end = outcome(message)
            else:
                end = PassEnd(Status.RESET if self._written else Status.UNREACHABLE)
            proxy_pass, self._pass = self._pass, None
            proxy_pass.connection = None
            proxy_pass.end(end)

    def _settle(self) -> None:
        if self._whole_by is not None:
            self._whole_by.drop()
            self._whole_by = None

    def _finish(self, end: PassEnd, reuse: bool) -> None:
        self._settle()
        proxy_pass, self._pass = self._pass, None
        assert proxy_pass is not None
        proxy_pass.connection = None
        self._rest(reuse)
        proxy_pass.end(end)

    def _rest(self, reuse: bool) -> None:
        """Back to the pool, or closed."""
        self._go_on()
        if reuse and self.pool.current:
            self.idle_since = self._servers.clock.now()
            self.pool.idle.append(self)
        else:
            self.drop()

    def _let_body_go(self) -> None:
        """What is still to be sent of a request never will be, from here."""
        body, self._body = self._body, None
        if body is not None:
            body.more = None


class Dial(ClientFactory):
    """One connection on its way up, for one pass."""

    noisy = False

    def __init__(self, servers: ApplicationServers, pool: Pool, proxy_pass: Pass) -> None:
        self._servers, self._pool = servers, pool
        self._pass: Pass | None = proxy_pass
        self._timer: Timer | None = None
        self._connector: Connector | None = None
        self.handle = servers.connections.add(self)

    def start(self, reactor: Reactor) -> None:
        self._timer = self._servers.clock.after(self._servers.settings.dial_timeout_ms, self._too_slow)
        pool = self._pool
        # Twisted's own time-out is off: the wheel has it.
        connector = reactor.connectTCP(pool.host, pool.port, self, timeout=None)
        if self._timer is not None:
            self._connector = connector

    def buildProtocol(self, addr: object) -> Connection:
        connection = Connection(self._servers, self._pool, self)
        self._servers.connections.remove(self.handle)
        connection.handle = self._servers.connections.add(connection)
        return connection

    def made(self, connection: Connection) -> None:
        """It is up."""
        self._pool.dialled()
        proxy_pass = self._settle()
        if proxy_pass is None:
            connection.drop()
        else:
            connection.carry(proxy_pass)

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        self._servers.connections.remove(self.handle)
        proxy_pass = self._settle()
        if proxy_pass is not None:
            self._servers.counters["dials_failed"] += 1
            self._pool.dialled(reason.getErrorMessage())
            proxy_pass.end(PassEnd(Status.UNREACHABLE))

    def abandon(self) -> None:
        """Nobody waits for it any more."""
        self._settle()
        if self._connector is not None:
            with suppress(Exception):
                self._connector.stopConnecting()

    def _too_slow(self) -> None:
        proxy_pass = self._pass
        self.abandon()
        if proxy_pass is not None:
            self._servers.counters["dials_too_slow"] += 1
            self._pool.dialled("too slow")
            proxy_pass.end(PassEnd(Status.UNREACHABLE))

    def _settle(self) -> Pass | None:
        proxy_pass, self._pass = self._pass, None
        if self._timer is not None:
            self._timer.drop()
            self._timer = None
        if proxy_pass is not None:
            proxy_pass.dial = None
        return proxy_pass


@dataclass(slots=True, eq=False)
class Pool:
    """The connections to one process of an application server."""

    name: str
    host: str
    port: int
    started_ms: float
    current: bool = True  # False: that process is gone, or wants nothing more
    reached: bool = True  # whether the last connection came up; its changes are logged, not each failure
    idle: list[Connection] = field(default_factory=list)  # the most recently used last

    def dialled(self, why: str = "") -> None:
        """A connection came up, or did not and why."""
        if self.reached == bool(why):
            self.reached = not why
            what = "application server out of reach" if why else "application server in reach again"
            log.info(what, extra={"kv": {"server": self.name, "why": why or "connected"}})

    def forget(self, connection: Connection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)

    def void(self) -> None:
        """Close what is idle; what is busy closes after its pass."""
        self.current = False
        while self.idle:
            self.idle.pop().drop()


class ApplicationServers:
    """All pools, under one cap on connections."""

    def __init__(
        self,
        reactor: Reactor,
        clock: Clockwork,
        settings: Settings,
        cap: int,
        counters: Counters,
    ) -> None:
        self.clock, self.settings, self.counters = clock, settings, counters
        self.connections: Slots[Dial | Connection] = Slots(cap)
        self._reactor = reactor
        self._pools: dict[str, Pool] = {}
        self._idle_ms = settings.idle_close_ms * IDLE_SHARE
        clock.after(SWEEP_MS, self._sweep)

    def resize(self, cap: int) -> None:
        """Have room for so many connections; idle ones beyond it go at once, busy ones when they end."""
        self.connections.capacity = cap
        while len(self.connections) > cap and self._evict():
            pass

    def learn(self, rows: list[tuple[Endpoint, str, int]], full: bool) -> None:
        """The farm's list: a new process under a known name, or a new address, voids the old pool."""
        named = {row.name for row, _, _ in rows}
        for row, host, port in rows:
            pool = self._pools.get(row.name)
            if pool is None or (pool.host, pool.port) != (host, port) or row.started_ms > pool.started_ms:
                if pool is not None:
                    pool.void()
                pool = self._pools[row.name] = Pool(row.name, host, port, row.started_ms)
            pool.current = row.state == EndpointState.READY
            if not pool.current:
                pool.void()
            if row.state == EndpointState.GONE:
                del self._pools[row.name]
        for name in [n for n in self._pools if n not in named] if full else ():
            self._pools.pop(name).void()

    def start(self, server: str, call: Call, timeout_ms: float) -> Pass:
        """Send a pass on an idle connection, or on a new one."""
        pool = self._pools.get(server)
        headers = [(n, v) for n, v in call.headers if n.lower() not in REPLACED]
        host = f"{pool.host}:{pool.port}" if pool is not None else server
        body = call.body
        waits = timeout_ms if body.whole else call.expires_ms  # which counts from the last byte
        headers += [("Host", host), ("X-Expires-In-Ms", str(max(1, int(waits))))]
        length = body.end if body.whole else http1.CHUNKED if body.length is None else body.length
        data = http1.request_head(call.method, call.target, headers, length)
        whole = body.whole and body.end <= SMALL_BYTES
        if whole:
            data += body.read(0, body.end)
        elif body.whole:
            body.length = body.end  # told now, however it was told before
        return self._send(server, data, timeout_ms, None if whole else body, call.method == "HEAD")

    def probe(self, server: str) -> Deferred[PassEnd]:
        """Ask an application server how it fares."""
        target = "/metrics/load" if self.settings.reports_in_probes else "/alive"
        data = http1.request("GET", target, [("Host", server)])
        return self._send(server, data, PROBE_MS).ended.addCallback(self._probed)

    @staticmethod
    def _probed(end: PassEnd) -> PassEnd:
        if end.reply is not None and end.reply.flow is not None:
            end.reply.flow.stop()
        if end.reply is not None and end.report is None:
            end.report = read_report(end.reply.body.decode("latin-1"))
        return end

    def _send(
        self, server: str, data: bytes, timeout_ms: float, body: Body | None = None, only_head: bool = False
    ) -> Pass:
        now = self.clock.now()
        proxy_pass = Pass(self, server, data, now + timeout_ms, body, only_head)
        pool = self._pools.get(server)
        if pool is None or timeout_ms <= 0.0:
            proxy_pass.end(PassEnd(Status.NOT_SENT))
            return proxy_pass
        while pool.idle:
            connection = pool.idle.pop()
            if now - connection.idle_since < self._idle_ms and not connection.stale():
                self.counters["connections_reused"] += 1
                connection.carry(proxy_pass)
                return proxy_pass
            connection.drop()
        if self.connections.full:
            self._evict()
        if self.connections.full:
            self.counters["passes_over_cap"] += 1
            proxy_pass.end(PassEnd(Status.NOT_SENT))
            return proxy_pass
        self.counters["connections_opened"] += 1
        proxy_pass.dial = Dial(self, pool, proxy_pass)
        proxy_pass.dial.start(self._reactor)
        return proxy_pass

    def _evict(self) -> bool:
        """Make room: the connection that has been idle longest goes. Its socket is freed a turn later."""
        oldest = min(
            (pool.idle[0] for pool in self._pools.values() if pool.idle),
            key=lambda c: c.idle_since,
            default=None,
        )
        if oldest is not None:
            oldest.pool.forget(oldest)
            oldest.drop()
            self.connections.remove(oldest.handle)
        return oldest is not None

    def _sweep(self) -> None:
        """Close idle connections well before their application server would."""
        limit = self.clock.now() - self._idle_ms
        for pool in self._pools.values():
            while pool.idle and pool.idle[0].idle_since <= limit:
                pool.idle.pop(0).drop()
        self.clock.after(SWEEP_MS, self._sweep)

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        idle = sum(len(pool.idle) for pool in self._pools.values())
        return {"server_connections_now": len(self.connections), "server_connections_idle": idle,
                "pools": len(self._pools)}  # fmt: skip

    def reached(self, server: str) -> bool:
        """Whether the last connection to it came up; True before the first."""
        pool = self._pools.get(server)
        return pool is None or pool.reached

    def close(self) -> None:
        """Close what is idle; for a stop."""
        for pool in self._pools.values():
            pool.void()
