"""Which request is sent where and when; requests that can't be sent yet wait for what ends their wait."""

import math
from random import Random

from lupinlink.brain.discovery_node import DiscoveryNode
from lupinlink.brain.health import MAX_EJECTED
from lupinlink.brain.retry_rules import begin_by, bound_to_cell, may_follow, may_follow_anywhere, may_refuse
from lupinlink.brain.server_selection import LATENCY, OVERDUE_GAIN
from lupinlink.brain.waiting import WaitingFor, WaitingRequest, WaitingRequests
from lupinlink.interface import Attempt, Cancel, Fail, RefusalCause, Refuse, Request, Server, Settings

RETRY_AFTER = 0.5  # advice in aims
OVERDUE_DEVS, OVERDUE_LEAST = 2.0, 0.5  # later than so many deviations, and so many aims, is news
OVERDUE_AGAIN, LOST_DEVS, SILENT_MOST = 1.5, 20.0, 3  # so many times the age again; lost beyond; it hangs
SCAN_INTERVAL_MS = 50.0  # between two scans for all waiting requests, while no backend can take one
MAX_SCANNED_PER_INTERVAL = 2048  # backends, beside those drawn, for all requests together
ANSWER_MARGIN_MS = 15.0  # a refusal goes out so long before its client leaves
REFUSED_FOR = {WaitingFor.LIST: RefusalCause.LIST_HELD, WaitingFor.BACKEND: RefusalCause.NO_BACKEND}
SENT_AT_ONCE = 16  # most requests that begin in one turn of the loop after a wait


class DispatchingNode(DiscoveryNode):
    """Sends requests, or has them wait."""

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.waiting = WaitingRequests()
        self.none_free_until = -math.inf  # a look has found that no backend may take anything
        self.asked, self.asked_from = 0, -math.inf  # backends looked through, since then
        self.release_at = math.inf  # when the hold is looked at next
        self.look_at = math.inf  # when those that wait for a backend are looked at next

    def again(self, request: Request, now: float, cost: bool = True) -> bool:
        """Whether another attempt can still be useful and the budget lasts."""
        raise NotImplementedError

    def close(self, request: Request, kept: int = -1) -> None:
        self.waiting.remove(request)
        super().close(request, kept)

    def finish(self, request: Request, cause: RefusalCause | None) -> None:
        """The one final answer: a refusal where there is a cause and it is harmless, else a failure."""
        name, harmless = request.arrival.request_id, cause is not None and may_refuse(request)
        wait = min(self.settings.max_retry_after_ms, RETRY_AFTER * request.cls.target_latency_ms)
        if cause is not None and harmless:
            self.actions.append(Refuse(name, wait * self.rng.uniform(0.5, 1.0), cause))
        else:
            self.actions.append(Fail(name))
        self.close(request)

    def dispatch(self, request: Request, now: float) -> None:
        """Send an attempt where one fits, else have the request wait."""
        if request.done:
            return
        if self.list_holds(now):
            self.wait(request, WaitingFor.LIST, now)
        elif not self.try_send(request, now):
            self.wait(request, WaitingFor.BACKEND, now)

    def try_send(self, request: Request, now: float) -> bool:
        """Send an attempt if a backend may take it."""
        self.take_back(now)
        server = self.find_backend(request, now)
        if server is not None:
            self.send(request, server, now)
        return server is not None

    def find_backend(self, request: Request, now: float) -> Server | None:
        """Draw one; where none that is drawn fits, look at some more, unless no request had any just now."""
        if self.is_spent(request, now) or self.list_holds(now):
            return None

        def fits(server: Server) -> bool:
            return self.has_room(server, now) and self.may_take(request, server, now)

        server = self.selector.pick(now, self, request.arrival.key, fits)
        if server is None and now >= self.none_free_until and self.may_look_through(now):
            server = self.look_at_more(request, now)
        return server

    def may_look_through(self, now: float) -> bool:
        """Whether few enough backends were looked through lately: requests that fit nowhere may be many."""
        if now >= self.asked_from + SCAN_INTERVAL_MS:
            self.asked, self.asked_from = 0, now
        return self.asked < MAX_SCANNED_PER_INTERVAL

    def look_at_more(self, request: Request, now: float) -> Server | None:
        """One of those that were not drawn."""
        row = bound_to_cell(request)
        if row is not None:
            near = [s for s in self.selector.subset.cell(row.zone, row.cell) if self.selector.may_use(s, now)]
            self.asked += len(near)
            return self.draw_fitting(request, [s for s in near if self.has_room(s, now)], now)
        any_free = False
        for servers in self.selector.fallback_candidates(now):
            self.asked += len(servers)
            free = [s for s in servers if self.has_room(s, now) and self.slow_start.allows(s, now)]
            any_free = any_free or bool(free)
            if (found := self.draw_fitting(request, free, now)) is not None:
                return found
        if not any_free:
            self.none_free_until = now + SCAN_INTERVAL_MS
        return None

    def draw_fitting(self, request: Request, servers: list[Server], now: float) -> Server | None:
        """One that may take this request, by its weight."""
        fitting = [server for server in servers if self.may_take(request, server, now)]
        return self.selector.draw_from(fitting, now) if fitting else None

    def has_room(self, server: Server, now: float) -> bool:
        """Whether it may have one more request, whichever it is."""
        out = now < server.ejected_until or (server.on_probation and server.in_flight > 0)
        return not out and self.limits.has_room(server, now)

    def is_spent(self, request: Request, now: float) -> bool:
        """Whether it may have no further attempt anywhere."""
        over = now >= request.arrival.deadline or len(request.attempts) >= self.settings.max_attempts
        return request.done or over or any(a.status is None for a in request.attempts)

    def may_take(self, request: Request, server: Server, now: float) -> bool:
        """The guard of the rules for every send: one answer, one effect, drains, cold servers."""
        if not server.ready or any(a.server is server for a in request.attempts):
            return False
        # No second copies: they cost more than they save (docs/design.md).
        harmless = all(may_follow(a, request.cls, server.endpoint, now) for a in request.attempts)
        return harmless and self.slow_start.allows(server, now)

    def send(self, request: Request, server: Server, now: float) -> None:
        """Begin an attempt, and look after it."""
        self.waiting.remove(request)
        attempt = self.start_attempt(request, server, begin_by(request), now)
        stats, aim = self.latency[request.arrival.class_index], request.cls.target_latency_ms
        late = min(aim, max(stats.mean + OVERDUE_DEVS * stats.deviation, OVERDUE_LEAST * aim))
        self.call_later(late, lambda t: self.overdue(request, attempt, t, 1))  # a pause here is no hang

    def wait(self, request: Request, cause: WaitingFor, now: float) -> None:
        """It waits, at most for as long as an answer is worth anything."""
        if (left := self.worth_waiting_until(request) - now) <= 0.0:
            return self.give_up(request, cause)
        waiting = self.waiting.add(request, cause)
        self.call_later(left, lambda t: self.waited(waiting, t))
        if cause is WaitingFor.LIST:
            self.plan_release(now)
        else:
            self.plan_look(now)

    def worth_waiting_until(self, request: Request) -> float:
        """So long may a request wait for a server; then its answer would be worth nothing or too late."""
        return min(request.arrival.deadline - ANSWER_MARGIN_MS, self.limits.latest_begin(request))

    def waited(self, waiting: WaitingRequest, now: float) -> None:
        """The time of a wait is over."""
        if self.waiting.find(waiting.request) is waiting:
            self.give_up(waiting.request, waiting.cause)

    def give_up(self, request: Request, cause: WaitingFor) -> None:
        """Nothing has come for it in time."""
        self.finish(request, REFUSED_FOR[cause])

    def list_may_serve(self, now: float) -> None:
        self.none_free_until = -math.inf
        self.release(now)
        self.look(now)

    def plan_release(self, now: float) -> None:
        """Time alone may end a hold: look then, once for all that are held."""
        ends_at = self.discovery.hold_may_end_at(now)
        if ends_at < self.release_at:
            self.release_at = ends_at
            self.call_later(ends_at - now, self.release_due)

    def release_due(self, now: float) -> None:
        """It is time to look whether the hold has ended."""
        if now >= self.release_at:
            self.release_at = math.inf
            self.release(now)

    def release(self, now: float) -> None:
        """Send what was held, if the list is relied on again; a few at each turn of the loop."""
        if not self.waiting.any(WaitingFor.LIST):
            return
        if self.list_holds(now):
            return self.plan_release(now)
        for waiting in self.waiting.queue(WaitingFor.LIST)[:SENT_AT_ONCE]:
            if not self.try_send(waiting.request, now):
                self.waiting.move(waiting, WaitingFor.BACKEND)
        self.plan_look(now)
        if self.waiting.any(WaitingFor.LIST):
            self.release_at = now
            self.call_later(0.0, self.release_due)

    def plan_look(self, now: float) -> None:
        """One look for all that wait for a backend."""
        if self.look_at == math.inf and self.waiting.any(WaitingFor.BACKEND):
            self.look_at = now + SCAN_INTERVAL_MS
            self.call_later(SCAN_INTERVAL_MS, self.look_due)

    def look_due(self, now: float) -> None:
        """It is time for the next look."""
        self.look_at = math.inf
        self.look(now)

    def look(self, now: float) -> None:
        """Send what waits for a backend, until one look finds that none may take anything."""
        sent = 0
        for waiting in self.waiting.newest(WaitingFor.BACKEND):
            if sent >= SENT_AT_ONCE or now < self.none_free_until or self.list_holds(now):
                break
            sent += self.try_send(waiting.request, now)
        self.plan_look(now)

    def freed(self, server: Server, now: float) -> None:
        """An attempt there has ended: one that waits may take its place."""
        for waiting in self.waiting.newest(WaitingFor.BACKEND)[:SENT_AT_ONCE]:
            request = waiting.request
            if self.is_spent(request, now) or self.list_holds(now) or not self.has_room(server, now):
                return
            if self.may_take(request, server, now):
                return self.send(request, server, now)
        if self.has_room(server, now):
            self.none_free_until = -math.inf

    def overdue(self, request: Request, attempt: Attempt, now: float, first: int = 0) -> None:
        """Danger: a jammed server answers late and so reports late; the age of what it holds is evidence."""
        if attempt.status is not None:
            return
        server, age, stats = attempt.server, now - attempt.sent_at, self.latency[request.arrival.class_index]
        self.selector.observe(server, age / stats.mean, LATENCY, OVERDUE_GAIN, now)
        self.call_later((OVERDUE_AGAIN - 1.0) * age, lambda t: self.overdue(request, attempt, t))
        # Danger: a server that hangs eats what it is sent; where it answers others, one connection is silent.
        quiet = server.last_response_at < attempt.sent_at
        server.unanswered += first * quiet
        hangs = quiet and (server.unanswered >= SILENT_MOST or (server.on_probation and not first))
        if hangs:
            self.eject(server, now, MAX_EJECTED * self.ready)
        if hangs or age > stats.mean + LOST_DEVS * stats.deviation:
            elsewhere = self.may_go_elsewhere(request, attempt, now)
            if elsewhere and self.settings.may_cancel and self.again(request, now):
                self.actions.append(Cancel(request.arrival.request_id, len(request.attempts) - 1))

    def may_go_elsewhere(self, request: Request, attempt: Attempt, now: float) -> bool:
        """Whether a usable server that has not had the request may have it after this attempt."""
        if not may_follow_anywhere(attempt, request.cls, now):
            return False
        used = {a.server.endpoint.name for a in request.attempts}  # by name: a restart makes none new
        row, stretch = bound_to_cell(request), self.selector.subset
        servers = stretch.usable() if row is None else stretch.cell(row.zone, row.cell)
        others = (s for s in servers if s.endpoint.name not in used)
        return any(may_follow(attempt, request.cls, s.endpoint, now) for s in others)
