"""The transport to the agreement service over Consul's HTTP API, with treq on Twisted.

Every call has a time-out. One that times out before a connection is established has done nothing; a write
that times out later may have been applied. Reads use Consul's ``consistent`` mode, so no response is older
than its request.
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
MAX_BODY_BYTES = 16 * 1024 * 1024  # of a response: a proxy has about 100 MB of memory in all
CONSUL_WAIT_JITTER = 1.0 / 16.0  # share of a blocking query's wait by which Consul may prolong it


@dataclass(frozen=True, slots=True)
class ConsulSettings:
    """The address of the service and the parameters of its calls."""

    host: str
    port: int
    prefix: str = ""  # of every key
    token: str = ""
    call_ms: float = 2000.0  # time-out of a call, in addition to a blocking query's wait
    lock_delay_ms: float = 1000.0
    name: str = "lupinlink"  # of the sessions, shown to operators of Consul


@dataclass(frozen=True, slots=True)
class ConsulResponse:
    """A response to a call."""

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
    """Collects a response body of limited size; closes the connection when the body is cancelled."""

    def __init__(self) -> None:
        self.content: Deferred[bytes] = Deferred(lambda _: self._abort())
        self._chunks: list[bytes] = []
        self._remaining = MAX_BODY_BYTES

    def dataReceived(self, data: bytes) -> None:
        self._chunks.append(data)
        self._remaining -= len(data)
        if self._remaining < 0:
            self._abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.content.called:
            return
        if isinstance(reason.value, web.ResponseDone) and self._remaining >= 0:
            self.content.callback(b"".join(self._chunks))
        else:
            self.content.errback(reason)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abortConnection()


class ConsulTransport:
    """One process's transport to the service: a ``transport.Transport``."""

    def __init__(self, reactor: Any, settings: ConsulSettings) -> None:
        self._reactor, self._settings = reactor, settings
        # One call a connection: on a kept one, bytes after an answer would be taken for the next call's.
        self._pool: Any = web.HTTPConnectionPool(reactor, persistent=False)  # type: ignore[no-untyped-call]
        # Retries by the pool would be neither counted nor spread in time.
        self._pool.retryAutomatically = False
        agent: Any = web.Agent
        self._http = HTTPClient(
            agent.usingEndpointFactory(reactor, _Endpoints(reactor, settings), self._pool)
        )
        self._headers = Headers({"X-Consul-Token": [settings.token]} if settings.token else {})

    def stop(self) -> Deferred[None]:
        """Close what the pool keeps, which is nothing while every call has a connection of its own."""
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    def read(self, prefix: str, index: int, wait_ms: float) -> Deferred[ReadResult]:
        query = {"recurse": "", "consistent": ""}
        if index:
            query |= {"index": str(index), "wait": f"{max(1, round(wait_ms))}ms"}
        wait_s = wait_ms * (1.0 + CONSUL_WAIT_JITTER) / 1000.0 if index else 0.0
        return self._with_timeout(self._read(prefix, query), wait_s, writes=False)

    async def _read(self, prefix: str, query: dict[str, str]) -> ReadResult:
        root = self._settings.prefix
        response = await self._request("GET", messages.kv_path(root + prefix), query=query)
        if response.status == 404:
            return ReadResult({}, max(1, response.index))
        if response.status != 200:
            raise messages.error_from_response(response.status, response.body, writes=False)
        return ReadResult(messages.decode_records(root, response.body), max(1, response.index))

    def commit(self, steps: Sequence[Step]) -> Deferred[dict[str, Record]]:
        return self._with_timeout(self._commit(steps), 0.0, writes=True)

    async def _commit(self, steps: Sequence[Step]) -> dict[str, Record]:
        validate_commit(steps)
        root = self._settings.prefix
        response = await self._request("PUT", "/v1/txn", messages.encode_transaction(root, steps))
        if response.status != 200:
            raise messages.error_from_response(response.status, response.body, writes=True)
        return messages.decode_written_records(root, steps, response.body)

    def open(self, ttl_ms: float) -> Deferred[str]:
        return self._with_timeout(self._open(ttl_ms), 0.0, writes=False)

    async def _open(self, ttl_ms: float) -> str:
        body = messages.encode_session(self._settings.name, ttl_ms, self._settings.lock_delay_ms)
        return messages.decode_session_id(await self._session("create", body))

    def renew(self, lease: str) -> Deferred[float]:
        return self._with_timeout(self._renew(lease), 0.0, writes=False)

    async def _renew(self, lease: str) -> float:
        response = await self._request("PUT", f"/v1/session/renew/{lease}", b"")
        if response.status == 404:
            raise LeaseLostError(f"the service knows no lease {lease}")
        if response.status != 200:
            raise messages.error_from_response(response.status, response.body, writes=False)
        return messages.decode_session_ttl_ms(response.body)

    def close(self, lease: str) -> Deferred[None]:
        return self._with_timeout(self._close(lease), 0.0, writes=False)

    async def _close(self, lease: str) -> None:
        await self._session(f"destroy/{lease}", b"")

    async def _session(self, call: str, body: bytes) -> bytes:
        response = await self._request("PUT", f"/v1/session/{call}", body)
        if response.status != 200:
            raise messages.error_from_response(response.status, response.body, writes=False)
        return response.body

    async def _request(
        self, method: str, path: str, data: bytes | None = None, query: dict[str, str] | None = None
    ) -> ConsulResponse:
        response: Any = await self._http.request(
            method, f"http://{self._settings.host}:{self._settings.port}{path}", params=query, data=data,
            headers=self._headers, allow_redirects=False, unbuffered=True, reactor=self._reactor,
        )  # fmt: skip
        body = _Body()
        response.deliverBody(body)
        raw_index = (response.headers.getRawHeaders("X-Consul-Index") or ["0"])[0]
        content = await body.content
        return ConsulResponse(response.code, content, int(raw_index) if raw_index.isdecimal() else 0)

    def _with_timeout(self, call: Coroutine[Any, Any, T], wait_s: float, writes: bool) -> Deferred[T]:
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
