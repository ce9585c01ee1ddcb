"""Log lines about discovery: each call, each watch and each change of the list.

Lines about a call carry ``call``, its number in this process, by which one call can be followed from its
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

log = logging.getLogger("lupinlink.net.discovery_client")  # one log source for all discovery modules
MAX_NAMES = 4  # of backends on one line


class DiscoveryLog:
    """Writes the log lines and counts watches and rejected entries."""

    def __init__(self, counters: Counters, subscribes: bool) -> None:
        """``subscribes``: False if a local agent is called, which happens too often for INFO."""
        self._counters = counters
        self._calls_level = logging.INFO if subscribes else logging.DEBUG

    def started(self, version: int, entries: list[ListEntry], settings: Settings) -> None:
        """The process starts with this list; the settings decide how long it is relied on."""
        leaving = [entry.endpoint.name for entry in entries if not entry.ready]
        kv = {
            "rev": version,
            "ready": len(entries) - len(leaving),
            "leaving": _abbreviated(leaving),
            "mode": "asked" if settings.subscribe else "pushed",
            "peers": settings.peers,
            "rank": settings.rank,
            "must_ask_ms": int(settings.must_ask_ms),
        }
        log.info("known list", extra={"kv": kv})

    def called(self, watch: Watch, version: int) -> None:
        """A call to discovery is made."""
        kv = {
            "call": watch.number,
            "rev": version,
            "whole": int(watch.requests_full_list),
            "at": watch.address[0],
        }
        log.log(self._calls_level, "discovery called", extra={"kv": kv})

    def reached(self, watch: Watch) -> None:
        """The connection of a call is up and its request is written."""
        kv = {"call": watch.number, "after_ms": int(watch.age_ms())}
        log.log(self._calls_level, "discovery reached", extra={"kv": kv})

    def answered(self, watch: Watch) -> None:
        """The head of a 200 response arrived."""
        kv = {"call": watch.number, "after_ms": int(watch.age_ms())}
        log.log(self._calls_level, "discovery answered", extra={"kv": kv})

    def established(self, watch: Watch, version: int) -> None:
        """A call has delivered something, and is the watch from now on."""
        kv = {"call": watch.number, "rev": version, "after_ms": int(watch.age_ms())}
        log.info("watch stands", extra={"kv": kv})

    def changed(self, version: int, kind: str, entries: Iterable[ListEntry]) -> None:
        """An update was applied; ``entries`` are those that it changed."""
        changed = list(entries)
        if changed:
            leaving = [entry.endpoint.name for entry in changed if not entry.ready]
            kv = {"rev": version, "list": kind, "entries": len(changed), "leaving": _abbreviated(leaving)}
            log.info("list changed", extra={"kv": kv})

    def rejected(self, update: ListObject, kind: str) -> None:
        """Entries of an update could not be read, or only in part."""
        self._counters["list_entries_rejected"] += update.rejected
        kv = {"count": update.rejected, "first": update.fault, "rev": update.version, "list": kind}
        log.warning("entries of a list can't be read", extra={"kv": kv})

    def ended(self, end: WatchEnd, watch: Watch, version: int, silence_ms: float) -> None:
        """A call or a watch ended."""
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
            # A warning, because from now on this proxy may miss changes that all others know.
            self._counters["watches_silent"] += 1
            kv["for_ms"] = int(silence_ms)
            log.warning("watch fell silent, asked anew", extra={"kv": kv})
        else:
            log.info("watch ended", extra={"kv": kv})

    def trust(self, change: ListTrustChanged) -> None:
        """Whether the list is relied on has changed."""
        if change.trust is ListTrust.HELD:
            self._counters["list_holds"] += 1
        kv = {"now": change.trust.value, "unconfirmed_ms": int(change.unconfirmed_ms)}
        if change.cause is not None:
            kv["cause"] = change.cause.value
        log.info("list trust", extra={"kv": kv})


def _abbreviated(names: list[str]) -> str:
    """Return the first names, and how many more there are."""
    more = f"+{len(names) - MAX_NAMES}" if len(names) > MAX_NAMES else ""
    return ",".join(names[:MAX_NAMES]) + more
