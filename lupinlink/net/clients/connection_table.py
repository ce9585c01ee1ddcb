"""Who has a place among the connections of clients, and who gives way to others."""

from __future__ import annotations

from itertools import islice

from lupinlink.limits.idle_reuse import IdleEnd, IdleReuse, keep_threshold
from lupinlink.net.clients.connection import ClientConnection
from lupinlink.net.clients.phases import Phase
from lupinlink.net.counters import Counters
from lupinlink.net.slots import Slots
from lupinlink.net.timer_wheel import ReactorClock

PEEKS = 8  # connections looked at to make room for one


class ConnectionTable:
    """Every connection, by phase in order of time, under one cap."""

    def __init__(self, cap: int, clock: ReactorClock, counters: Counters) -> None:
        self._clock, self._counters = clock, counters
        self.connections: Slots[ClientConnection] = Slots(cap)
        self.phases: dict[Phase, dict[ClientConnection, None]] = {phase: {} for phase in Phase}
        self.streaming: dict[ClientConnection, None] = {}  # answers are being passed on to these
        self.uploading: dict[
            ClientConnection, None
        ] = {}  # their requests are with the decisions before their end
        self._idle_reuse = IdleReuse(cap)

    def enter(self, client: ClientConnection, phase: Phase | None, anew: bool = False) -> None:
        """A connection's phase begins, or begins ``anew``; None: it has ended."""
        if client.phase is phase and not anew:
            return
        now = self._clock.now()
        if client.phase is not None:
            self.phases[client.phase].pop(client, None)
        if client.idle_period is not None:
            how = (
                IdleEnd.CLOSED_BY_CLIENT
                if phase is None
                else IdleEnd.CLOSED_BY_PROXY
                if phase is Phase.CLOSING
                else IdleEnd.REUSED
            )
            self._idle_reuse.idle_ended(client.idle_period, now, how)
            client.idle_period = None
        client.phase, client.since = phase, now
        if phase is not None:
            self.phases[phase][client] = None
        if phase is Phase.RESTING:
            client.idle_period = self._idle_reuse.idle_began(client.address, now)

    @property
    def taken(self) -> float:
        """The share of the places that is in use, without those where no request was seen or none will be."""
        used = sum(len(self.phases[phase]) for phase in (Phase.OPEN, Phase.RESTING, Phase.HEAD, Phase.BODY))
        return used / self.connections.capacity

    def worth_keeping(self, client: ClientConnection) -> bool:
        """Whether a connection that has its answer is worth its place."""
        return self._idle_reuse.worth_keeping(client.address, self.taken)

    def forget(self, client: ClientConnection) -> None:
        """A connection has ended."""
        self.connections.remove(client.handle)
        self.enter(client, None)
        self.uploading.pop(client, None)

    def make_room(self) -> bool:
        """Who has stood longest where nothing is expected any more goes; nothing here looks at them all.

        Danger: hundreds that connect and say nothing must not crowd out those who come back for more.
        """
        now, peeks = self._clock.now(), 0
        for phase in (Phase.CLOSING, Phase.SILENT, Phase.RESTING):
            for client in list(islice(self.phases[phase], PEEKS)):
                if now - client.since < phase.grace_ms or peeks >= PEEKS:
                    break
                if not client.connected:
                    continue  # only being set up: it must not make room for itself
                peeks += 1
                if self._gives_way(client):
                    return True
        for phase in (Phase.HEAD, Phase.BODY):
            # Of those who are sending a request, the one that has been still longest; who gets on stays.
            still = min(self.phases[phase], key=lambda client: client.heard_at, default=None)
            if still is not None and now - still.heard_at >= phase.grace_ms and self._gives_way(still):
                return True
        return False

    def _gives_way(self, client: ClientConnection) -> bool:
        if client.unread():
            return False
        client.make_way()
        # Its socket is freed a turn later, out of the reserve; its place now, unless it had lost it before.
        freed = self.connections.remove(client.handle) is not None
        self._counters["made_room"] += freed
        return freed

    def close_idle(self, include_new: bool) -> None:
        """Close what is between requests; ``unasked``: also who has not asked anything yet."""
        for phase in (Phase.RESTING, Phase.SILENT) if include_new else (Phase.RESTING,):
            for client in list(self.phases[phase]):
                if not client.begun and not client.unread():
                    client.close()

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        phases = {f"clients_{phase.name.lower()}": len(clients) for phase, clients in self.phases.items()}
        return {
            "clients_now": len(self.connections),
            "flowing": len(self.streaming),
            **phases,
        }

    def _end_rests(self, now: float) -> None:
        """Close the rests whose place is worth more to others, the oldest first."""
        resting = self.phases[Phase.RESTING]
        self._idle_reuse.refresh(
            [client.idle_period for client in resting if client.idle_period is not None], now
        )
        for client in list(resting):
            if keep_threshold(taken := self.taken) <= 0.0:
                break
            rest = client.idle_period
            if rest is not None and self._idle_reuse.should_close(rest, taken, now) and not client.unread():
                client.close()
                self._counters["given_up_resting"] += 1

    def sweep(self, rests: bool) -> None:
        """See off who stood too long; ``rests``: also who rests where the place is worth more to others."""
        now = self._clock.now()
        for phase, clients in self.phases.items():
            for client in list(islice(clients, 64)):
                if now - client.since < phase.limit_ms:
                    break
                if phase is Phase.CLOSING or not client.unread():
                    client.leave(overdue=True)
        slow = [*self.phases[Phase.HEAD], *self.phases[Phase.BODY], *self.uploading]
        for client in slow:
            if client.late(now) and not client.unread():
                client.leave(overdue=True)
        for client in [client for client in self.streaming if client.stuck(now)]:
            self._counters["answers_unread"] += 1
            client.abort()
        if rests:
            self._end_rests(now)
