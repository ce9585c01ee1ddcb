"""Who wants this proxy out of service: it is in service only while nobody does. Pure.

Danger: an operator, a release and a migration may each want the same proxy out. If one of them took it back
for all, clients would come to a proxy that is about to end, or that does not own their listener.
"""

from __future__ import annotations

from collections.abc import Callable


class DrainReasons:
    """The wishes; each call may come at any time, and twice."""

    def __init__(self, drain: Callable[[], None], in_service: Callable[[], bool]) -> None:
        self._drain, self._in_service = drain, in_service
        self._out: set[str] = set()

    def want(self, who: str, out: bool) -> bool:
        """Say what ``who`` wants from now on. False: it cannot be in service, for it is stopping."""
        had = bool(self._out)
        if out:
            self._out.add(who)
            if not had:
                self._drain()
            return True
        self._out.discard(who)
        return self._in_service() if had and not self._out else True

    def wants(self, who: str) -> bool:
        """Whether ``who`` wants it out."""
        return who in self._out

    def only(self, who: str) -> bool:
        """Whether ``who``, and nobody else, wants it out."""
        return self._out == {who}
