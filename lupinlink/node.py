"""Bookkeeping of one node: timers, open requests, attempts and the list of endpoints. No decision here."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lupinlink import interface as api
from lupinlink.interface import Attempt, EndpointState, Group, MembershipKind, Request, Server
from lupinlink.spread.key_affinity import salt


class Node:
    """Keeps the records straight and hands each piece of news to the decisions, which subclass it."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        self.settings, self.rng = settings, rng
        self.servers: dict[str, Server] = {}
        self.open_requests: dict[str, Request] = {}
        self.groups: dict[tuple[int, int], Group] = {}  # by zone and kind
        self.ready = 0
        self._gone: dict[str, Server] = {}  # no longer listed, with attempts still out there
        self.in_flight = 0
        self.actions: list[api.Action] = []
        self._timers: dict[int, Callable[[float], None]] = {}
        self._next_token = 0
        self._started = False
        self._handlers: dict[type, Callable[..., None]] = {
            api.Arrival: self._on_arrival,
            api.Outcome: self._on_outcome,
            api.TimerFired: self._on_timer,
            api.ClientGone: self._on_client_gone,
            api.StreamStarted: self._on_stream,
            api.Membership: self._on_membership,
            api.ProbeResult: self._on_probe,
            api.ProcessStarted: self._on_discovery,
            api.DiscoveryMoved: self._on_discovery,
            api.DiscoveryCallLate: self._on_discovery,
            api.DiscoveryCallReached: self._on_discovery,
            api.DiscoveryCallAnswered: self._on_discovery,
            api.DiscoveryPartial: self._on_discovery,
            api.DiscoveryCallFailed: self._on_discovery,
            api.DiscoveryWatchEnded: self._on_discovery,
        }

    def node_started(self, now: float) -> None:
        """The first event is about to be handled."""
        raise NotImplementedError

    def request_arrived(self, request: Request, now: float) -> None:
        """A request landed and is open."""
        raise NotImplementedError

    def attempt_ended(self, request: Request, attempt: Attempt, event: api.Outcome, now: float) -> None:
        """An attempt has its outcome; ``request.done`` tells whether the request is over."""
        raise NotImplementedError

    def server_listed(self, server: Server) -> None:
        """A server is new to this node or its process has restarted."""
        raise NotImplementedError

    def server_left(self, server: Server, now: float) -> None:
        """A server is known here no longer, or its process is another one now."""
        raise NotImplementedError

    def server_usable_changed(self, server: Server, now: float) -> None:
        """A server has become ready, or is so no longer."""
        raise NotImplementedError

    def list_updated(self, event: api.Membership, now: float) -> None:
        """Discovery spoke, or (``FAILED``) a call failed or the subscription broke."""
        raise NotImplementedError

    def discovery_updated(self, event: api.DiscoveryEvent, now: float) -> None:
        """What became of a call to discovery or of the watch."""
        raise NotImplementedError

    def probe_ended(self, server: Server, event: api.ProbeResult, now: float) -> None:
        """A probe came back."""
        raise NotImplementedError

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take one event; the actions are to be carried out at the same instant, in order."""
        self.actions = []
        if not self._started:
            self._started = True
            self.node_started(now)
        self._handlers[type(event)](now, event)
        return self.actions

    def sizes(self) -> dict[str, int]:
        """The size of every table here."""
        return {"module_servers": len(self.servers), "module_open": len(self.open_requests),
                "module_timers": len(self._timers)}  # fmt: skip

    def call_later(self, delay_ms: float, call: Callable[[float], None]) -> None:
        """Call back later."""
        self._next_token += 1
        self._timers[self._next_token] = call
        self.actions.append(api.SetTimer(delay_ms, self._next_token))

    def subscribe(self, now: float) -> None:
        """Ask discovery for changes."""
        self.actions.append(api.Subscribe())

    def outstanding(self) -> list[tuple[Request, Attempt]]:
        """The attempts that are out."""
        return [(r, a) for r in self.open_requests.values() for a in r.attempts if a.status is None]

    def start_attempt(self, request: Request, server: Server, by: float, now: float) -> Attempt:
        """Record and emit a send."""
        attempt = Attempt(server, now)
        request.attempts.append(attempt)
        server.in_flight += 1
        server.sent_since_report += 1
        server.tokens -= 1.0
        self.in_flight += 1
        # The time-out is the client's own: a failure told at that instant is the final answer in time.
        left = request.arrival.deadline - now
        self.actions.append(api.Send(request.arrival.request_id, server.endpoint.name, left, by))
        return attempt

    def close(self, request: Request, kept: int = -1) -> None:
        """A request is over: call off what is out (but ``kept``), forget it once nothing is."""
        request.done = True
        out = [i for i, a in enumerate(request.attempts) if a.status is None]
        if not out:
            self.open_requests.pop(request.arrival.request_id, None)
        elif self.settings.may_cancel:
            self.actions += [api.Cancel(request.arrival.request_id, i) for i in out if i != kept]

    def _on_arrival(self, now: float, event: api.Arrival) -> None:
        cls = self.settings.classes[event.class_index]
        request = Request(event, cls, now + cls.target_latency_ms)
        self.open_requests[event.request_id] = request
        self.request_arrived(request, now)

    def _on_outcome(self, now: float, event: api.Outcome) -> None:
        request = self.open_requests.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.status is not None:
            return  # told twice
        attempt.status = event.status
        attempt.server.in_flight -= 1
        self.in_flight -= 1
        request.done = request.done or event.closed
        self.attempt_ended(request, attempt, event, now)
        if request.done:
            self.close(request)

    def _on_timer(self, now: float, event: api.TimerFired) -> None:
        call = self._timers.pop(event.token, None)
        if call is not None:
            call(now)

    def _on_client_gone(self, now: float, event: api.ClientGone) -> None:
        if event.request_id in self.open_requests:
            self.close(self.open_requests[event.request_id])

    def _on_stream(self, now: float, event: api.StreamStarted) -> None:
        if event.request_id in self.open_requests:  # the answer belongs to the client; no further attempt
            self.close(self.open_requests[event.request_id], kept=event.attempt)

    def _on_membership(self, now: float, event: api.Membership) -> None:
        if event.kind in (MembershipKind.CACHED, MembershipKind.FULL):
            self._leave_out(event.endpoints, now)
        for row in event.endpoints:
            self._take_row(row, now)
        if event.kind != MembershipKind.FAILED:
            self._forget_gone(now)
        self.list_updated(event, now)

    def _leave_out(self, listed: list[api.Endpoint], now: float) -> None:
        """What a whole list does not name is gone."""
        named = {row.name for row in listed}
        for name, server in self.servers.items():
            if name not in named:
                server.endpoint.state = EndpointState.GONE
                self._set_ready(server, False, now)
                self._gone[name] = server

    def _take_row(self, row: api.Endpoint, now: float) -> None:
        known = self.servers.get(row.name)
        if known is None or row.started_ms > known.endpoint.started_ms:
            if known is not None:
                self._drop(known, now)
            # After a restart nothing learnt of the old process holds.
            group = self.groups.setdefault((row.zone, row.kind), Group(now))
            known = Server(row, now, group, tokens_at=now, salt=salt(row.name))
            self.servers[row.name] = known
            self.server_listed(known)
        known.endpoint = row
        self._set_ready(known, row.state == EndpointState.READY, now)
        if row.state == EndpointState.GONE:
            self._gone[row.name] = known
        else:
            self._gone.pop(row.name, None)

    def _set_ready(self, server: Server, ready: bool, now: float) -> None:
        if ready != server.ready:
            server.ready = ready
            self.ready += 1 if ready else -1
            self.server_usable_changed(server, now)

    def _drop(self, server: Server, now: float) -> None:
        self._set_ready(server, False, now)
        del self.servers[server.endpoint.name]
        self.server_left(server, now)

    def _forget_gone(self, now: float) -> None:
        """Drop the servers that are gone once nothing is out there: a long day sees ever new ones."""
        for name, server in list(self._gone.items()):
            if not server.in_flight:
                del self._gone[name]
                self._drop(server, now)

    def _on_discovery(self, now: float, event: api.DiscoveryEvent) -> None:
        self.discovery_updated(event, now)

    def _on_probe(self, now: float, event: api.ProbeResult) -> None:
        if event.endpoint in self.servers:
            self.probe_ended(self.servers[event.endpoint], event, now)
