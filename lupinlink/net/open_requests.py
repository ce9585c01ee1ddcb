"""The table of open requests: each is answered once, and removed when no attempt of it is in flight."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lupinlink import interface as api
from lupinlink.clock import Clock
from lupinlink.interface import Status
from lupinlink.limits.memory_account import MemoryAccount, MemoryKind, MemoryLevel
from lupinlink.net.counters import Counters
from lupinlink.net.open_request import UPLOAD_LIMIT_MS, OpenRequest, memory_of, time_left_ms
from lupinlink.net.request_log import RequestLog
from lupinlink.net.request_types import (
    ClientRequest,
    FailureReason,
    RefusalReason,
    Responder,
)
from lupinlink.net.sent_identities import SentIdentities
from lupinlink.net.slots import Slots
from lupinlink.settings import Settings

log = logging.getLogger("lupinlink.net.proxy")  # shared with Proxy, which extends this class
GUARD_DELAY_MS = 10.0  # a request that the module has not ended is ended here this long after its deadline


class OpenRequests:
    """The table. Each request gets exactly one final answer, even if the decision module fails."""

    def __init__(self, settings: Settings, clock: Clock, counters: Counters) -> None:
        self.counters = counters
        self._settings, self._clock = settings, clock
        self.request_log = RequestLog(clock)
        self._requests: Slots[OpenRequest] = Slots(settings.max_open_requests)
        self._identities: set[str] = set()  # of all requests in the table
        self.sent = SentIdentities(settings, clock)
        self.account = MemoryAccount()
        # Set by the fleet extension. ``quota_check``: None if the request is within its quota, else the time
        # in ms after which to retry. ``on_settled``: the request is answered or its client has left.
        self.quota_check: Callable[[ClientRequest], float | None] | None = None
        self.on_settled: Callable[[ClientRequest], None] | None = None
        self._closed = False  # every request is answered at once

    def handle(self, event: api.Event) -> None:
        """Pass an event to the decision module and carry out its actions."""
        raise NotImplementedError

    @property
    def open(self) -> int:
        """The number of requests that are not answered yet."""
        return sum(1 for entry in self._requests if entry.responder is not None)

    def submit(self, request: ClientRequest, responder: Responder) -> int | None:
        """Add a request; returns its handle, or None if it was answered at once.

        Its body is complete, or it is streamed and ``body_completed`` follows.
        """
        if self._closed:
            self.counters["failed"] += 1
            self.request_log.failed(request, FailureReason.TOO_LATE)
            responder.failed(FailureReason.TOO_LATE)
            return None
        if request.identity in self._identities or self.sent.forbid(request):
            # Application servers would take it for a copy of the request with this identity, or run it again.
            self.counters["duplicates"] += 1
            self.request_log.failed(request, FailureReason.DUPLICATE)
            responder.failed(FailureReason.DUPLICATE)
            return None
        if self._requests.full:
            self._answer_refused(request, responder, RefusalReason.TABLE_FULL, 0.0)
            return None
        if self.account.level >= MemoryLevel.REFUSE:
            wait_ms = self._settings.classes[request.class_index].target_latency_ms
            wait_ms = min(self._settings.max_retry_after_ms, wait_ms)
            self._answer_refused(request, responder, RefusalReason.MEMORY, wait_ms)
            return None
        if self.quota_check is not None and not self._within_quota(request, responder):
            return None
        self.counters["requests"] += 1
        now = self._clock.now()
        deadline = now + (
            time_left_ms(request, request.waited_ms) if request.body.complete else UPLOAD_LIMIT_MS
        )
        handle = self._requests.add(OpenRequest(request, responder, deadline))
        self._identities.add(request.identity)
        entry = self._requests.get(handle)
        assert entry is not None
        entry.held_bytes = memory_of(request)
        self.account.change(MemoryKind.REQUESTS, entry.held_bytes)
        if request.body.complete:
            self._set_guard_timer(handle, entry)
        request.body.on_discard = lambda: self._commit(handle)
        tenant, retry = request.tenant, request.is_retry
        self.handle(api.Arrival(str(handle), request.class_index, tenant, deadline, retry, request.key))
        return handle

    def sent_identities(self) -> list[int]:
        """The digests of all requests that may not run again, those in flight included."""
        return self.sent.digests(entry.request for entry in self._requests if entry.attempts)

    def _within_quota(self, request: ClientRequest, responder: Responder) -> bool:
        """Whether the request is within the fleet's quotas; if not, it is answered here."""
        assert self.quota_check is not None
        try:
            retry_after_ms = self.quota_check(request)
        except Exception:
            # Admitting it would bypass the quota.
            log.exception("quota failed")
            self.counters["internal_errors"] += 1
            self.counters["failed"] += 1
            responder.failed(FailureReason.INTERNAL)
            return False
        if retry_after_ms is not None:
            self._answer_refused(request, responder, RefusalReason.QUOTA, retry_after_ms)
        return retry_after_ms is None

    def _answer_refused(
        self,
        request: ClientRequest,
        responder: Responder,
        why: RefusalReason,
        retry_after_ms: float,
        cause: str = "",
    ) -> None:
        """Refuse a request, which says that a retry is safe. The one place that counts refusals.

        ``cause``: why the decision module refused it.
        """
        self.request_log.refused(request, why, cause)
        self.counters["refused"] += 1
        self.counters[f"refused_{why.value}"] += 1
        responder.refused(retry_after_ms, why is RefusalReason.QUOTA)

    def _set_guard_timer(self, handle: int, entry: OpenRequest) -> None:
        self._clock.drop(entry.guard_timer)
        at = entry.deadline + GUARD_DELAY_MS
        entry.guard_timer = self._clock.at(at, lambda: self.end(handle, FailureReason.TOO_LATE))

    def body_completed(self, handle: int, since: float | None = None) -> None:
        """Note that a streamed body is complete: the request's time counts from ``since``, or from now on."""
        self.body_may_be_complete(handle, self._clock.now() if since is None else since)

    def body_may_be_complete(self, handle: int, since: float | None) -> None:
        """Note that the client may have written the last byte at ``since``; None: it has not after all."""
        entry = self._requests.get(handle)
        if entry is None or entry.responder is None:
            return
        begin, left_ms = self._clock.now(), UPLOAD_LIMIT_MS
        if since is not None:
            begin, left_ms = since, time_left_ms(entry.request, 0.0)
        entry.deadline = begin + left_ms
        self._set_guard_timer(handle, entry)
        if entry.attempts_in_flight:
            entry.attempts[-1].set_deadline(entry.deadline)

    def _commit(self, handle: int) -> None:
        """Make the attempt in flight the last: bytes of the body that a retry would need have been dropped.

        The module is told that it was not sent, as the time an upload takes says nothing about its server's
        latency. From here on the attempt is handled without the module.
        """
        entry = self._requests.get(handle)
        if entry is not None and not entry.committed:
            entry.committed = True
            self.counters["attempts_committed"] += 1
            index = len(entry.attempts) - 1
            self.handle(api.Outcome(str(handle), Status.NOT_SENT, 0.0, index, True, entry.server, None))

    def client_left(self, handle: int) -> None:
        """Drop a request whose client has closed its connection."""
        entry = self._requests.get(handle)
        if entry is not None and entry.responder is not None:
            self.counters["clients_gone"] += 1
            self._take_responder(entry)
            self._abandon(handle, entry)

    def _abandon(self, handle: int, entry: OpenRequest) -> None:
        """Stop the request: nobody waits for its answer any more."""
        self.handle(api.ClientGone(str(handle)))
        if entry.committed:
            entry.attempts[-1].give_up(Status.CANCELLED)
        self._release(handle)

    def end(self, handle: int, why: FailureReason) -> None:
        """Answer a request that the module has not answered: at a defect, past its deadline, or at a stop."""
        entry = self._requests.get(handle)
        if entry is not None and entry.responder is not None:
            kv = {"id": entry.request.identity, "why": why.value, "attempts": len(entry.attempts)}
            log.warning("request ended without the module", extra={"kv": kv})
            self._answer_failed(entry, why)
            self._abandon(handle, entry)

    def end_all(self) -> None:
        """Answer every open request now."""
        for handle in self._requests.handles():
            self.end(handle, FailureReason.TOO_LATE)

    def close(self) -> None:
        """Answer every open request now, and each further one at once: the process may be killed any time."""
        self.end_all()
        self._closed = True

    def _take_responder(self, entry: OpenRequest) -> Responder | None:
        """Mark the request as settled; returns its responder, None if it was settled before."""
        responder, entry.responder = entry.responder, None
        self._clock.drop(entry.guard_timer)
        if responder is not None and self.on_settled is not None:
            self._notify_settled(entry.request)
        return responder

    def _notify_settled(self, request: ClientRequest) -> None:
        assert self.on_settled is not None
        try:
            self.on_settled(request)
        except Exception:  # a defect in the fleet extension must not keep the answer from going out
            log.exception("settling failed")
            self.counters["internal_errors"] += 1

    def _release(self, handle: int) -> None:
        """Remove a settled request; cancels attempts that are not sent yet, even where ``Cancel`` is off."""
        entry = self._requests.get(handle)
        if entry is None or entry.responder is not None:
            return
        for attempt in entry.attempts:
            attempt.cancel_if_unsent()  # the last attempt to end calls _release again
        if not entry.attempts_in_flight and self._requests.remove(handle) is not None:
            self._identities.discard(entry.request.identity)
            self.account.change(MemoryKind.REQUESTS, -entry.held_bytes)
            if entry.may_have_run:
                self.sent.may_have_run(entry.request)
            entry.request.body.discard()

    def _answer_failed(self, entry: OpenRequest, why: FailureReason) -> None:
        responder = self._take_responder(entry)
        if responder is not None:
            self.counters["failed"] += 1
            self.request_log.failed(entry.request, why, entry.last_end, entry.server)
            responder.failed(why)
