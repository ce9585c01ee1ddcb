"""The agreement service by Consul's published API: one process's way there, by treq on Twisted.

Every call has a time-out; one that ran out before a connection stood did surely nothing, one that ran out
later may have been done. Reads ask for ``consistent``: no answer may be older than the question.
"""

from __future__ import annotations

from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectingCancelledError, DNSLookupError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web import client as web
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.coordination import consul_messages as messages
from lupinlink.coordination.commit_validation import validate_commit
from lupinlink.coordination.contract import Record, Step
from lupinlink.coordination.errors import (
    CoordinationError,
    LeaseLostError,
    UncertainError,
    UnreachableError,
)
from lupinlink.coordination.transport import ReadResult

T = TypeVar("T")
_not_sent: Any = web.RequestNotSent  # type: ignore[attr-defined]
NOT_SENT = (ConnectError, ConnectingCancelledError, DNSLookupError, _not_sent)
MOST_BODY = 16 * 1024 * 1024  # bytes of an answer: a proxy has some 100 MB to itself
MOST_OPEN = 16  # connections to the service; each standing question has one
KEPT_S = 30.0  # so long is a connection kept that nobody uses
JITTER = 1.0 / 16.0  # of a question's wait, by which the service may draw it out


@dataclass(frozen=True, slots=True)
class ConsulSettings:
    """Where the service is and what it is asked with."""

    host: str
    port: int
    prefix: str = ""  # before every key
    token: str = ""
    call_ms: float = 2000.0  # time-out of a call, the wait that it may have not counted
    lock_delay_ms: float = 1000.0
    name: str = "lupinlink"  # of sessions, for who looks into the service


@dataclass(frozen=True, slots=True)
class ConsulResponse:
    """What came back."""

    status: int
    body: bytes
    index: int


@implementer(IAgentEndpointFactory)
class _Endpoints:
    def __init__(self, reactor: Any, settings: ConsulSettings) -> None:
        self._reactor, self._settings = reactor, settings

    def endpointForURI(self, uri: web.URI) -> TCP4ClientEndpoint:  # noqa: N802
        settings = self._settings
        return TCP4ClientEndpoint(
            self._reactor, settings.host, settings.port, timeout=settings.call_ms / 2000.0
        )


class _Body(Protocol):
    """An answer's body: bounded, and its connection broken off when nobody waits for it any more."""

    def __init__(self) -> None:
        self.whole: Deferred[bytes] = Deferred(lambda _: self._abort())
        self._pieces: list[bytes] = []
        self._left = MOST_BODY

    def dataReceived(self, data: bytes) -> None:
        self._pieces.append(data)
        self._left -= len(data)
        if self._left < 0:
            self._abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.whole.called:
            return
        if isinstance(reason.value, web.ResponseDone) and self._left >= 0:
            self.whole.callback(b"".join(self._pieces))
        else:
            self.whole.errback(reason)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abortConnection()


class ConsulTransport:
    """One process's way to the service: a ``wire.Wire``."""

    def __init__(self, reactor: Any, settings: ConsulSettings) -> None:
        self._reactor, self._settings = reactor, settings
        self._pool: Any = web.HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
        self._pool.maxPersistentPerHost = MOST_OPEN
        self._pool.cachedConnectionTimeout = KEPT_S
        # Danger: repeats of its own would not be counted, nor spread in time.
        self._pool.retryAutomatically = False
        agent: Any = web.Agent
        self._http = HTTPClient(
            agent.usingEndpointFactory(reactor, _Endpoints(reactor, settings), self._pool)
        )
        self._headers = Headers({"X-Consul-Token": [settings.token]} if settings.token else {})

    def stop(self) -> Deferred[None]:
        """Close the connections that nobody uses."""
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
        query = {"recurse": "", "consistent": ""}
        if index:
            query |= {"index": str(index), "wait": f"{max(1, round(wait_ms))}ms"}
        wait_s = wait_ms * (1.0 + JITTER) / 1000.0 if index else 0.0
        return self._bounded(self._read(prefix, query), wait_s, writes=False)

    async def _read(self, prefix: str, query: dict[str, str]) -> ReadResult:
        root = self._settings.prefix
        answer = await self._ask("GET", messages.kv_path(root + prefix), query=query)
        if answer.status == 404:
            return ReadResult({}, max(1, answer.index))
        if answer.status != 200:
            raise messages.refusal(answer.status, answer.body, writes=False)
        return ReadResult(messages.records(root, answer.body), max(1, answer.index))

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        return self._bounded(self._commit(steps), 0.0, writes=True)

    async def _commit(self, steps: Sequence[Step]) -> dict[str, Record]:
        validate_commit(steps)
        root = self._settings.prefix
        answer = await self._ask("PUT", "/v1/txn", messages.operations(root, steps))
        if answer.status != 200:
            raise messages.refusal(answer.status, answer.body, writes=True)
        return messages.written(root, steps, answer.body)

    def open(self, ttl_ms: float) -> Deferred[str]:
        return self._bounded(self._open(ttl_ms), 0.0, writes=False)

    async def _open(self, ttl_ms: float) -> str:
        body = messages.session(self._settings.name, ttl_ms, self._settings.lock_delay_ms)
        return messages.opened(await self._session("create", body))

    def renew(self, lease: str) -> Deferred[float]:
        return self._bounded(self._renew(lease), 0.0, writes=False)

    async def _renew(self, lease: str) -> float:
        answer = await self._ask("PUT", f"/v1/session/renew/{lease}", b"")
        if answer.status == 404:
            raise LeaseLostError(f"the service knows no lease {lease}")
        if answer.status != 200:
            raise messages.refusal(answer.status, answer.body, writes=False)
        return messages.renewed(answer.body)

    def close(self, lease: str) -> Deferred[None]:
        return self._bounded(self._close(lease), 0.0, writes=False)

    async def _close(self, lease: str) -> None:
        await self._session(f"destroy/{lease}", b"")

    async def _session(self, call: str, body: bytes) -> bytes:
        answer = await self._ask("PUT", f"/v1/session/{call}", body)
        if answer.status != 200:
            raise messages.refusal(answer.status, answer.body, writes=False)
        return answer.body

    async def _ask(
        self, method: str, path: str, data: bytes | None = None, query: dict[str, str] | None = None
    ) -> ConsulResponse:
        response: Any = await self._http.request(
            method, f"http://{self._settings.host}:{self._settings.port}{path}", params=query, data=data,
            headers=self._headers, allow_redirects=False, unbuffered=True, reactor=self._reactor,
        )  # fmt: skip
        body = _Body()
        response.deliverBody(body)
        told = (response.headers.getRawHeaders("X-Consul-Index") or ["0"])[0]
        whole = await body.whole
        return ConsulResponse(response.code, whole, int(told) if told.isdecimal() else 0)

    def _bounded(self, call: Coroutine[Any, Any, T], wait_s: float, writes: bool) -> Deferred[T]:
        def failed(failure: Failure) -> T:
            error = failure.value
            if isinstance(error, CoordinationError):
                raise error
            text = f"{type(error).__name__}: {error}"
            if isinstance(error, NOT_SENT) or not writes:
                raise UnreachableError(text)
            raise UncertainError(text)

        done = Deferred.fromCoroutine(call)
        done.addTimeout(wait_s + self._settings.call_ms / 1000.0, self._reactor)
        return done.addErrback(failed)
