"""The floor: a gateway's fixed share of each quota, its own whatever becomes of the agreement service. Pure.

It depends on nothing but the policy, the number of places and the gateway's own place, so that the sum over
all places is known without anybody asking: at most ``floor_share`` of the quota. A burst of fewer tokens than
places cannot be split among all: a part of the places then holds whole tokens, others for each quota and
value (spun by a checksum), and the rest have no floor there.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from lupinlink.quota.model import Charge, Limit
from lupinlink.quota.sharing.terms import Terms

NEARLY = 1e-9  # of a token: what sums of floats may lack


def holders(burst: float, terms: Terms) -> int:
    """How many places have a floor of a quota with this burst, each at least one whole token."""
    return min(terms.gateways, int(terms.floor_share * burst + NEARLY))


class Floors:
    """The floors of one policy's quotas."""

    def __init__(self, limits: Sequence[Limit], terms: Terms) -> None:
        self._terms = terms
        self._paths = [f"{limit.path}\n" for limit in limits]
        self._holders = [holders(limit.burst, terms) for limit in limits]

    def of(self, charge: Charge, place: int) -> float:
        """The share of the quota, 0 to 1, that this place may always use; 0 for a place that there is not."""
        number, places = self._holders[charge.limit], self._terms.gateways
        if number == 0 or not 0 <= place < places:
            return 0.0
        if number < places:
            first = crc32((self._paths[charge.limit] + charge.value).encode())  # alike in every process
            if (place + first) % places >= number:
                return 0.0
        return self._terms.floor_share / number

    def all(self, charge: Charge) -> float:
        """What the floors of all places come to."""
        return self._terms.floor_share if self._holders[charge.limit] else 0.0
