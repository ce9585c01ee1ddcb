"""The client of service discovery, which keeps the list of backends up to date by a watch."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from lupinlink import interface as api
from lupinlink.brain.discovery_times import DiscoveryTimes
from lupinlink.net.application_servers import ApplicationServers
from lupinlink.net.backend_list import VERSION_RESET_MS
from lupinlink.net.counters import Counters
from lupinlink.net.discovery_log import DiscoveryLog
from lupinlink.net.list_format import ListError as ListError
from lupinlink.net.list_update_queue import ListUpdateQueue, QueuedUpdate
from lupinlink.net.list_updater import ListUpdate, ListUpdater
from lupinlink.net.timer_wheel import ReactorClock
from lupinlink.net.twisted_types import Reactor
from lupinlink.net.watch import Watch
from lupinlink.net.watch_listener import WatchEnd
from lupinlink.settings import Settings

log = logging.getLogger(__name__)
MAX_READ_PASSES = 4  # over all connections, since more may arrive while they are read


class DiscoveryClient:
    """Makes calls to discovery and publishes changes of the list to connection pools and decision module.

    The decision module (``lupinlink.brain.discovery``) decides when to call; this class makes the calls and
    reports the result of each to ``on_event``.
    """

    def __init__(
        self,
        reactor: Reactor,
        clock: ReactorClock,
        discovery: tuple[str, int],
        settings: Settings,
        servers: ApplicationServers,
        counters: Counters,
    ) -> None:
        self._reactor, self.clock, self._settings = reactor, clock, settings
        self._servers, self._counters = servers, counters
        self._discovery = discovery
        self.on_event: Callable[[api.Membership | api.DiscoveryEvent], None] = lambda event: None
        self._log = DiscoveryLog(counters, settings.subscribe)
        self.log_trust = self._log.trust
        self._updater = ListUpdater(
            clock, settings, servers, counters, self._log, lambda event: self.on_event(event)
        )
        self._queue = ListUpdateQueue(clock, self._on_queue_idle)
        self._recheck_scheduled = False
        self._times = DiscoveryTimes.of(settings)
        self._watch: Watch | None = None  # the connection that delivered last
        self._calls: list[Watch] = []  # calls that have delivered nothing yet
        self._needs_full = False  # the next call has to request the full list before it watches
        self._moved = False  # the list, and so its version, is still that of the former discovery
        self._pushed = not settings.subscribe  # a local agent is called, which pushes the lists
        self.stopped = False  # for good: the list is not kept up to date any more

    def __len__(self) -> int:
        return len(self._updater)

    @property
    def version(self) -> int:
        """The version of the list."""
        return self._updater.version

    @property
    def ready(self) -> int:
        """Number of backends that take new requests."""
        return self._updater.ready

    def start(self, known: Mapping[str, Any]) -> None:
        """Load the list that this proxy knew last; raises ListError if it is invalid.

        It may be out of date: what a local agent has, or the previous process was notified of, counts now.
        """
        self.on_event(api.ProcessStarted())
        if not known:
            known = {"rev": 0, "all": True, "targets": []}
        self._updater.load(known)
        self._log.started(self.version, self._updater.entries(), self._settings)

    def snapshot(self) -> dict[str, Any]:
        """Return the list in discovery's JSON format."""
        return self._updater.snapshot()

    def call(self) -> None:
        """Call discovery for a watch, and for the full list before it where that is needed."""
        if self.stopped or (self._watch is not None and not self._needs_full):
            return
        self._counters["watches"] += 1
        watch = Watch(self, self.clock, self._times, self._discovery, self._needs_full, self._pushed)
        watch.number = self._counters["watches"]
        self._calls.append(watch)
        self._log.called(watch, self.version)
        watch.ended.addCallback(self._ended, watch)
        watch.dial(self._reactor)

    def move(self, discovery: tuple[str, int]) -> None:
        """Use another address of discovery from now on.

        The old watch stays open until a new one has delivered, because a drain could be missed in between.
        """
        if discovery == self._discovery:
            return
        self.read_pending_updates()  # what it holds counts as told, also on calls that are closed here
        self._discovery, self._moved = discovery, True
        if self._watch is None and self._calls:
            self._watch = max(self._calls, key=lambda call: call.answered)
            self._calls.remove(self._watch)
        self._request_full_list("moved")

    def _request_full_list(self, why: str) -> None:
        """Close all calls, and have one made that requests the full list."""
        self._needs_full = True
        self._close_calls(why)
        self.on_event(api.DiscoveryMoved())

    def on_late(self, watch: Watch) -> None:
        if watch in self._calls:
            self.on_event(api.DiscoveryCallLate())

    def on_reached(self, watch: Watch) -> None:
        if watch in self._calls:
            self._log.reached(watch)
            beside_watch = watch.requests_full_list and self._watch is not None
            self.on_event(api.DiscoveryCallReached(watch.number, beside_watch))

    def on_answered(self, watch: Watch) -> None:
        if watch in self._calls:
            self._log.answered(watch)
            self.on_event(api.DiscoveryCallAnswered())

    def on_partial(self, watch: Watch) -> None:
        self.on_event(api.DiscoveryPartial(self._has_partial()))

    def on_unchanged(self, watch: Watch) -> None:
        if watch in self._calls and not self._needs_full and not self._queue.busy:
            self._promote(watch)
            self.on_event(api.Membership(api.MembershipKind.DELTA))

    def on_object(self, watch: Watch, raw: Any, full: bool = False) -> None:
        """Apply an object. Only once the first one of a new watch is applied is the old watch closed."""
        is_call = watch in self._calls
        if not is_call and watch is not self._watch:
            return
        full = full or (isinstance(raw, dict) and raw.get("all") is True)
        kind = api.MembershipKind.FULL if full else api.MembershipKind.DELTA
        may_confirm = is_call or not self._needs_full

        def is_current() -> bool:
            return may_confirm and watch is self._watch

        def on_applied() -> None:
            self._schedule_recheck()
            if watch in self._calls:
                self._needs_full = self._moved = False
                self._promote(watch)

        update = ListUpdate(raw, kind, is_call and self._moved, is_current)
        self._queue.add(
            QueuedUpdate(
                self._updater.apply_in_slices(update, on_applied), lambda error: watch.end(str(error))
            )
        )
        if self._queue.busy:
            self.on_event(api.DiscoveryPartial(True))

    def _promote(self, watch: Watch) -> None:
        """Make this call the watch, since it has delivered; close the former watch and all other calls."""
        old, self._watch = self._watch, watch
        self._calls.remove(watch)
        self._log.established(watch, self.version)
        self._close_calls("another watch has told")
        if old is not None:
            old.end("another watch has told")

    def _close_calls(self, why: str) -> None:
        calls, self._calls = self._calls, []
        for call in calls:
            call.end(why)

    def read_pending_updates(self) -> bool:
        """Read from all connections until nothing is unread.

        Return whether an update is incomplete, so that the list may be out of date.
        """
        for _ in range(MAX_READ_PASSES):
            found_data = [watch.read_pending() for watch in self._connections()]  # a list: no short circuit
            if not any(found_data):
                break
        return self._has_partial()

    def _has_partial(self) -> bool:
        # Calls that await the full list are left out: after a move the former watch still delivers, and what
        # the new discovery has counts as notified only some time later.
        return self._queue.busy or any(
            watch.partial and not watch.awaits_full_list for watch in self._connections()
        )

    def _connections(self) -> list[Watch]:
        """All open connections: calls, and the watch."""
        return [*self._calls, *([self._watch] if self._watch is not None else [])]

    def stop(self) -> None:
        """Close all connections, without further events."""
        self.on_event = lambda event: None
        self.stopped = True
        self._close_calls("stopping")
        if self._watch is not None:
            self._watch.end("stopping")

    def withhold(self, names: frozenset[str]) -> None:
        """Send nothing to these backends, whatever discovery says of them; this replaces earlier names."""
        self._updater.withhold(names)

    def _on_queue_idle(self) -> None:
        self.on_event(api.DiscoveryPartial(self._has_partial()))

    def _schedule_recheck(self) -> None:
        """Check later whether older updates have left the list incomplete."""
        if self._updater.is_incomplete and not self._recheck_scheduled:
            self._recheck_scheduled = True
            self.clock.after(VERSION_RESET_MS + 1.0, self._recheck)

    def _recheck(self) -> None:
        """Request the full list if it is still needed; the old watch stays open until it has come."""
        self._recheck_scheduled = False
        self.read_pending_updates()
        if self._updater.is_incomplete and not self._needs_full and not self.stopped:
            log.warning("older lists came, the whole one is asked for", extra={"kv": {"rev": self.version}})
            self._request_full_list("the whole list is asked for")

    def _ended(self, end: WatchEnd, watch: Watch) -> None:
        self._log.ended(end, watch, self.version, self._times.silence_timeout_ms)
        if watch in self._calls:
            self._calls.remove(watch)
            self.on_event(end.as_failed_call(watch.number, watch.requests_full_list))
        elif watch is self._watch:
            self._watch = None
            self.on_event(
                api.DiscoveryWatchEnded(end.last_active_at, end.silent, at_previous_address=self._needs_full)
            )
            for call in self._calls:  # from now on only their responses can deliver updates
                if call.reached:
                    self.on_event(api.DiscoveryCallReached(call.number))
