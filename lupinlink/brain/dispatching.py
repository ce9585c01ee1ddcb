"""Sends attempts to servers; requests that cannot be sent yet wait for a trusted list or a server."""

import math
from random import Random

from lupinlink.brain.overdue import ANSWER_MARGIN_MS, OverdueNode
from lupinlink.brain.retry_rules import arrive_by, bound_to_cell, may_refuse, may_retry_at
from lupinlink.brain.waiting import WaitingFor, WaitingRequest, WaitingRequests
from lupinlink.interface import Fail, RefusalCause, Refuse, Request, Server, Settings

RETRY_AFTER_TARGETS = 0.5  # advised wait before a retry, in target latencies
# An attempt is overdue so many deviations over the mean, and no sooner than at this share of its target:
# where answers are quick, a pause of this process does not show a stuck server.
OVERDUE_DEVS, MIN_OVERDUE = 2.0, 0.5
SCAN_INTERVAL_MS = 50.0  # between two scans for all waiting requests, while no backend can take one
MAX_SCANNED_PER_INTERVAL = 2048  # backends, beside those drawn, for all requests together
REFUSAL_CAUSES = {WaitingFor.LIST: RefusalCause.LIST_HELD, WaitingFor.BACKEND: RefusalCause.NO_BACKEND}
MAX_SENT_PER_PASS = 16  # waiting requests sent in one event loop iteration


class DispatchingNode(OverdueNode):
    """Sends requests, or queues them."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.waiting = WaitingRequests()
        self.no_room_until = -math.inf  # a scan has found no backend with room
        self.scanned, self.scan_began_at = 0, -math.inf  # backends scanned, since this time
        self.next_release_at = math.inf  # when the hold is checked next
        self.next_scan_at = math.inf  # of the next scan for waiting requests

    def close(self, request: Request, kept: int = -1) -> None:
        self.waiting.remove(request)
        super().close(request, kept)

    def finish(self, request: Request, cause: RefusalCause | None) -> None:
        """Give the final answer: a refusal if there is a cause and a retry is harmless, else a failure."""
        name, is_harmless = request.arrival.request_id, cause is not None and may_refuse(request)
        wait = min(self.settings.max_retry_after_ms, RETRY_AFTER_TARGETS * request.cls.target_latency_ms)
        if cause is not None and is_harmless:
            self.actions.append(Refuse(name, wait * self.rng.uniform(0.5, 1.0), cause))
        else:
            self.actions.append(Fail(name))
        self.close(request)

    def dispatch(self, request: Request, now: float) -> None:
        """Send an attempt if a backend fits, else let the request wait."""
        if request.done:
            return
        if self.must_hold(now):
            self.wait(request, WaitingFor.LIST, now)
        elif not self.try_send(request, now):
            self.wait(request, WaitingFor.BACKEND, now)

    def try_send(self, request: Request, now: float) -> bool:
        """Send an attempt if a backend may take it."""
        self.readmit(now)
        server = self.find_backend(request, now)
        if server is not None:
            self.send(request, server, now)
        return server is not None

    def find_backend(self, request: Request, now: float) -> Server | None:
        """Draw one; if none that was drawn fits, scan some more, unless a scan has just found no room."""
        if self.is_exhausted(request, now) or self.must_hold(now):
            return None

        def fits(server: Server) -> bool:
            return self.has_room(server, now) and self.may_take(request, server, now)

        server = self.selector.pick(now, self, request.arrival.key, fits)
        if server is None and now >= self.no_room_until and self.may_scan(now):
            server = self.scan(request, now)
        return server

    def may_scan(self, now: float) -> bool:
        """Whether the scan budget lasts: many requests may wait that fit nowhere."""
        if now >= self.scan_began_at + SCAN_INTERVAL_MS:
            self.scanned, self.scan_began_at = 0, now
        return self.scanned < MAX_SCANNED_PER_INTERVAL

    def scan(self, request: Request, now: float) -> Server | None:
        """Find a backend among those that were not drawn."""
        at = bound_to_cell(request)
        if at is not None:
            near = [s for s in self.selector.subset.cell(at.zone, at.cell) if self.selector.may_use(s, now)]
            self.scanned += len(near)
            return self.draw_fitting(request, [s for s in near if self.has_room(s, now)], now)
        any_room = False
        for servers in self.selector.fallback_candidates(now):
            self.scanned += len(servers)
            free = [s for s in servers if self.has_room(s, now) and self.slow_start.allows(s, now)]
            any_room = any_room or bool(free)
            if (found := self.draw_fitting(request, free, now)) is not None:
                return found
        if not any_room:
            self.no_room_until = now + SCAN_INTERVAL_MS
        return None

    def draw_fitting(self, request: Request, servers: list[Server], now: float) -> Server | None:
        """Draw one that may take this request, by weight."""
        fitting = [server for server in servers if self.may_take(request, server, now)]
        return self.selector.draw_from(fitting, now) if fitting else None

    def has_room(self, server: Server, now: float) -> bool:
        """Whether a server may take one more request of any kind."""
        excluded = now < server.ejected_until or (server.on_probation and server.in_flight > 0)
        return not excluded and self.limits.has_room(server, now)

    def is_exhausted(self, request: Request, now: float) -> bool:
        """Whether a request may have no further attempt anywhere."""
        over = now >= request.arrival.deadline or len(request.attempts) >= self.settings.max_attempts
        return request.done or over or any(a.status is None for a in request.attempts)

    def may_take(self, request: Request, server: Server, now: float) -> bool:
        """Check the rules for every send: one answer, one effect, no draining server, slow start."""
        if not server.ready or any(a.server is server for a in request.attempts):
            return False
        # No hedged requests: they cost more than they save (docs/design.md).
        is_harmless = all(may_retry_at(a, request.cls, server.endpoint, now) for a in request.attempts)
        return is_harmless and self.slow_start.allows(server, now)

    def send(self, request: Request, server: Server, now: float) -> None:
        """Start an attempt and check on it when it is overdue."""
        self.waiting.remove(request)
        attempt = self.start_attempt(request, server, arrive_by(request), now)
        stats, target_ms = self.latency[request.arrival.class_index], request.cls.target_latency_ms
        late_ms = min(target_ms, max(stats.mean + OVERDUE_DEVS * stats.deviation, MIN_OVERDUE * target_ms))
        self.call_later(late_ms, lambda t: self.overdue(request, attempt, t, 1))

    def wait(self, request: Request, cause: WaitingFor, now: float) -> None:
        """Queue a request for as long as its answer has a value."""
        if (left := self.useful_until(request) - now) <= 0.0:
            return self.give_up(request, cause)
        waiting = self.waiting.add(request, cause)
        self.call_later(left, lambda t: self.wait_expired(waiting, t))
        if cause is WaitingFor.LIST:
            self.plan_release(now)
        else:
            self.plan_scan(now)

    def useful_until(self, request: Request) -> float:
        """Until when a request may wait; afterwards its answer would have no value or come too late."""
        return min(request.arrival.deadline - ANSWER_MARGIN_MS, self.limits.latest_useful_send(request))

    def wait_expired(self, waiting: WaitingRequest, now: float) -> None:
        if self.waiting.find(waiting.request) is waiting:
            self.give_up(waiting.request, waiting.cause)

    def give_up(self, request: Request, cause: WaitingFor) -> None:
        """Refuse a request that could not be sent in time."""
        self.finish(request, REFUSAL_CAUSES[cause])

    def resume_waiting(self, now: float) -> None:
        self.no_room_until = -math.inf
        self.release_held(now)
        self.send_waiting(now)

    def plan_release(self, now: float) -> None:
        """Check the hold when time alone may end it, once for all held requests."""
        ends_at = self.discovery.hold_may_end_at(now)
        if ends_at < self.next_release_at:
            self.next_release_at = ends_at
            self.call_later(ends_at - now, self.release_due)

    def release_due(self, now: float) -> None:
        if now >= self.next_release_at:
            self.next_release_at = math.inf
            self.release_held(now)

    def release_held(self, now: float) -> None:
        """Send held requests if the list is trusted again, a few per event loop iteration."""
        if not self.waiting.any(WaitingFor.LIST):
            return
        if self.must_hold(now):
            return self.plan_release(now)
        for waiting in self.waiting.oldest(WaitingFor.LIST, MAX_SENT_PER_PASS):
            if not self.try_send(waiting.request, now):
                self.waiting.move(waiting, WaitingFor.BACKEND)
        self.plan_scan(now)
        if self.waiting.any(WaitingFor.LIST):
            self.next_release_at = now
            self.call_later(0.0, self.release_due)

    def plan_scan(self, now: float) -> None:
        """Plan one scan for all requests that wait for a backend."""
        if self.next_scan_at == math.inf and self.waiting.any(WaitingFor.BACKEND):
            self.next_scan_at = now + SCAN_INTERVAL_MS
            self.call_later(SCAN_INTERVAL_MS, self.scan_due)

    def scan_due(self, now: float) -> None:
        self.next_scan_at = math.inf
        self.send_waiting(now)

    def send_waiting(self, now: float) -> None:
        """Send requests that wait for a backend, until a scan finds none with room."""
        sent = 0
        for waiting in self.waiting.newest(WaitingFor.BACKEND):
            if sent >= MAX_SENT_PER_PASS or now < self.no_room_until or self.must_hold(now):
                break
            sent += self.try_send(waiting.request, now)
        self.plan_scan(now)

    def server_freed(self, server: Server, now: float) -> None:
        """An attempt has ended: a waiting request may take its place."""
        for waiting in self.waiting.newest(WaitingFor.BACKEND, MAX_SENT_PER_PASS):
            request = waiting.request
            if self.is_exhausted(request, now) or self.must_hold(now) or not self.has_room(server, now):
                return
            if self.may_take(request, server, now):
                return self.send(request, server, now)
        if self.has_room(server, now):
            self.no_room_until = -math.inf
