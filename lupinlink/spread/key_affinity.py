"""Assigns keys to preferred servers: to one, or to several if a key is too popular for one.

Every proxy ranks the servers for a key in the same way (weighted rendezvous hashing: Thaler and Ravishankar,
"Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998), so that a
key reaches the server that has its data cached. Each of 200 proxies sees too little of a popular key to
notice it, while together they would give its only server many times the load of the others. A key's share of
all arrivals, however, is the same at every proxy and needs no communication: a key that brings more than
``MAX_KEY_SHARE`` of a server's even share gets as many preferred servers as that takes, the first ones of its
ranking (the head's D-choices of Nasir, Morales, Kourtellis and Serafini, "When Two Choices are not Enough",
ICDE 2016, with the bound of Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA
2018). Performs no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from zlib import crc32

MAX_KEY_SHARE = 0.25  # load of one key at one server, as a fraction of a server's even share of all arrivals
# Divided by the number of other proxies, a larger bound for small fleets: each of few proxies notices from
# its own requests when a key overloads a server.
FEW_PROXIES_BOUND = 2.0
MAX_COUNTED_ARRIVALS = 1024.0  # then all counts are halved
MIN_ARRIVALS = 64.0  # minimum divisor of a share, since a few arrivals say little
# 2**64 over the golden ratio (Knuth, The Art of Computer Programming, 6.4).
HASH_MULTIPLIER = 0x9E3779B97F4A7C15


def salt(name: str) -> int:
    """Return the 32-bit hash of a server's name that is mixed with keys; the same at all proxies."""
    return crc32(name.encode()) * HASH_MULTIPLIER & 0xFFFFFFFF


class KeyPopularity:
    """Counts arrivals by key at one proxy; holds at most ``2 * MAX_COUNTED_ARRIVALS`` keys."""

    def __init__(self, peers: int) -> None:
        """``peers``: the number of proxies.

        Of few proxies each one sends much of a popular key itself and moves to other servers as its own
        requests in flight add up. A single proxy sees all of them, so every key has one preferred server.
        """
        self._max_key_share = max(MAX_KEY_SHARE, FEW_PROXIES_BOUND / (peers - 1)) if peers > 1 else math.inf
        self._counts: dict[int, float] = {}
        self._total = 0.0

    def __len__(self) -> int:
        return len(self._counts)

    def record(self, key_hash: int) -> None:
        """Count a request whose key has this hash."""
        self._counts[key_hash] = self._counts.get(key_hash, 0.0) + 1.0
        self._total += 1.0
        if self._total >= MAX_COUNTED_ARRIVALS:
            self._counts = {key: count / 2.0 for key, count in self._counts.items() if count > 1.0}
            self._total = sum(self._counts.values())

    def server_count(self, key_hash: int, servers: int) -> int:
        """Return the number of preferred servers of a key among ``servers`` servers, at least 1.

        One arrival is subtracted: a key that arrived once has no meaningful share.
        """
        share = max(0.0, self._counts.get(key_hash, 0.0) - 1.0) / max(self._total, MIN_ARRIVALS)
        return min(servers, 1 + int(share * servers / self._max_key_share))

    def preferred_servers(
        self, key: str, salts: Sequence[int], weights: Sequence[float], count: int, chance: float
    ) -> list[int]:
        """Count an arrival and return the servers to try first, as indices; see ``preferred_first``."""
        key_hash = hash_key(key)
        self.record(key_hash)
        return preferred_first(
            key_hash, salts, weights, count, self.server_count(key_hash, len(salts)), chance
        )


def preferred_first(
    key_hash: int,
    salts: Sequence[int],
    weights: Sequence[float],
    count: int,
    preferred_count: int,
    chance: float,
) -> list[int]:
    """Return at least ``count`` servers to try for a key, as indices, or all if there are fewer.

    ``preferred_count``: the number of preferred servers; ``chance``: a number in [0, 1) that selects the
    first of them.
    """
    ranking = rank(key_hash, salts, weights, max(count, preferred_count))
    first = int(chance * preferred_count)
    return ranking[first:preferred_count] + ranking[:first] + ranking[preferred_count:]


def rank(key_hash: int, salts: Sequence[int], weights: Sequence[float], count: int) -> list[int]:
    """Return the first ``count`` indices of the ranking of servers for a key.

    ``salts``: the hashes of the servers, the same at all proxies. ``weights``: above 0; a server is first for
    a share of all keys that is proportional to its weight.
    """
    scores = [
        (math.log(((key_hash ^ salt) * HASH_MULTIPLIER >> 7 & 0xFFFFFFFF) / 2.0**32 + 1e-12) / weight, index)
        for index, (salt, weight) in enumerate(zip(salts, weights, strict=True))
    ]
    return [index for _, index in sorted(scores, reverse=True)[:count]]


def hash_key(key: str) -> int:
    """Return the 32-bit hash of a key that is mixed with the hashes of servers."""
    return crc32(key.encode())
