"""The reasons for which this proxy is drained; it is in service only while there is none. Performs no I/O.

An operator, a release and a migration may each drain the same proxy. If one of them put it back into service
for all, clients would come to a proxy that is about to exit, or that does not own their listener.
"""

from __future__ import annotations

from collections.abc import Callable


class DrainReasons:
    """The reasons, by who holds them. All calls may be repeated, in any order."""

    def __init__(self, drain: Callable[[], None], in_service: Callable[[], bool]) -> None:
        self._drain, self._in_service = drain, in_service
        self._out: set[str] = set()

    def want(self, who: str, out: bool) -> bool:
        """Set whether ``who`` wants it out. False: it could not return to service, as it is stopping."""
        had = bool(self._out)
        if out:
            self._out.add(who)
            if not had:
                self._drain()
            return True
        self._out.discard(who)
        return self._in_service() if had and not self._out else True

    def wants(self, who: str) -> bool:
        """Whether ``who`` wants it out of service."""
        return who in self._out

    def only(self, who: str) -> bool:
        """Whether ``who`` and nobody else wants it out of service."""
        return self._out == {who}
