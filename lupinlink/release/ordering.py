"""Carries an operator's order to the service: read, judge, commit, and again if another came between.

The door answers at once; what became of an order stands in the state call. A halt is asked for until it is
written: it must not be lost because the service was away when somebody was frightened.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from twisted.internet.defer import Deferred

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.contract import Agreement, CheckRevision, Delete, Put, Step, View
from lupinlink.coordination.errors import ConflictError, CoordinationError, UncertainError
from lupinlink.errors import LupinError
from lupinlink.release.records import RELEASE
from lupinlink.release.spawn import spawn

log = logging.getLogger(__name__)
TRIES = 6  # of an order that meets others
AGAIN_MS, MOST_AGAIN_MS = 250.0, 5000.0
REMEMBERED = 5
Make = Callable[[View], Sequence[Step]]


@dataclass(slots=True)
class Note:
    """One order given at this door, and what became of it."""

    what: str
    outcome: str = "under way"
    done: bool = False


class Ordering:
    """The orders of one process's door."""

    def __init__(self, agreement: Agreement, clock: Clock, prefix: str, draw: Callable[[], float]) -> None:
        self._agreement, self._clock, self._prefix, self._draw = agreement, clock, prefix, draw
        self._stopped = False
        self.notes: deque[Note] = deque(maxlen=REMEMBERED)
        self.halts_waiting = 0  # halts of this door that are not written yet

    def stop(self) -> None:
        self._stopped = True

    def give(self, what: str, make: Make, halt: bool = False, below: str = RELEASE) -> Note:
        """Carry out an order; ``make`` judges it on the newest records below ``below`` and raises the reason
        for a no. ``halt``: it is tried until it is written.
        """
        note = Note(what)
        self.notes.append(note)
        self.halts_waiting += halt
        spawn(self._give(note, make, halt, below), what)
        return note

    async def _give(self, note: Note, make: Make, halt: bool, below: str) -> None:
        backoff = Backoff(AGAIN_MS, MOST_AGAIN_MS, self._draw)
        tries, lost = 0, ""
        while not self._stopped:
            tries += 1
            try:
                view = await self._agreement.read(self._prefix + below)
                steps = [_below(self._prefix, step) for step in make(view)]
                if steps:
                    await self._agreement.commit(steps)
                note.outcome = lost + "done"
                break
            except ConflictError:
                note.outcome = "others came between"
            except UncertainError:
                note.outcome = lost = "an answer was lost, then: "
            except CoordinationError as exc:
                note.outcome = f"not written: {exc.line()}"
            except LupinError as exc:
                note.outcome = f"{lost}no: {exc.line()}"
                break
            if tries >= TRIES and not halt:
                note.outcome = f"given up after {tries} tries: {note.outcome}"
                break
            await self._wait(backoff.next_ms())
        note.done = True
        self.halts_waiting -= halt
        log.warning("order", extra={"kv": {"order": note.what, "outcome": note.outcome}})

    async def _wait(self, wait_ms: float) -> None:
        waited: Deferred[None] = Deferred()
        self._clock.after(wait_ms, lambda: waited.callback(None))
        await waited


def _below(prefix: str, step: Step) -> Step:
    assert isinstance(step, Put | Delete | CheckRevision)
    return replace(step, key=prefix + step.key)
