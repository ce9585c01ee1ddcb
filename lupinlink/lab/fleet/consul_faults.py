"""What goes wrong at the stand-in agreement service, towards whom, and who called it how often. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Annotated, Literal

from msgspec import Meta, Struct

Kind = Literal["hang", "cut", "gone", "no_leader", "too_many", "lose_answers", "slow", "stale"]
SILENT = ("hang", "cut")  # nothing is answered, nothing is done
WHOLE = ("gone", "no_leader", "stale")  # meet everybody


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """One fault. ``clients``: addresses that it meets; None: everybody."""

    kind: Kind
    on: bool = True
    clients: tuple[str, ...] | None = None
    ms: Annotated[float, Meta(ge=0.0, le=600_000.0)] = 0.0  # slow: how much later
    count: Annotated[int, Meta(ge=1)] | None = None  # lose_answers: of so many writes; None: of all
    calls: tuple[str, ...] | None = None  # lose_answers: of these kinds of calls; None: of all writes


class Faults:
    """The faults that last."""

    def __init__(self) -> None:
        self._last: dict[str, Trouble] = {}
        self._lost = 0

    def play(self, trouble: Trouble) -> None:
        """One begins, in place of an earlier one of its kind, or ends. Raises ValueError."""
        if trouble.kind in WHOLE and trouble.clients is not None:
            raise ValueError(f"{trouble.kind} meets everybody")
        self._last.pop(trouble.kind, None)
        if trouble.on:
            self._last[trouble.kind] = trouble
            if trouble.kind == "lose_answers":
                self._lost = 0

    def meets(self, kind: Kind, client: str = "") -> Trouble | None:
        """The fault of that kind that meets a client, or None."""
        found = self._last.get(kind)
        if found is None or (found.clients is not None and client not in found.clients):
            return None
        return found

    def silent(self, client: str) -> bool:
        """Whether a client hears nothing at all."""
        return any(self.meets(kind, client) for kind in SILENT)  # type: ignore[arg-type]

    def loses(self, client: str, kind: str) -> bool:
        """Whether the answer to the write of that kind that is done just now is lost; counted."""
        found = self.meets("lose_answers", client)
        if found is None or (found.count is not None and self._lost >= found.count):
            return False
        if found.calls is not None and kind not in found.calls:
            return False
        self._lost += 1
        return True

    def cut_off(self) -> tuple[str, ...] | None:
        """Addresses whose new connections are dropped; None: all."""
        found = self._last.get("cut")
        return () if found is None else found.clients


class Called(Struct, frozen=True):
    """Calls of one client, of one kind, in one second."""

    second: int  # of the service's clock
    client: str
    kind: str
    calls: int
    refused: int  # answered with a conflict: another was first


class Calls:
    """Who called how often."""

    def __init__(self) -> None:
        self._calls: Counter[tuple[int, str, str]] = Counter()
        self._refused: Counter[tuple[int, str, str]] = Counter()

    def count(self, second: int, client: str, kind: str, refused: bool) -> None:
        """One call was answered, or its answer was lost."""
        self._calls[second, client, kind] += 1
        self._refused[second, client, kind] += refused

    def rows(self, clients: Iterable[str] = ()) -> list[Called]:
        """All that was counted, of some clients or all, by second, client and kind."""
        of = set(clients)
        return [
            Called(*key, calls, self._refused[key])
            for key, calls in sorted(self._calls.items())
            if not of or key[1] in of
        ]
