"""A referee that counts connections which ended without the answer that was owed."""

from __future__ import annotations

from lupinlink.lab.model.referee import Referee


class LossReferee(Referee):
    """Judges as the referee does."""

    lost = 0

    def broken_off(self, name: str, now: float) -> None:
        """A client's connection has ended without an answer."""
        before = self.counts[1]
        super().broken_off(name, now)
        self.lost += self.counts[1] > before
