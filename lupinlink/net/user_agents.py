"""User agents: the listener and the HTTP/1.1 that clients speak with it."""

from __future__ import annotations

import fcntl
import logging
import math
import select
import socket
import sys
import termios
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from typing import cast

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, ServerFactory, connectionDone
from twisted.internet.tcp import Port as TcpPort
from twisted.python.failure import Failure as Reason
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.limits.progress import FIRST_HEAD_MS, HEAD_MS, Progress
from lupinlink.limits.returns import Ended, Rest, Returns, price
from lupinlink.net import http1
from lupinlink.net.bodies import Body, Budget, Flow
from lupinlink.net.counters import Counters
from lupinlink.net.farm import Farm
from lupinlink.net.lifecycle import Lifecycle
from lupinlink.net.proxy import Proxy
from lupinlink.net.slots import Slots
from lupinlink.net.terms import Call, Failure, Reply
from lupinlink.net.typed import READ_BYTES, Port, Transport, unsent
from lupinlink.net.wheel import Clockwork
from lupinlink.settings import Effect, Settings

log = logging.getLogger(__name__)
SWEEP_MS = 50.0
LINGER_MS = 1500.0  # so long may a user agent take to read its last answer without getting on with it
SENT_AHEAD = 8 * 1024  # bytes of further requests that may wait behind one: user agents send one at a time
# Bytes read and dropped for the sake of a user agent that writes before it reads.
DISCARDED = 2 * http1.MAX_MESSAGE
HELD_SHARE = 0.25  # of the memory beyond the program's own: bodies on their way in, all together
PEEKS = 8  # connections looked at to make room for one
ACCEPTS = 16  # connections accepted a turn, where there is room for them
UNREAD_MS = 20000.0  # so long may a user agent read nothing of an answer that is passed on to it
FLOW_SEND_BYTES = 128 * 1024  # of such an answer in the kernel: beyond it nobody could tell who does not read


class Phase(Enum):
    """Where a connection stands; those of one phase are kept in order of time.

    The figures are milliseconds: how long it may last (infinite: judged otherwise), and after how long the
    connection may have to make room. Whoever connects is owed an answer or an end within 3 s.
    """

    SILENT = 2200.0, 50.0  # not a byte was ever here
    RESTING = 2100.0, 0.0  # between two requests; some user agents never come back
    HEAD = math.inf, 400.0  # the head of a request has begun
    BODY = math.inf, 1000.0  # its body is on its way, and it is with nobody yet
    OPEN = math.inf, math.inf  # a request is with the decisions, or its answer on its way
    CLOSING = LINGER_MS, 100.0  # answered for the last time, still to be read

    def __init__(self, limit_ms: float, grace_ms: float) -> None:
        self.limit_ms, self.grace_ms = limit_ms, grace_ms


PASSED = {"x-trace-id", "idempotency-key"}
STATUS = {Failure.NOT_SERVED: 502, Failure.TOO_LATE: 504, Failure.INTERNAL: 500, Failure.DUPLICATE: 409}


@dataclass(slots=True)
class Intake:
    """A request whose body is on its way."""

    call: Call
    progress: Progress


@implementer(IPushProducer)
class UserAgent(Protocol):
    """One connection of a user agent; one request at a time.

    As a push producer it takes no further request while its answers are not read: a silent peer must
    not fill the memory.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, agents: UserAgents) -> None:
        self._agents = agents
        self._parser = http1.RequestParser(http1.MAX_MESSAGE)
        self._request: int | None = None  # the handle of the request that is open
        self._waiting = False  # an answer is owed, or on its way
        self._intake: Intake | None = None
        self._flow: Flow | None = None  # the answer that is being passed on
        self._chunked = False  # in what form
        self._passed = 0  # bytes of it that were written so far
        self._keep = True  # the user agent means the connection to stay
        self._minor = 1  # the version of HTTP/1 that it speaks
        self._only_head = False  # of the answer is asked for
        self._advancing = self._choked = self._deaf = self._overrun = False
        self._unread: set[str] = set()  # why it is not read
        self._discarded = 0
        self._left = math.inf  # bytes still to be read by a peer that is to go, at the last look
        self.choked_at = 0.0
        self.phase: Phase | None = None
        self.since = 0.0  # when the phase began
        self.made_at = self.heard_at = agents.clock.now()
        self.asked = False  # a whole request was here
        self.address = ""
        self.rest: Rest | None = None  # while it stands between two requests
        self.handle = 0
        self.held_ms = 0.0  # how long its first request may have waited unread; inf: not known

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BYTES
        self.transport.registerProducer(self, True)

    def dataReceived(self, data: bytes) -> None:
        self.heard_at = self._agents.clock.now()
        if self._deaf:
            # What still comes behind a last answer is of no use; enough of it was read for that to be seen.
            self._discarded += len(data)
            if self._discarded > DISCARDED:
                self.transport.pauseProducing()
            return
        self._parser.feed(data)
        self._advance()

    def connectionLost(self, reason: Reason = connectionDone) -> None:
        self._deaf = True
        self._agents.lost(self)
        self._drop_all()

    def _drop_all(self) -> None:
        """Nothing more is taken or passed on here."""
        intake, self._intake = self._intake, None
        request, self._request = self._request, None
        flow, self._flow = self._flow, None
        self._agents.flowing.pop(self, None)
        self._agents.receiving.pop(self, None)
        owed, self._waiting = self._waiting, False
        if owed and request is not None:
            self._agents.proxy.gone(request)
        if intake is not None:
            intake.call.body.break_off()
            intake.call.body.drop()
        if flow is not None:
            flow.stop()

    def pauseProducing(self) -> None:
        self._choked, self.choked_at = True, self._agents.clock.now()
        if self._flow is not None:
            self._flow.pause()

    def resumeProducing(self) -> None:
        self._choked = False
        if self._flow is not None:
            self._flow.resume()
        else:
            self._advance()

    def stopProducing(self) -> None:
        pass  # connectionLost follows

    def unread(self) -> bool:
        """Whether something has come that was not read yet."""
        with suppress(OSError, AttributeError):
            return bool(self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        return False

    @property
    def begun(self) -> bool:
        """Whether a part of a request is here."""
        return self._parser.begun()

    def stuck(self, now: float) -> bool:
        """Whether it does not read the answer that is passed on to it."""
        return self._choked and now - self.choked_at > UNREAD_MS

    @property
    def choked(self) -> bool:
        """Whether it does not read at the moment."""
        return self._choked

    def to_go(self) -> tuple[int, int]:
        """Bytes still to go of a long answer or of a body that comes, and how many of both do not tell."""
        told, untold = 0, 0
        if self._flow is not None and self._flow.length is not None:
            told = max(0, self._flow.length - self._passed) + int(self._still_to_read())
        elif self._flow is not None:
            untold = 1
        body = self._intake.call.body if self._intake is not None else None
        if body is not None and body.length is not None:
            told += max(0, body.length - body.end)
        elif body is not None:
            untold += 1
        return told, untold

    def late(self, now: float) -> bool:
        """Whether the request that it is sending does not get on."""
        if self._intake is not None:
            return self._intake.progress.overdue(now)
        return now - self.since > HEAD_MS if self.asked else now - self.made_at > FIRST_HEAD_MS

    def leave(self, overdue: bool) -> None:
        """Its time is up, or others need the room."""
        if self.phase is Phase.CLOSING and overdue:
            # Closing at once would take what a slow reader has still to read along.
            before, self._left = self._left, self._still_to_read()
            if not 0 < self._left < before:
                self.transport.abortConnection()
            else:
                self._agents.enter(self, Phase.CLOSING, anew=True)
        elif self.phase is Phase.CLOSING:
            # No reset, which could overtake the answer: our side has ended already, now the other does.
            self.transport.loseConnection()
        elif self._parser.begun():
            self.reject(408, "request did not arrive")
        else:
            self.close()

    def abort(self) -> None:
        """End it at once."""
        self.transport.abortConnection()

    def _still_to_read(self) -> float:
        with suppress(OSError, AttributeError):
            waiting = fcntl.ioctl(self.transport.getHandle(), termios.TIOCOUTQ, b"\0" * 4)
            return float(int.from_bytes(waiting, sys.byteorder) + unsent(self.transport))
        return 0.0

    def close(self) -> None:
        """Close once all is written; the sweep aborts what does not get there."""
        self._deaf = True
        self._agents.enter(self, Phase.CLOSING)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _hang_up(self) -> None:
        """Take nothing more; the answer that was written goes out.

        Only our side ends: closing at once would reset the connection under a body that is still coming,
        and the answer with it.
        """
        self._deaf = True
        self._agents.enter(self, Phase.CLOSING)
        self._parser = http1.RequestParser()  # what it held is dropped
        self._drop_all()
        self.transport.unregisterProducer()
        self._unread.clear()
        self.transport.resumeProducing()
        self.transport.loseWriteConnection()

    def served(self, reply: Reply) -> None:
        if reply.flow is not None:
            self._pass_on(reply, reply.flow)
        else:
            self._answer(200, reply.headers, reply.body, reply.length)

    def unavailable(self, retry_after_ms: float, over_quota: bool = False) -> None:
        after = [("Retry-After", f"{retry_after_ms / 1000.0:.3f}")] if retry_after_ms > 0 else []
        self._answer(429 if over_quota else 503, after)

    def failed(self, why: Failure) -> None:
        self._answer(STATUS[why], [("Content-Type", "text/plain")], f"{why.value}\n".encode())

    def reject(self, status: int, why: str) -> None:
        """Answer what is no proper request, and take nothing more from this connection."""
        self._agents.counters[f"rejected_{status}"] += 1
        text = [("Content-Type", "text/plain")]
        self.transport.write(http1.answer(status, text, f"{why}\n".encode(), close=True))
        self._hang_up()

    def _answer(
        self, status: int, headers: list[tuple[str, str]], body: bytes = b"", length: int | None = None
    ) -> None:
        if not self._waiting:
            return
        self._waiting, self._request = False, None
        self._agents.counters[f"answers_{status}"] += 1
        receiving = self._intake is not None
        stay = self._keep and not receiving and self._agents.keeps(self)
        if self._only_head:
            self.transport.write(http1.answer_head(status, headers, length, close=not stay))
        else:
            self.transport.write(http1.answer(status, headers, body, close=not stay))
        if receiving:
            self._hang_up()
        elif stay:
            self._advance()
        else:
            self.close()

    def _pass_on(self, reply: Reply, flow: Flow) -> None:
        """Pass an answer on as it comes; whether its connection stays is told in its head."""
        if not self._waiting:
            flow.stop()
            return
        self._request = None
        self._agents.counters["answers_200"] += 1
        self._agents.flowing[self] = None
        length = flow.length if flow.length is not None else http1.CHUNKED if self._minor else None
        self._chunked = length == http1.CHUNKED
        self._keep = self._keep and length is not None and self._agents.keeps(self)
        self._flow, self._passed = flow, 0
        flow.data, flow.ended, flow.broken = self._flow_data, self._flow_ended, self.abort
        with suppress(OSError, AttributeError):
            self.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, FLOW_SEND_BYTES)
        self.transport.write(http1.answer_head(200, reply.headers, length, close=not self._keep))
        self._flow_data(reply.body)

    def _flow_data(self, data: bytes) -> None:
        if data:
            self._passed += len(data)
            self.transport.write(http1.chunk(data) if self._chunked else data)

    def _flow_ended(self) -> None:
        if self._chunked:
            self.transport.write(http1.LAST_CHUNK)
        self._flow, self._waiting = None, False
        self._agents.flowing.pop(self, None)
        if self._keep:
            self._advance()
        else:
            self.close()

    def _read_on(self, why: str, on: bool) -> None:
        """Read it, or leave it unread for that reason until ``on``."""
        before = bool(self._unread)
        if on:
            self._unread.discard(why)
        else:
            self._unread.add(why)
        if before != bool(self._unread):
            if self._unread:
                self.transport.pauseProducing()
            else:
                self.transport.resumeProducing()

    def _advance(self) -> None:
        """Take the next request if none is open; calls from within leave the work to the outer one."""
        if self._advancing:
            return
        self._advancing = True
        try:
            while not self._deaf and (self._intake is not None or not (self._waiting or self._choked)):
                message = self._parser.next()
                ahead = message is not None and len(self._parser.buffer) > SENT_AHEAD
                if self._overrun or ahead:
                    raise http1.MessageError(400, "too many requests sent ahead")
                if message is None:
                    if self._parser.head is not None:
                        self._receive(self._parser.head)
                    break
                self.asked = True
                self._agents.enter(self, Phase.OPEN, anew=self._intake is None)
                if self._intake is None:
                    self._take(message)
                else:
                    self._received(self._intake, message.body)
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
        if not self._waiting:
            # Counted from the first byte: a peer that drips bytes must not hold its connection for ever.
            begun = Phase.HEAD if self._intake is None else Phase.BODY
            rests = Phase.RESTING if self.asked else Phase.SILENT
            self._agents.enter(self, begun if self._parser.begun() else rests)
        if self._intake is None:
            held = (self._waiting or self._choked) and len(self._parser.buffer) > SENT_AHEAD
            # It is told so once the request that is open has its answer.
            self._overrun = self._overrun or held
            self._read_on("ahead", not held)

    def _take(self, message: http1.Message) -> None:
        self._know(message)
        path = message.target.partition("?")[0]
        if path == "/up" and message.method in ("GET", "HEAD"):
            ready = self._agents.ready
            self._waiting = True
            self._answer(200 if ready else 503, [("Content-Type", "text/plain")], b"up\n" if ready else b"")
            return
        call = self._read(message, path)
        call.body.add(message.body)
        call.body.finish()
        self._give(call)

    def _read(self, message: http1.Message, path: str) -> Call:
        """The call, with how long it may have waited unread: only the first of a connection can have."""
        call = self._agents.read(message, path)
        call.address = self.address
        call.waited_ms, self.held_ms = self.held_ms, 0.0
        return call

    def _know(self, head: http1.Message) -> None:
        # An older user agent takes an answer for ended only when the connection is.
        self._keep = head.version == 1 and head.keeps_open()
        self._minor, self._only_head = head.version, head.method == "HEAD"

    def _give(self, call: Call) -> None:
        """To the decisions."""
        self._waiting, self._request = True, None
        request = self._agents.proxy.take(call, self)
        if self._waiting:
            self._request = request
        else:
            call.body.drop()

    def _receive(self, head: http1.Message) -> None:
        """A head is here, and a body that is not whole yet."""
        now = self._agents.clock.now()
        intake = self._intake
        if intake is None:
            self._know(head)
            call = self._read(head, head.target.partition("?")[0])
            call.body.length = self._parser.length
            intake = self._intake = Intake(call, Progress(now))
            call.body.room = lambda: self._go_on(intake)
            if (head.get("expect") or "").lower() == "100-continue":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body, data = intake.call.body, self._parser.drain()
        if data:
            intake.progress.came(len(data), now)
            body.add(data)
        if not self._waiting:
            if self._agents.budget.spent:
                raise http1.MessageError(503, "no room for this request now")
            if body.flows:
                self._agents.counters["bodies_flowing"] += 1
                self.asked = True
                self._agents.enter(self, Phase.OPEN)
                self._agents.receiving[self] = None
                self._give(intake.call)
        if body.full and self._intake is not None:
            intake.progress.hold(now)
            self._read_on("body", False)

    def _go_on(self, intake: Intake) -> None:
        """There is room for more of the body."""
        if self._intake is intake:
            intake.progress.go_on(self._agents.clock.now())
            self._read_on("body", True)

    def _received(self, intake: Intake, data: bytes) -> None:
        """The last byte of a body is here."""
        self._intake = None
        self._agents.receiving.pop(self, None)
        self._read_on("body", True)
        intake.call.body.add(data)
        intake.call.body.finish()
        if not self._waiting:
            self._give(intake.call)
        elif self._request is not None:
            self._agents.proxy.completed(self._request)


def waiting(port: Port) -> bool:
    """Whether connections wait in the kernel's queue of a listener, asked without waiting."""
    return bool(select.select([port.fileno()], [], [], 0.0)[0])


class Listener(TcpPort):
    """The clients' address. A successor may hold the same socket, so its end here never shuts it down.

    Accepts no more connections a turn than there is room for, so that the cap stops it in time.

    Twisted takes a whole burst in one turn; those beyond the cap would have to be closed unread, and
    a request that was already written to one of them would be lost.
    """

    _shouldShutdown = False  # noqa: N815

    @classmethod
    def on(cls, listening: socket.socket, agents: UserAgents, reactor: object) -> Listener:
        """A listener on a socket that listens already."""
        made = cls._fromListeningDescriptor(  # type: ignore[no-untyped-call]
            reactor, listening.fileno(), listening.family, agents
        )
        return cast(Listener, made)

    def share(self) -> None:
        """Where no socket can be handed over, a second process may bind the same address."""
        self._reusePort = True

    def doRead(self) -> None:  # noqa: N802
        agents = cast(UserAgents, self.factory)
        # Kept here: Twisted sets its own figure anew while it reads, to what it has just accepted.
        most = self.numberAccepts = max(1, min(ACCEPTS, agents.room))
        before = agents.counters["user_agents"]
        super().doRead()  # type: ignore[no-untyped-call]
        if agents.unwatched_since is None:
            return
        if agents.counters["user_agents"] - before < most or not waiting(self):
            agents.watched()  # the kernel's queue is empty: what comes from now on is read as it comes


class UserAgents(ServerFactory):
    """The listener: it holds every connection of user agents under one cap."""

    noisy = False

    def __init__(
        self,
        proxy: Proxy,
        farm: Farm,
        clock: Clockwork,
        settings: Settings,
        lifecycle: Lifecycle,
        cap: int,
        spare_mb: float,
        counters: Counters,
    ) -> None:
        self.proxy, self.clock, self.counters = proxy, clock, counters
        self._farm, self._lifecycle = farm, lifecycle
        self.port: Port | None = None
        self.connections: Slots[UserAgent] = Slots(cap)
        self._settings = settings
        self._classes = {c.name: i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name: i for i, t in enumerate(settings.tenants)}
        self.crowded = False  # full of busy connections: the listener is not read
        # Since when connections may have queued unread: None while the listener is read as they come; -inf
        # at the start, for a front may hold connections for this address from before this process was there.
        self.unwatched_since: float | None = -math.inf
        self.phases: dict[Phase, dict[UserAgent, None]] = {phase: {} for phase in Phase}
        self._returns = Returns(cap)
        self.budget = Budget(0)  # for all bodies on their way in
        self.flowing: dict[UserAgent, None] = {}  # answers are being passed on to these
        self.receiving: dict[UserAgent, None] = {}  # their requests are with the decisions before their end
        self.resize(cap, spare_mb)
        clock.after(SWEEP_MS, self._sweep)

    @property
    def ready(self) -> bool:
        """Whether a front should send user agents here."""
        return self._lifecycle.up(self._farm.ready)

    def read(self, message: http1.Message, path: str) -> Call:
        """A request in the terms of the decisions; raises MessageError for what cannot be put so."""
        if message.method not in ("GET", "HEAD", "POST"):
            raise http1.MessageError(405, "method not allowed")
        parts = path.split("/")
        index = self._classes.get(parts[1])
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
            trace,
            index,
            self._tenants.get(message.get("x-customer") or "", -1) if self._tenants else 0,
            expires,
            message.get("x-second-try") == "1",
            message.method,
            message.target,
            [(n, v) for n, v in message.headers if n.lower() not in own],
            Body(self.budget, None),
            parts[-1] if len(parts) > 2 else "",
        )

    @property
    def room(self) -> int:
        """How many more connections the cap allows."""
        return self.connections.capacity - len(self.connections)

    def enter(self, agent: UserAgent, phase: Phase | None, anew: bool = False) -> None:
        """A connection's phase begins, or begins ``anew``; None: it has ended."""
        if agent.phase is phase and not anew:
            return
        now = self.clock.now()
        if agent.phase is not None:
            self.phases[agent.phase].pop(agent, None)
        if agent.rest is not None:
            how = Ended.LEFT if phase is None else Ended.CUT if phase is Phase.CLOSING else Ended.ASKED
            self._returns.ended(agent.rest, now, how)
            agent.rest = None
        agent.phase, agent.since = phase, now
        if phase is not None:
            self.phases[phase][agent] = None
        if phase is Phase.RESTING:
            agent.rest = self._returns.began(agent.address, now)

    @property
    def taken(self) -> float:
        """The share of the places that is in use, without those where no request was seen or none will be."""
        used = sum(len(self.phases[phase]) for phase in (Phase.OPEN, Phase.RESTING, Phase.HEAD, Phase.BODY))
        return used / self.connections.capacity

    def keeps(self, agent: UserAgent) -> bool:
        """Whether a connection that has its answer stays.

        While others wait in the kernel's queue, a kept connection would leave them there for good.
        """
        if not self._lifecycle.keeps() or self.crowded:
            return False
        stays = self._returns.worth_keeping(agent.address, self.taken)
        self.counters["given_up_answered"] += not stays
        return stays

    def buildProtocol(self, addr: object) -> UserAgent | None:
        if self.connections.full and not self._make_room():
            self.counters["connections_over_cap"] += 1
            return None
        agent = UserAgent(self)
        agent.address = getattr(addr, "host", "")
        if self.unwatched_since is not None:
            agent.held_ms = self.clock.now() - self.unwatched_since
        agent.handle = self.connections.add(agent)
        self.enter(agent, Phase.SILENT)
        self.counters["user_agents"] += 1
        if self.connections.full and not self._make_room():
            # The rest waits in the kernel's queue until there is room, instead of being turned away.
            self.crowded = True
            self.listen()
        return agent

    def lost(self, agent: UserAgent) -> None:
        """A connection has ended."""
        self.connections.remove(agent.handle)
        self.enter(agent, None)
        self.receiving.pop(agent, None)
        self._uncrowd()

    def _uncrowd(self) -> None:
        if self.crowded and not self.connections.full:
            self.crowded = False
            self.listen()

    def listen(self) -> None:
        """Read the listener or leave it, as the service's state and the room here have it."""
        if self.port is not None:
            if self._lifecycle.accepts() and not self.crowded:
                self.port.startReading()
                if self.unwatched_since is not None and not waiting(self.port):
                    self.unwatched_since = None  # nobody queued meanwhile
            else:
                self.port.stopReading()
                if self.unwatched_since is None:
                    self.unwatched_since = self.clock.now()

    def watched(self) -> None:
        """The listener has been read empty: connections from now on are taken as they come."""
        if self.port is not None and self._lifecycle.accepts() and not self.crowded:
            self.unwatched_since = None

    def resize(self, cap: int, spare_mb: float) -> None:
        """Have room for so many connections; whoever is beyond it stays until it goes."""
        self.connections.capacity = cap
        self.budget.most = max(2 * http1.MAX_BODY, int(spare_mb * HELD_SHARE * 1024.0 * 1024.0))
        self.crowded = self.connections.full
        self.listen()

    def _make_room(self) -> bool:
        """Who has stood longest where nothing is expected any more goes; nothing here looks at them all.

        Danger: hundreds that connect and say nothing must not crowd out those who come back for more.
        """
        now, peeks = self.clock.now(), 0
        for phase in (Phase.CLOSING, Phase.SILENT, Phase.RESTING):
            for agent in self.phases[phase]:
                if now - agent.since < phase.grace_ms or peeks >= PEEKS:
                    break
                if not agent.connected:
                    continue  # only being set up: it must not make room for itself
                peeks += 1
                if self._gives_way(agent):
                    return True
        for phase in (Phase.HEAD, Phase.BODY):
            # Of those who are sending a request, the one that has been still longest; who gets on stays.
            still = min(self.phases[phase], key=lambda agent: agent.heard_at, default=None)
            if still is not None and now - still.heard_at >= phase.grace_ms and self._gives_way(still):
                return True
        return False

    def _gives_way(self, agent: UserAgent) -> bool:
        if agent.unread():
            return False
        agent.leave(overdue=False)
        # Its socket is freed a turn later, out of the reserve.
        self.connections.remove(agent.handle)
        self.counters["made_room"] += 1
        return True

    def close_idle(self, unasked: bool) -> None:
        """Close what is between requests; ``unasked``: also who has not asked anything yet."""
        for phase in (Phase.RESTING, Phase.SILENT) if unasked else (Phase.RESTING,):
            for agent in list(self.phases[phase]):
                if not agent.begun and not agent.unread():
                    agent.close()

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        phases = {f"agents_{phase.name.lower()}": len(agents) for phase, agents in self.phases.items()}
        return {
            "user_agents_now": len(self.connections),
            "bytes_held": self.budget.held,
            "flowing": len(self.flowing),
            **phases,
        }

    def _end_rests(self, now: float) -> None:
        """Close the rests whose place is worth more to others, the oldest first."""
        resting = self.phases[Phase.RESTING]
        self._returns.refresh([agent.rest for agent in resting if agent.rest is not None], now)
        for agent in list(resting):
            if price(taken := self.taken) <= 0.0:
                break
            rest = agent.rest
            if rest is not None and self._returns.outstayed(rest, taken, now) and not agent.unread():
                agent.close()
                self.counters["given_up_resting"] += 1

    def _sweep(self) -> None:
        now = self.clock.now()
        for phase, agents in self.phases.items():
            for agent in list(islice(agents, 64)):
                if now - agent.since < phase.limit_ms:
                    break
                if phase is Phase.CLOSING or not agent.unread():
                    agent.leave(overdue=True)
        slow = [*self.phases[Phase.HEAD], *self.phases[Phase.BODY], *self.receiving]
        for agent in slow:
            if agent.late(now) and not agent.unread():
                agent.leave(overdue=True)
        for agent in [agent for agent in self.flowing if agent.stuck(now)]:
            self.counters["answers_unread"] += 1
            agent.abort()
        if self._lifecycle.accepts():  # else nobody wants a place here, and a close may cross a request
            self._end_rests(now)
        if self.crowded and self._make_room():
            self._uncrowd()
        self.clock.after(SWEEP_MS, self._sweep)
