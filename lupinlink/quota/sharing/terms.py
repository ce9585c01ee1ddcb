"""The times and shares that gateways and allocator must have in common. Pure.

Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency"
(SOSP 1989): who holds counts from before it asked, who grants counts from after it was asked and adds what
the two clocks may differ by. Everything here follows from the slice's life and the slack.
"""

from __future__ import annotations

from dataclasses import dataclass

RATE_KEPT = 0.001  # of each rate, never dealt: clocks that run fast by so much fill buckets that much faster
ASK = 0.5  # of a slice's life, between two asks: one lost answer in a row is borne if the next comes soon
TURN = 1.5  # of a slice's life: how long a whole token stays where it was dealt before another's turn


@dataclass(frozen=True, slots=True)
class Terms:
    """All times are ms of a process's own monotonic clock; none is compared with another's."""

    gateways: int = 200  # places; no more gateways than that may be at work at a time
    slice_ms: float = 8000.0  # how long a slice may be spent, by the gateway's clock from before it asked
    slack_ms: float = 500.0  # after it by the allocator's clock, before it is dealt again
    floor_share: float = 0.5  # of each quota, the sum of all floors

    @property
    def drift(self) -> float:
        """By how much the rates of two clocks may differ, as a share: the slack covers it over one slice."""
        return self.slack_ms / self.slice_ms

    @property
    def over_ms(self) -> float:
        """How long after it was asked for, by the allocator's clock, a slice may still be spent."""
        return self.slice_ms + self.slack_ms

    @property
    def ask_ms(self) -> float:
        """Between two asks of a gateway when nothing happens."""
        return ASK * self.slice_ms

    @property
    def promise_ms(self) -> float:
        """How long a gateway keeps a promise to use less than its floor, by its own clock.

        A slice that is dealt because of it must end before, and until the next ask renews it more are dealt.
        """
        return 2.0 * self.slice_ms + 4.0 * self.slack_ms

    @property
    def promised_ms(self) -> float:
        """How long the allocator may count on it, by its own clock, from a time before the promise."""
        return self.promise_ms * (1.0 - self.drift)

    @property
    def turn_ms(self) -> float:
        """How long a whole token stays at a gateway."""
        return TURN * self.slice_ms
