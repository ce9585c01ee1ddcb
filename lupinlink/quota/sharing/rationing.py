"""Quotas of few tokens: whole ones, each given to one gateway that asks for it. Pure.

Where a gateway's even part would fill slower than one token in a slice's life, a rate of its own is of little
use: the token would come long after it was asked for, in as many half-filled buckets as there are gateways.
Such a quota fills in one bank, and the bank gives what is whole: to those who have none first, of these to
those who have waited longest, which is max-min fair in whole tokens. A token that lies unused for a turn
while others have none goes back.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lupinlink.quota.sharing.bank import Bank
from lupinlink.quota.sharing.book import Key

EVEN = 0.5  # of an even part of what the bank has: so much may one gateway hold, and one token at least


@dataclass(frozen=True, slots=True)
class Claim:
    """A gateway that asked anew."""

    key: Key
    level: float  # whole tokens that it said it had
    whole: bool  # it has seen all that it was given: else its level says too little, and it gets nothing


class Ration:
    """Of one quota."""

    def __init__(self, now: float) -> None:
        self.bank = Bank(now)
        self._given_ms: dict[Key, float] = {}  # the last token

    def deal(
        self, claims: Sequence[Claim], asking: int, now: float, turn_ms: float
    ) -> tuple[dict[Key, float], list[Key]]:
        """Tokens to give to each, and who has to give back. ``asking``: gateways that ask for any, in all."""
        most = EVEN * self.bank.tokens / max(1, asking)
        gifts: dict[Key, float] = {}
        waiting = [claim for claim in claims if claim.whole and claim.level < 1.0]
        for claim in sorted(waiting, key=lambda claim: self._given_ms.get(claim.key, float("-inf"))):
            if gift := self.bank.give(max(1.0, most)):
                gifts[claim.key] = gift
                self._given_ms[claim.key] = now
        lacking = len(gifts) < len(waiting)
        idle = [
            claim.key
            for claim in claims
            if lacking and claim.level >= 1.0 and self._given_ms.get(claim.key, now) + turn_ms <= now
        ]
        return gifts, idle

    def forget(self, known: Mapping[Key, object]) -> None:
        """Remember no gateway but these."""
        self._given_ms = {key: at for key, at in self._given_ms.items() if key in known}
