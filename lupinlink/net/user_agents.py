"""User agents: the listener and the HTTP/1.1 that clients speak with it."""

from __future__ import annotations

import logging
import socket
from contextlib import suppress

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.internet.tcp import Port as TcpPort
from twisted.python.failure import Failure as Reason
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.net import http1
from lupinlink.net.counters import Counters
from lupinlink.net.farm import Farm
from lupinlink.net.proxy import Call, Failure, Proxy, Reply
from lupinlink.net.slots import Slots
from lupinlink.net.typed import Port, Transport
from lupinlink.net.wheel import Clockwork
from lupinlink.settings import Effect, Settings

log = logging.getLogger(__name__)
SWEEP_MS = 1000.0
PARTIAL_MS = 10000.0  # so long may a request take to arrive
IDLE_MS = 90000.0  # so long may a connection stand idle
LINGER_MS = 2000.0  # so long may a user agent take to read its last answer
READ_AHEAD = 64 * 1024  # bytes kept of what comes while a request is open
PASSED = {"x-trace-id", "idempotency-key"}
STATUS = {Failure.NOT_SERVED: 502, Failure.TOO_LATE: 504, Failure.INTERNAL: 500}


@implementer(IPushProducer)
class UserAgent(Protocol):
    """One connection of a user agent; one request at a time.

    As a push producer it takes no further request while its answers are not read: a silent peer must
    not fill the memory.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, agents: UserAgents) -> None:
        self._agents = agents
        self._parser = http1.RequestParser()
        self._request: int | None = None  # the handle of the request that is open
        self._waiting = False  # an answer is owed
        self._keep = True  # the user agent means the connection to stay
        self._advancing = self._choked = self._paused = self._deaf = False
        self.last = agents.clock.now()
        self.since = 0.0  # when the first bytes of an unfinished request came; 0: none are here
        self.closing_at = 0.0  # when to close what does not close itself; 0: not closing
        self.handle = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        self.last = self._agents.clock.now()
        if not self._deaf:
            self._parser.feed(data)
            self._advance()

    def connectionLost(self, reason: Reason = connectionDone) -> None:
        self._deaf = True
        self._agents.lost(self)
        if self._waiting and self._request is not None:
            self._waiting = False
            self._agents.proxy.gone(self._request)

    def pauseProducing(self) -> None:
        self._choked = True

    def resumeProducing(self) -> None:
        self._choked = False
        self._advance()

    def stopProducing(self) -> None:
        pass  # connectionLost follows

    @property
    def idle(self) -> bool:
        """Between two requests, with nothing of the next one here or on its way."""
        # A connection that is only being set up must not be chosen to make room for itself.
        if not self.connected or self._waiting or self.closing_at or self._parser.begun():
            return False
        with suppress(OSError, AttributeError):
            handle = self.transport.getHandle()
            return not handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return True

    @property
    def partial(self) -> bool:
        return not self._waiting and not self.closing_at and self._parser.begun()

    def close(self) -> None:
        """Close once all is written; the sweep aborts what does not get there."""
        self._deaf = True
        self.closing_at = self.closing_at or self._agents.clock.now() + LINGER_MS
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def served(self, reply: Reply) -> None:
        self._answer(200, reply.headers, reply.body)

    def unavailable(self, retry_after_ms: float) -> None:
        self._answer(503, [("Retry-After", f"{retry_after_ms / 1000.0:.3f}")] if retry_after_ms > 0 else [])

    def failed(self, why: Failure) -> None:
        self._answer(STATUS[why], [("Content-Type", "text/plain")], f"{why.value}\n".encode())

    def reject(self, status: int, why: str) -> None:
        """Answer what is no proper request, and take nothing more from this connection.

        The answer is followed by the end of our side only: closing at once would reset the connection
        under a body that is still coming, and the answer with it.
        """
        self._agents.counters[f"rejected_{status}"] += 1
        self._deaf = True
        self.closing_at = self._agents.clock.now() + LINGER_MS
        self._parser.buffer.clear()
        text = [("Content-Type", "text/plain")]
        self.transport.write(http1.answer(status, text, f"{why}\n".encode(), close=True))
        self.transport.unregisterProducer()
        self._resume()
        self.transport.loseWriteConnection()

    def _answer(self, status: int, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        if not self._waiting:
            return
        self._waiting, self._request = False, None
        self._agents.counters[f"answers_{status}"] += 1
        self.last = self._agents.clock.now()
        # While others wait in the kernel's queue, a kept connection would leave them there for good.
        stay = self._keep and not self._agents.stopping and not self._agents.crowded
        self.transport.write(http1.answer(status, headers, body, close=not stay))
        if stay:
            self._advance()
        else:
            self.close()

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def _advance(self) -> None:
        """Take the next request if none is open; calls from within leave the work to the outer one."""
        if self._advancing:
            return
        self._advancing = True
        try:
            while not (self._waiting or self._choked or self._deaf):
                message = self._parser.next()
                if message is None:
                    head = self._parser.head
                    if head is not None and (head.get("expect") or "").lower() == "100-continue":
                        head.lookup["expect"] = ""
                        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                    break
                self._take(message)
        except http1.MessageError as exc:
            self.reject(exc.status, str(exc))
        except Exception:
            log.exception("request failed inside")
            self._agents.counters["internal_errors"] += 1
            self.reject(500, Failure.INTERNAL.value)
        finally:
            self._advancing = False
        if self._deaf:
            return
        # Counted from the first byte: a peer that drips bytes must not hold its connection for ever.
        self.since = (self.since or self.last) if self.partial else 0.0
        if len(self._parser.buffer) > READ_AHEAD and (self._waiting or self._choked):
            if not self._paused:
                self._paused = True
                self.transport.pauseProducing()
        else:
            self._resume()

    def _take(self, message: http1.Message) -> None:
        # An older user agent takes an answer for ended only when the connection is.
        self._keep = message.version == 1 and message.keeps_open()
        self._waiting, self._request = True, None
        path = message.target.partition("?")[0]
        if path == "/up":
            ready = self._agents.ready
            self._answer(200 if ready else 503, [("Content-Type", "text/plain")], b"up\n" if ready else b"")
            return
        try:
            call = self._agents.read(message, path)
        except http1.MessageError:
            self._waiting = False
            raise
        self._request = self._agents.proxy.take(call, self)


class Listener(TcpPort):
    """Accepts one connection a turn, so that the cap can stop it before the next.

    Twisted takes a whole burst in one turn; those beyond the cap would have to be closed unread, and
    a request that was already written to one of them would be lost.
    """

    def doRead(self) -> None:  # noqa: N802
        self.numberAccepts = 1
        super().doRead()  # type: ignore[no-untyped-call]


class UserAgents(ServerFactory):
    """The listener: it holds every connection of user agents under one cap."""

    noisy = False

    def __init__(
        self, proxy: Proxy, farm: Farm, clock: Clockwork, settings: Settings, cap: int, counters: Counters
    ) -> None:
        self.proxy, self.clock, self.counters = proxy, clock, counters
        self._farm = farm
        self.stopping = False
        self.port: Port | None = None
        self.connections: Slots[UserAgent] = Slots(cap)
        self._settings = settings
        self._classes = {c.name: i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name: i for i, t in enumerate(settings.tenants)}
        self.crowded = False  # full of busy connections: the listener is not read
        self._leaving: set[UserAgent] = set()  # evicted, their sockets not yet closed
        clock.after(SWEEP_MS, self._sweep)

    @property
    def ready(self) -> bool:
        """Whether a front should send user agents here."""
        return self._farm.ready > 0 and not self.stopping

    def read(self, message: http1.Message, path: str) -> Call:
        """A request in the terms of the decisions; raises MessageError for what cannot be put so."""
        if message.method not in ("GET", "POST"):
            raise http1.MessageError(405, "method not allowed")
        index = self._classes.get(path.split("/", 2)[1])
        if index is None:
            raise http1.MessageError(404, "unknown class")
        cls = self._settings.classes[index]
        # Given twice, an id says nothing: application servers may take either, and drop no repeat by it.
        trace, key = message.get("x-trace-id"), message.get("idempotency-key")
        if not trace or "," in trace:
            raise http1.MessageError(400, "no X-Trace-Id")
        if (cls.effect == Effect.KEYED and not key) or "," in (key or ""):
            raise http1.MessageError(400, "no Idempotency-Key")
        text = message.get("x-expires-in-ms")
        expires = cls.deadline_ms
        if text is not None:
            if not text.isascii() or not text.isdigit() or len(text) > 9 or int(text) == 0:
                raise http1.MessageError(400, "malformed X-Expires-In-Ms")
            expires = min(float(text), expires)
        # A connection's own headers, and what it names as such, end here; the two ids always pass.
        own = (http1.HOP_BY_HOP | message.options()) - PASSED
        return Call(
            index,
            self._tenants.get(message.get("x-customer") or "", -1) if self._tenants else 0,
            expires,
            message.get("x-second-try") == "1",
            message.method,
            message.target,
            [(n, v) for n, v in message.headers if n.lower() not in own],
            message.body,
        )

    def buildProtocol(self, addr: object) -> UserAgent | None:
        if self.connections.full:
            self._make_room()
        if self.connections.full:
            self.counters["connections_over_cap"] += 1
            return None
        agent = UserAgent(self)
        agent.handle = self.connections.add(agent)
        self.counters["user_agents"] += 1
        if self.connections.full and not self.crowded and self.port is not None:
            # The rest waits in the kernel's queue until there is room, instead of being turned away.
            self._make_room()
            if self.connections.full:
                self.crowded = True
                self.port.stopReading()
        return agent

    def lost(self, agent: UserAgent) -> None:
        """A connection has ended."""
        self.connections.remove(agent.handle)
        self._leaving.discard(agent)
        if self.crowded and self.port is not None:
            self.crowded = False
            self.port.startReading()

    def _make_room(self) -> None:
        """The connection that has been idle longest goes; its user agent opens another when it needs to."""
        idle = [agent for agent in self.connections if agent.idle]
        if idle:
            agent = min(idle, key=lambda agent: agent.last)
            agent.close()
            # Its socket is freed a turn later, out of the reserve: several user agents may come in one turn.
            self.connections.remove(agent.handle)
            self._leaving.add(agent)

    def close_idle(self) -> bool:
        """Close what is between requests; True if nothing is left."""
        for agent in self.connections:
            if agent.idle:
                agent.close()
        return not len(self.connections)

    def _sweep(self) -> None:
        now = self.clock.now()
        for agent in [*self.connections, *self._leaving]:
            if agent.closing_at:
                if now >= agent.closing_at:
                    agent.transport.abortConnection()
            elif agent.since and now - agent.since > PARTIAL_MS:
                agent.reject(408, "request did not arrive")
            elif now - agent.last > IDLE_MS and agent.idle:
                agent.close()
        self.clock.after(SWEEP_MS, self._sweep)
