"""What staff on call need of discovery in the log: each call, each watch, each change of the list.

Every line carries ``call``, the number of the call in this process, so that one call can be followed from its
dial to its end.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING

from lupinlink.interface import ListTrust, ListTrustChanged
from lupinlink.net.counters import Counters
from lupinlink.net.list_entries import ListEntry
from lupinlink.net.list_format import ListObject
from lupinlink.net.watch_listener import WatchEnd
from lupinlink.settings import Settings

if TYPE_CHECKING:
    from lupinlink.net.watch import Watch

log = logging.getLogger("lupinlink.net.discovery_client")  # one source in the log for all of discovery
NAMES = 4  # of backends on one line, at most


class DiscoveryLog:
    """Writes the lines; keeps nothing but counters."""

    def __init__(self, counters: Counters, asked: bool) -> None:
        """``asked``: discovery is; an agent that is away is called too often for a line each."""
        self._counters = counters
        self._calls_level = logging.INFO if asked else logging.DEBUG

    def started(self, version: int, entries: list[ListEntry], settings: Settings) -> None:
        """The list that this process starts with, and what decides how long it is relied on."""
        leaving = [entry.endpoint.name for entry in entries if not entry.ready]
        kv = {
            "rev": version,
            "ready": len(entries) - len(leaving),
            "leaving": _some(leaving),
            "mode": "asked" if settings.subscribe else "pushed",
            "peers": settings.peers,
            "rank": settings.rank,
            "must_ask_ms": int(settings.must_ask_ms),
        }
        log.info("known list", extra={"kv": kv})

    def called(self, watch: Watch, version: int) -> None:
        """A call to discovery begins."""
        kv = {"call": watch.number, "rev": version, "whole": int(watch.asks_whole), "at": watch.address[0]}
        log.log(self._calls_level, "discovery called", extra={"kv": kv})

    def reached(self, watch: Watch) -> None:
        """Its connection came up, and the request was written: from here on it may be answered."""
        kv = {"call": watch.number, "after_ms": int(watch.age())}
        log.log(self._calls_level, "discovery reached", extra={"kv": kv})

    def answered(self, watch: Watch) -> None:
        """A good head came."""
        kv = {"call": watch.number, "after_ms": int(watch.age())}
        log.log(self._calls_level, "discovery answered", extra={"kv": kv})

    def stands(self, watch: Watch, version: int) -> None:
        """A call has told, and is the watch from now on."""
        kv = {"call": watch.number, "rev": version, "after_ms": int(watch.age())}
        log.info("watch stands", extra={"kv": kv})

    def changed(self, version: int, kind: str, entries: Iterable[ListEntry]) -> None:
        """An object was taken; ``entries`` are those that it changed."""
        named = list(entries)
        if named:
            leaving = [entry.endpoint.name for entry in named if not entry.ready]
            kv = {"rev": version, "list": kind, "entries": len(named), "leaving": _some(leaving)}
            log.info("list changed", extra={"kv": kv})

    def rejected(self, told: ListObject, kind: str) -> None:
        """Entries of an object could not be read."""
        self._counters["list_entries_rejected"] += told.rejected
        kv = {"count": told.rejected, "first": told.fault, "rev": told.version, "list": kind}
        log.warning("entries of a list can't be read", extra={"kv": kv})

    def ended(self, end: WatchEnd, watch: Watch, version: int, silence_ms: float) -> None:
        """A call or a watch is over."""
        kv = {
            "why": end.why,
            "rev": version,
            "at": watch.address[0],
            "call": watch.number,
            "reached": int(end.reached),
            "answered": int(end.answered),
            "took_ms": int(end.took_ms),
        }
        self._counters["watches_ended"] += 1
        if end.silent and end.answered:
            # An operator has to see it: from here on this proxy may not know what everybody else knows.
            self._counters["watches_silent"] += 1
            kv["for_ms"] = int(silence_ms)
            log.warning("watch fell silent, asked anew", extra={"kv": kv})
        else:
            log.info("watch ended", extra={"kv": kv})

    def trust(self, change: ListTrustChanged) -> None:
        """Whether requests are sent by the list has changed."""
        if change.trust is ListTrust.HELD:
            self._counters["list_holds"] += 1
        kv = {"now": change.trust.value, "unconfirmed_ms": int(change.unconfirmed_ms)}
        if change.cause is not None:
            kv["cause"] = change.cause.value
        log.info("list trust", extra={"kv": kv})


def _some(names: list[str]) -> str:
    """The first of these names, and how many more there are."""
    more = f"+{len(names) - NAMES}" if len(names) > NAMES else ""
    return ",".join(names[:NAMES]) + more
