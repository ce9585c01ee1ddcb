"""What is wrong with an emulated application server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Troubles:
    """What is wrong with a server just now."""

    hangs: bool = False  # takes, and says nothing
    slow: float = 1.0  # times slower
    errors: float = 0.0  # share of answers that are errors
    spoilt: float = 0.0  # share of answers that cannot be read
    resets: float = 0.0  # share of connections reset under a request
    lost: float = 0.0  # share of answers that get lost on their way
    second_answers: float = 0.0  # share of answers that a second one follows (on sockets only)
    second_answer_ms: float = 0.0  # the longest delay of those
    silent: bool = False  # vanished: nothing comes or goes, nothing is refused
