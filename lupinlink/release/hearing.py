"""For how long this process heard nothing of the agreement service, and whether anybody led meanwhile. Pure.

A release whose lead was deaf is halted. The lead may have changed since: who takes over was deaf as well if
the service was gone, and must halt in its place; if only this process was cut off, another led on, and what
that one wrote clears it.
"""

from __future__ import annotations

KEPT = 4.0  # times the deafness that halts: so long after its end it is remembered


class Hearing:
    """Told of each answer; asked by a lead."""

    def __init__(self, deaf_ms: float, now: float) -> None:
        self._deaf_ms, self._last = deaf_ms, now
        self._gap, self._ended = 0.0, 0.0
        self._failing = False

    def failed(self) -> None:
        """A call was not answered, or with an error of the service."""
        self._failing = True

    def heard(self, now: float) -> None:
        """The service has answered."""
        self._failing = False
        gap, self._last = now - self._last, max(now, self._last)
        if gap > self._deaf_ms:
            self._gap, self._ended = gap, now

    def silent_ms(self, now: float) -> float:
        """For how long calls have failed; 0: none has since the last that was answered."""
        return max(0.0, now - self._last) if self._failing else 0.0

    def led(self) -> None:
        """Another process led and wrote after the silence, or this one has told of it."""
        self._gap = 0.0

    def deaf_ms(self, now: float) -> float:
        """How long the last silence was that a release must be halted for; 0: there is none."""
        return self._gap if now - self._ended <= KEPT * self._deaf_ms else 0.0
