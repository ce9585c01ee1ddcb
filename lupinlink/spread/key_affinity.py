"""Where a key is at home: at one server, or at several once it is asked for more than one should bear. Pure.

Every proxy ranks the servers for a key alike (weighted rendezvous hashing: Thaler and Ravishankar, "Using
Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998), so that a key
meets the server that knows it. Of 200 proxies each sees so little of a popular key that none would call it
hot, and together they give its one server many times what the others have. A key's share of all arrivals is
the same wherever it is counted, and needs no talk: a key that brings more than ``BOUND`` of a server's even
share gets as many homes as that takes, the first ones of its ranking (the head's D-choices of Nasir, Morales,
Kourtellis and Serafini, "When Two Choices Are not Enough", ICDE 2016, with the bound of Mirrokni, Thorup and
Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from zlib import crc32

BOUND = 0.25  # of a server's even share of all arrivals: what one key may bring to one home
SEEN = 2.0  # over the other proxies: of so few, what one sees itself tells when a home has too much
REMEMBERED = 1024.0  # arrivals with keys that are counted in full; then every count is halved
LEAST = 64.0  # arrivals from which a share is reckoned: a few say little
HASH_MULTIPLIER = (
    0x9E3779B97F4A7C15  # 2**64 over the golden ratio (Knuth, The Art of Computer Programming, 6.4)
)


def salt(name: str) -> int:
    """The 32 bits by which all proxies alike mix a server of that name with keys."""
    return crc32(name.encode()) * HASH_MULTIPLIER & 0xFFFFFFFF


class KeyPopularity:
    """Counts keys as they arrive at one proxy; holds at most ``2 * REMEMBERED`` of them."""

    def __init__(self, peers: int) -> None:
        """``peers``: proxies in all. Of few each has much of a key in flight itself, which spills it over;
        the only one has all of it, and every key one home."""
        self._bound = max(BOUND, SEEN / (peers - 1)) if peers > 1 else math.inf
        self._counts: dict[int, float] = {}
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._counts)

    def record(self, mix: int) -> None:
        """A request with the key of this checksum has arrived."""
        self._counts[mix] = self._counts.get(mix, 0.0) + 1.0
        self._total += 1.0
        if self._total >= REMEMBERED:
            self._counts = {key: count / 2.0 for key, count in self._counts.items() if count > 1.0}
            self._total = sum(self._counts.values())

    def server_count(self, mix: int, servers: int) -> int:
        """How many homes a key has among so many servers, at least 1.

        One arrival less than were counted: a key that was met once has no share worth the name.
        """
        share = max(0.0, self._counts.get(mix, 0.0) - 1.0) / max(self._total, LEAST)
        return min(servers, 1 + int(share * servers / self._bound))

    def preferred_servers(
        self, key: str, salts: Sequence[int], weights: Sequence[float], most: int, chance: float
    ) -> list[int]:
        """The first servers to ask with a key that has arrived, as indices; see ``homes_first``."""
        mix = hash_key(key)
        self.record(mix)
        return preferred_first(mix, salts, weights, most, self.server_count(mix, len(salts)), chance)


def preferred_first(
    mix: int, salts: Sequence[int], weights: Sequence[float], most: int, homes: int, chance: float
) -> list[int]:
    """The first places to ask with the key of this checksum, at least ``most`` where there are so many.

    ``homes``: how many of them the key is at home at; ``chance``: from [0, 1), which of these comes first.
    """
    order = ranked(mix, salts, weights, max(most, homes))
    first = int(chance * homes)
    return order[first:homes] + order[:first] + order[homes:]


def ranked(mix: int, salts: Sequence[int], weights: Sequence[float], most: int) -> list[int]:
    """The first ``most`` places in the ranking for the key of this checksum.

    ``salts``: 32 bits for each place, alike at every proxy. ``weights``: over 0; a place is first for so much
    of all keys.
    """
    scores = [
        (math.log(((mix ^ salt) * HASH_MULTIPLIER >> 7 & 0xFFFFFFFF) / 2.0**32 + 1e-12) / weight, place)
        for place, (salt, weight) in enumerate(zip(salts, weights, strict=True))
    ]
    return [place for _, place in sorted(scores, reverse=True)[:most]]


def hash_key(key: str) -> int:
    """The 32 bits by which a key is mixed with servers."""
    return crc32(key.encode())
