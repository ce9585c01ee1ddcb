"""The client of service discovery: its list of backends, and the watch that keeps it fresh."""

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
LOOKS = 4  # at most, for what waits unread: what is read takes time in which more may come


class DiscoveryClient:
    """Keeps the list; a change goes to the pools and to the module at once.

    When discovery is called is the module's decision (``brain/discovery``); here calls are carried out, and
    what became of each is reported.
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
        self._keeper = ListUpdater(
            clock, settings, servers, counters, self._log, lambda event: self.on_event(event)
        )
        self._intake = ListUpdateQueue(clock, self._settled)
        self._looking = False  # whether older objects leave the list behind is looked at soon
        self._times = DiscoveryTimes.of(settings)
        self._live: Watch | None = None  # the watch that has told last
        self._asked: list[Watch] = []  # calls that have told nothing yet
        self._foreign = False  # the whole list has to be asked for first
        self._renumbered = False  # the list is still that of another discovery, with its own versions
        self._pushed = not settings.subscribe  # the address is that of an agent on this machine
        self._stopped = False

    def __len__(self) -> int:
        return len(self._keeper)

    @property
    def version(self) -> int:
        """The list's."""
        return self._keeper.version

    @property
    def ready(self) -> int:
        """Application servers that take work."""
        return self._keeper.ready

    def start(self, known: Mapping[str, Any]) -> None:
        """The list as this proxy last had it; it may be out of date.

        Danger: what the agent has, or a former process was told, counts from this process's first moment on.
        """
        self.on_event(api.ProcessStarted())
        if not known:
            known = {"rev": 0, "all": True, "targets": []}
        self._keeper.begin(known)
        self._log.started(self.version, self._keeper.entries(), self._settings)

    def snapshot(self) -> dict[str, Any]:
        """The list as it stands, in discovery's form."""
        return self._keeper.snapshot()

    def call(self) -> None:
        """Call discovery: its list, if it is another one than before, and a watch on what changes."""
        if self._stopped or (self._live is not None and not self._foreign):
            return
        self._counters["watches"] += 1
        watch = Watch(self, self.clock, self._times, self._discovery, self._foreign, self._pushed)
        watch.number = self._counters["watches"]
        self._asked.append(watch)
        self._log.called(watch, self.version)
        watch.ended.addCallback(self._ended, watch)
        watch.dial(self._reactor)

    def move(self, discovery: tuple[str, int]) -> None:
        """Discovery is at another address from now on.

        The old watch goes on until the new one has told: without one, a drain could pass unheard.
        """
        if discovery == self._discovery:
            return
        self._discovery, self._renumbered = discovery, True
        if self._live is None and self._asked:
            self._live = max(self._asked, key=lambda call: call.answered)
            self._asked.remove(self._live)
        self._call_for_whole("moved")

    def _call_for_whole(self, why: str) -> None:
        """The whole list has to be asked for; calls that were made for less are over."""
        self._foreign = True
        self._drop_calls(why)
        self.on_event(api.DiscoveryMoved())

    def late(self, watch: Watch) -> None:
        """A call still waits."""
        if watch in self._asked:
            self.on_event(api.DiscoveryCallLate())

    def reached(self, watch: Watch) -> None:
        """The connection of a call came up."""
        if watch in self._asked:
            self._log.reached(watch)
            beside_watch = watch.asks_whole and self._live is not None
            self.on_event(api.DiscoveryCallReached(watch.number, beside_watch))

    def answered(self, watch: Watch) -> None:
        """A call has a good head."""
        if watch in self._asked:
            self._log.answered(watch)
            self.on_event(api.DiscoveryCallAnswered())

    def partial(self, watch: Watch) -> None:
        """Something has begun on one of them and not come whole, or has come whole."""
        self.on_event(api.DiscoveryPartial(self._has_partial()))

    def unchanged(self, watch: Watch) -> None:
        """Nothing has changed since the list that we have."""
        if watch in self._asked and not self._foreign and not self._intake.busy:
            self._stands(watch)
            self.on_event(api.Membership(api.MembershipKind.DELTA))

    def take(self, watch: Watch, raw: Any, full: bool = False) -> None:
        """One object of a watch. The first one of a new watch ends the old one, and nothing sooner."""
        new = watch in self._asked
        if not new and watch is not self._live:
            return
        full = full or (isinstance(raw, dict) and raw.get("all") is True)
        kind = api.MembershipKind.FULL if full else api.MembershipKind.DELTA
        may_confirm = new or not self._foreign

        def is_current() -> bool:
            return may_confirm and watch is self._live

        def taken() -> None:
            self._look_whether_behind()
            if watch in self._asked:
                self._foreign = self._renumbered = False
                self._stands(watch)

        told = ListUpdate(raw, kind, new and self._renumbered, is_current)
        self._intake.take(QueuedUpdate(self._keeper.taking(told, taken), lambda error: watch.end(str(error))))
        if self._intake.busy:
            self.on_event(api.DiscoveryPartial(True))

    def _stands(self, watch: Watch) -> None:
        """This watch has told: the one before it and all other calls are over."""
        old, self._live = self._live, watch
        self._asked.remove(watch)
        self._log.stands(watch, self.version)
        self._drop_calls("another watch has told")
        if old is not None:
            old.end("another watch has told")

    def _drop_calls(self, why: str) -> None:
        calls, self._asked = self._asked, []
        for call in calls:
            call.end(why)

    def read_pending_updates(self) -> bool:
        """Read what discovery has written already, until a look at each watch finds nothing.

        Returns whether some of it has not come whole: then the list may be out of date.
        """
        for _ in range(LOOKS):
            were_read = [watch.read_waiting() for watch in self._watches()]  # each, whatever the first says
            if not any(were_read):
                break
        return self._has_partial()

    def _has_partial(self) -> bool:
        # After a move the former discovery's watch is heard, and the new list counts only some time later.
        return self._intake.busy or any(watch.partial and not watch.asks_whole for watch in self._watches())

    def _watches(self) -> list[Watch]:
        """The one that has told last, and the calls that are out."""
        return [*self._asked, *([self._live] if self._live is not None else [])]

    def stop(self) -> None:
        """Watch no longer, and tell nobody."""
        self.on_event = lambda event: None
        self._stopped = True
        self._drop_calls("stopping")
        if self._live is not None:
            self._live.end("stopping")

    def withhold(self, names: frozenset[str]) -> None:
        """Take these out of use here, whatever discovery says of them: it only narrows what is sent to."""
        self._keeper.withhold(names)

    def _settled(self) -> None:
        """No object is on its way in any more."""
        self.on_event(api.DiscoveryPartial(self._has_partial()))

    def _look_whether_behind(self) -> None:
        """Soon, if older objects came; only a whole list sets that right."""
        if self._keeper.behind and not self._looking:
            self._looking = True
            self.clock.after(VERSION_RESET_MS + 1.0, self._ask_whole)

    def _ask_whole(self) -> None:
        """Older objects left the list behind: ask for the whole one; the old watch is heard until then."""
        self._looking = False
        if self._keeper.behind and not self._foreign and not self._stopped:
            log.warning("older lists came, the whole one is asked for", extra={"kv": {"rev": self.version}})
            self._call_for_whole("the whole list is asked for")

    def _ended(self, end: WatchEnd, watch: Watch) -> None:
        self._log.ended(end, watch, self.version, self._times.silence_timeout_ms)
        if watch in self._asked:
            self._asked.remove(watch)
            self.on_event(end.as_failed_call(watch.number, watch.asks_whole))
        elif watch is self._live:
            self._live = None
            self.on_event(
                api.DiscoveryWatchEnded(end.heard_at, end.silent, at_previous_address=self._foreign)
            )
            for call in self._asked:  # from now on no other watch tells what their answers would
                if call.reached:
                    self.on_event(api.DiscoveryCallReached(call.number))
