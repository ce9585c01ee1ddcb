"""State of one node: timers, open requests, attempts and the list of endpoints.

Node is the base class of the decision module in lupinlink.brain, which overrides its hooks.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lupinlink import interface as api
from lupinlink.interface import Attempt, EndpointState, Group, MembershipKind, Request, Server
from lupinlink.spread.key_affinity import salt


class Node:
    """Updates the records for each event, then calls the hook that decides what to do."""

    def __init__(self, settings: api.Settings, rng: Random) -> None:
        self.settings, self.rng = settings, rng
        self.servers: dict[str, Server] = {}
        self.open_requests: dict[str, Request] = {}
        self.groups: dict[tuple[int, int], Group] = {}  # by zone and kind
        self.ready = 0  # number of ready servers
        self._gone: dict[str, Server] = {}  # no longer listed; kept while attempts are in flight there
        self.in_flight = 0  # open attempts at all servers
        self.actions: list[api.Action] = []
        self._timers: dict[int, Callable[[float], None]] = {}
        self._next_token = 0
        self._started = False
        self._handlers: dict[type, Callable[..., None]] = {
            api.Arrival: self._on_arrival,
            api.Outcome: self._on_outcome,
            api.TimerFired: self._on_timer,
            api.ClientGone: self._on_client_gone,
            api.AnswerData: self._on_answer_data,
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
        """Called before the first event is handled."""
        raise NotImplementedError

    def request_arrived(self, request: Request, now: float) -> None:
        """A request has arrived and is open."""
        raise NotImplementedError

    def attempt_ended(self, request: Request, attempt: Attempt, event: api.Outcome, now: float) -> None:
        """An attempt has its outcome; if ``request.done``, the request needs no answer any more."""
        raise NotImplementedError

    def answer_began(self, request: Request, attempt: Attempt, now: float) -> None:
        """The first part of the response to an open attempt has arrived, and the rest has not."""
        raise NotImplementedError

    def server_listed(self, server: Server) -> None:
        """A server is new on the list, or its process has restarted."""
        raise NotImplementedError

    def server_left(self, server: Server, now: float) -> None:
        """A server is dropped from the records, or its process has restarted."""
        raise NotImplementedError

    def server_usable_changed(self, server: Server, now: float) -> None:
        """A server has become ready or stopped being ready."""
        raise NotImplementedError

    def list_updated(self, event: api.Membership, now: float) -> None:
        """The list has changed or, with kind ``FAILED``, a call has failed or the subscription has broken."""
        raise NotImplementedError

    def discovery_updated(self, event: api.DiscoveryEvent, now: float) -> None:
        """The state of a call to discovery or of the watch has changed."""
        raise NotImplementedError

    def probe_ended(self, server: Server, event: api.ProbeResult, now: float) -> None:
        """A probe of a listed server has ended."""
        raise NotImplementedError

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle one event. The caller carries out the returned actions at once and in order."""
        self.actions = []
        if not self._started:
            self._started = True
            self.node_started(now)
        self._handlers[type(event)](now, event)
        return self.actions

    def sizes(self) -> dict[str, int]:
        """The sizes of all tables, by the name of their gauge."""
        return {"module_servers": len(self.servers), "module_open": len(self.open_requests),
                "module_timers": len(self._timers)}  # fmt: skip

    def call_later(self, delay_ms: float, call: Callable[[float], None]) -> None:
        """Call ``call`` with the then current time once the delay has passed."""
        self._next_token += 1
        self._timers[self._next_token] = call
        self.actions.append(api.SetTimer(delay_ms, self._next_token))

    def subscribe(self, now: float) -> None:
        """Call discovery."""
        self.actions.append(api.Subscribe())

    def outstanding(self) -> list[tuple[Request, Attempt]]:
        """All attempts in flight, each with its request."""
        return [(r, a) for r in self.open_requests.values() for a in r.attempts if a.status is None]

    def start_attempt(self, request: Request, server: Server, by: float, now: float) -> Attempt:
        """Record a new attempt and emit its Send; it must begin until the time ``by``."""
        attempt = Attempt(server, now)
        request.attempts.append(attempt)
        server.in_flight += 1
        server.sent_since_report += 1
        server.tokens -= 1.0
        self.in_flight += 1
        # The attempt may use all the time left: a failure at the deadline is still an answer in time.
        remaining_ms = request.arrival.deadline - now
        self.actions.append(api.Send(request.arrival.request_id, server.endpoint.name, remaining_ms, by))
        return attempt

    def close(self, request: Request, kept: int = -1) -> None:
        """Mark a request as done, cancel its attempts except number ``kept``; drop it once none is open."""
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
            return  # its outcome is already known
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

    def _on_answer_data(self, now: float, event: api.AnswerData) -> None:
        request = self.open_requests.get(event.request_id)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        is_first, attempt.last_data_at = not attempt.answer_begun, now
        if is_first and attempt.status is None:
            self.answer_began(request, attempt, now)

    def _on_stream(self, now: float, event: api.StreamStarted) -> None:
        if event.request_id in self.open_requests:  # the client gets this response: no further attempt
            self.close(self.open_requests[event.request_id], kept=event.attempt)

    def _on_membership(self, now: float, event: api.Membership) -> None:
        if event.kind in (MembershipKind.CACHED, MembershipKind.FULL):
            self._mark_unlisted_gone(event.endpoints, now)
        for endpoint in event.endpoints:
            self._update_server(endpoint, now)
        if event.kind != MembershipKind.FAILED:
            self._drop_gone(now)
        self.list_updated(event, now)

    def _mark_unlisted_gone(self, listed: list[api.Endpoint], now: float) -> None:
        """Mark the servers that are missing from a complete list as gone."""
        names = {endpoint.name for endpoint in listed}
        for name, server in self.servers.items():
            if name not in names:
                server.endpoint.state = EndpointState.GONE
                self._set_ready(server, False, now)
                self._gone[name] = server

    def _update_server(self, endpoint: api.Endpoint, now: float) -> None:
        server = self.servers.get(endpoint.name)
        if server is None or endpoint.started_ms > server.endpoint.started_ms:
            if server is not None:
                self._drop(server, now)
            # Nothing learnt about the previous process holds after a restart.
            group = self.groups.setdefault((endpoint.zone, endpoint.kind), Group(now))
            server = Server(endpoint, now, group, tokens_at=now, salt=salt(endpoint.name))
            self.servers[endpoint.name] = server
            self.server_listed(server)
        server.endpoint = endpoint
        self._set_ready(server, endpoint.state == EndpointState.READY, now)
        if endpoint.state == EndpointState.GONE:
            self._gone[endpoint.name] = server
        else:
            self._gone.pop(endpoint.name, None)

    def _set_ready(self, server: Server, ready: bool, now: float) -> None:
        if ready != server.ready:
            server.ready = ready
            self.ready += 1 if ready else -1
            self.server_usable_changed(server, now)

    def _drop(self, server: Server, now: float) -> None:
        self._set_ready(server, False, now)
        del self.servers[server.endpoint.name]
        self.server_left(server, now)

    def _drop_gone(self, now: float) -> None:
        """Drop gone servers without open attempts; otherwise the table would grow with every new server."""
        for name, server in list(self._gone.items()):
            if not server.in_flight:
                del self._gone[name]
                self._drop(server, now)

    def _on_discovery(self, now: float, event: api.DiscoveryEvent) -> None:
        self.discovery_updated(event, now)

    def _on_probe(self, now: float, event: api.ProbeResult) -> None:
        if event.endpoint in self.servers:
            self.probe_ended(self.servers[event.endpoint], event, now)
