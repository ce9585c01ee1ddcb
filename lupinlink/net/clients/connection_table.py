"""The table of client connections: their phases and time-outs, and which ones are closed to make room."""

from __future__ import annotations

from itertools import islice

from lupinlink.limits.idle_reuse import IdleEnd, IdleReuse, keep_threshold
from lupinlink.limits.memory_account import Holding, MemoryAccount, MemoryKind, MemoryLevel
from lupinlink.net.clients.closing import CloseReason
from lupinlink.net.clients.connection import ClientConnection
from lupinlink.net.clients.phases import Phase
from lupinlink.net.counters import Counters
from lupinlink.net.slots import Slots
from lupinlink.net.timer_wheel import ReactorClock

MAX_EVICTION_CHECKS = 8  # connections checked to make room for one
MAX_REFUSED_AT_ONCE = 64  # unfinished requests that are refused in one sweep, as memory is short
SHORT_STALL_MS = 5000.0  # while memory is short, for a client that receives nothing of its answer
CONNECTION_BYTES = 4 * 1024  # memory of the objects of one connection


class ConnectionTable:
    """All client connections, within one limit; those of each phase are ordered by when it began."""

    def __init__(self, cap: int, clock: ReactorClock, counters: Counters, account: MemoryAccount) -> None:
        self._clock, self._counters, self._account = clock, counters, account
        held = Holding(account, MemoryKind.CLIENTS)
        self.connections: Slots[ClientConnection] = Slots(cap, held, CONNECTION_BYTES)
        self.phases: dict[Phase, dict[ClientConnection, None]] = {phase: {} for phase in Phase}
        self.streaming: dict[ClientConnection, None] = {}  # with an answer that is being streamed
        self.uploading: dict[
            ClientConnection, None
        ] = {}  # their requests are with the decisions before their end
        self.unsent: dict[ClientConnection, None] = {}  # with answers that the kernel has not taken
        self._idle_reuse = IdleReuse(cap)

    def set_phase(self, client: ClientConnection, phase: Phase | None, anew: bool = False) -> None:
        """Set a connection's phase, or restart it with ``anew``; None: the connection has ended."""
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
    def utilization(self) -> float:
        """The used share of the limit, without connections that had no request yet or are closing."""
        used = sum(len(self.phases[phase]) for phase in (Phase.OPEN, Phase.RESTING, Phase.HEAD, Phase.BODY))
        return used / self.connections.capacity

    def worth_keeping(self, client: ClientConnection) -> bool:
        """Whether a connection that has its answer is likely enough to be used again."""
        return self._idle_reuse.worth_keeping(client.address, self.utilization)

    def forget(self, client: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.remove(client.handle)
        self.set_phase(client, None)
        self.uploading.pop(client, None)
        self.unsent.pop(client, None)

    def make_room(self) -> bool:
        """Close the connection that is least likely to be needed; False if there is none to close.

        Closing ones go first, then silent ones, so that hundreds of clients that connect and send nothing do
        not displace those that return. Only a few are checked, so the cost does not grow with their number.
        """
        now, checked = self._clock.now(), 0
        for phase in (Phase.CLOSING, Phase.SILENT, Phase.RESTING):
            for client in list(islice(self.phases[phase], MAX_EVICTION_CHECKS)):
                if now - client.since < phase.grace_ms or checked >= MAX_EVICTION_CHECKS:
                    break
                if not client.connected:
                    continue  # still being set up: it must not make room for itself
                checked += 1
                if self._evict(client):
                    return True
        for phase in (Phase.HEAD, Phase.BODY):
            # Of those that are sending a request, the one that has sent nothing for the longest time.
            slowest = min(self.phases[phase], key=lambda client: client.last_read_at, default=None)
            if slowest is not None and now - slowest.last_read_at >= phase.grace_ms and self._evict(slowest):
                return True
        return False

    def _evict(self, client: ClientConnection) -> bool:
        had_entry = self.connections.get(client.handle) is not None
        if not client.close_for_room():
            return False
        # A socket with data to write is freed later, which a reserve covers; its entry now, if it has one.
        self.connections.remove(client.handle)
        self._counters["made_room"] += had_entry
        return had_entry

    def close_idle(self, include_new: bool) -> None:
        """Close connections between requests; ``include_new``: also those without a request so far."""
        for phase in (Phase.RESTING, Phase.SILENT) if include_new else (Phase.RESTING,):
            for client in list(self.phases[phase]):
                if not client.begun:
                    client.close_idle(CloseReason.OUT_OF_SERVICE)

    def reject_unfinished(self) -> None:
        """Answer the requests that are not received whole, unless more of them has arrived."""
        for client in [*self.phases[Phase.HEAD], *self.phases[Phase.BODY]]:
            client.evict()

    def gauges(self) -> dict[str, int]:
        """The size of every table here."""
        phases = {f"clients_{phase.name.lower()}": len(clients) for phase, clients in self.phases.items()}
        return {
            "clients_now": len(self.connections),
            "flowing": len(self.streaming),
            **phases,
        }

    def _close_resting(self, now: float) -> None:
        """Close idle connections whose room is worth more to others, the oldest first."""
        resting = self.phases[Phase.RESTING]
        self._idle_reuse.refresh(
            [client.idle_period for client in resting if client.idle_period is not None], now
        )
        for client in list(resting):
            if keep_threshold(used := self.utilization) <= 0.0:
                break
            rest = client.idle_period
            if (
                rest is not None
                and self._idle_reuse.should_close(rest, used, now)
                and client.close_idle(CloseReason.UNLIKELY_REUSE)
            ):
                self._counters["given_up_resting"] += 1

    def _free_memory(self, now: float) -> None:
        """Close what is not taken yet, those that hold most first, and answers that no client receives."""
        unfinished = [*self.phases[Phase.HEAD], *self.phases[Phase.BODY]]
        unfinished.sort(key=lambda client: client.received_bytes, reverse=True)
        for client in unfinished[:MAX_REFUSED_AT_ONCE]:
            if self._account.level < MemoryLevel.CLOSE:
                return
            client.refuse_unfinished()
        for client in [client for client in self.unsent if client.is_stuck(now, SHORT_STALL_MS)]:
            self._counters["answers_unread"] += 1
            client.abort(CloseReason.NOT_READ)

    def sweep(self, rests: bool) -> None:
        """Close overdue connections; ``rests``: also idle ones whose room is worth more to others."""
        now = self._clock.now()
        for client in list(self.unsent):
            client.count_unsent()
        for phase, clients in self.phases.items():
            for client in list(islice(clients, 64)):
                if now - client.since < phase.limit_ms:
                    break
                client.evict()
        for client in [*self.phases[Phase.BODY], *self.uploading]:
            client.drop_if_left()
        for client in list(self.uploading):
            client.observe_unread(now)
        slow = [*self.phases[Phase.HEAD], *self.phases[Phase.BODY], *self.uploading]
        for client in slow:
            if client.is_overdue(now):
                client.evict()
        for client in [client for client in self.streaming if client.is_stuck(now)]:
            self._counters["answers_unread"] += 1
            client.abort(CloseReason.NOT_READ)
        if self._account.level is MemoryLevel.CLOSE:
            self._free_memory(now)
        if rests:
            self._close_resting(now)
