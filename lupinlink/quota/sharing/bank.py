"""Tokens that no gateway holds, kept by the allocator to be given whole where they are asked for. Pure.

The tokens here and all that gateways may hold never come to more than the burst, and both together fill no
faster than the rate: the bank is one more bucket of the same sum. It is empty at first, for nobody knows what
was spent before.
"""

from __future__ import annotations

NEARLY = 1e-9  # of a token: what sums of floats may lack


class Bank:
    """Of one quota."""

    def __init__(self, now: float) -> None:
        self.tokens, self._at, self._rate = 0.0, now, 0.0

    def settle(self, now: float, room: float, most_ms: float) -> None:
        """Let in what came since the last ``fills``. ``room``: tokens that nobody else may hold.

        ``most_ms``: so much time at most counts: what was free then may be in use after it.
        """
        self.tokens = max(0.0, min(self.tokens + min(now - self._at, most_ms) * self._rate, room))
        self._at = now

    def credit(self, tokens: float, room: float) -> None:
        """Tokens that came back unspent."""
        self.tokens = min(self.tokens + tokens, room)

    def give(self, most: float) -> float:
        """Take out whole tokens, so many at most."""
        gift = float(int(max(0.0, min(most, self.tokens)) + NEARLY))
        self.tokens = max(0.0, self.tokens - gift)
        return gift

    def fills(self, rate: float, room: float) -> None:
        """From now on so many tokens a ms come in; what has no room any more is lost."""
        self._rate = max(0.0, rate)
        self.tokens = max(0.0, min(self.tokens, room))
