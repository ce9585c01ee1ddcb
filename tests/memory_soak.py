"""Plays crowds whose kind, memory, descriptors and size are drawn (``python -m tests.memory_soak 1 50``).

Prints one line for each seed; exit 1 if any was unsound, 2 if it was called wrongly.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass

from tests.crowd_clients import KINDS
from tests.memory_crowds import CLIENT_SHARE, Play, Seen

MEMORY_MB, SOCKETS = (32.0, 192.0), (256, 1024)
SECONDS = 6.0
MIXED_SHARE = 0.4


@dataclass(frozen=True)
class Draw:
    """The conditions of one seed."""

    kind: str
    memory_mb: float
    sockets: int
    clients: int

    @classmethod
    def of(cls, seed: int) -> Draw:
        """Draw them; low limits are as likely as high ones by the logarithm."""
        generator = random.Random(seed)
        kind = "mixed" if generator.random() < MIXED_SHARE else generator.choice(sorted(KINDS))
        least, most = MEMORY_MB
        memory_mb = round(least * (most / least) ** generator.random(), 1)
        sockets = generator.randint(*SOCKETS)
        return cls(kind, memory_mb, sockets, int(sockets * CLIENT_SHARE * generator.uniform(0.5, 1.0)))


def play(seed: int) -> Seen:
    """Play one seed."""
    draw = Draw.of(seed)
    return Play(draw.memory_mb, draw.sockets).run(draw.kind, draw.clients, SECONDS, seed)


def main(words: list[str]) -> int:
    """The command."""
    try:
        first, last = map(int, words)
        if last < first:
            raise ValueError(words)
    except ValueError:
        print("usage: python -m tests.memory_soak FIRST LAST", file=sys.stderr)
        return 2
    unsound = 0
    for seed in range(first, last + 1):
        seen = play(seed)
        unsound += bool(seen.faults())
        print(seed, Draw.of(seed), seen, flush=True)
    print(f"{unsound} of {last - first + 1} unsound")
    return bool(unsound)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
