"""Conditions that go on beside the events of a soak: processes that are held up, and scarce descriptors."""

from __future__ import annotations

import resource
import signal
import subprocess
import threading
import time
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any, ClassVar

from tests.crossing_judge import CrossingClient
from tests.soak_strangers import SoakStrangers
from tests.soak_verdict import Life

HELD_SHARE, SCARCE_SHARE = 0.5, 0.5  # of the seeds
STRANGE_FROM = 10_000  # seeds from here on have strangers; those below stay as they were
HOLD_S, HOLD_GAP_S = (0.02, 0.15), (0.1, 0.6)  # how long a process is held up, and the time between
LIMITS: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
SCARCE_SOCKETS = 200
DESCRIPTORS = 8192  # of the clients, backends and discoveries of a seed
CROWD, CROWD_S, CROWD_PACE_S = 150, 3.0, 0.01  # idle clients at once; more for so long, and between two


@dataclass(frozen=True)
class Conditions:
    """What goes on throughout one seed."""

    held: bool
    scarce: bool
    strange: bool = False  # slow, large, impatient and rude clients
    owners: bool = False  # a backend's address gets another owner, again and again

    @classmethod
    def draw(cls, seed: int) -> Conditions:
        """Drawn apart, so that a seed's events and their times stay as they were."""
        drawn = Random(f"conditions {seed}")
        return cls(
            drawn.random() < HELD_SHARE,
            drawn.random() < SCARCE_SHARE,
            seed >= STRANGE_FROM,
            seed >= STRANGE_FROM and seed % 2 == 0,
        )

    def __str__(self) -> str:
        return f"held={self.held} scarce={self.scarce} strange={self.strange} owners={self.owners}"

    @property
    def limits(self) -> dict[str, Any]:
        """The limits of each process."""
        return {**LIMITS, "sockets": SCARCE_SOCKETS} if self.scarce else LIMITS


class SoakConditions(SoakStrangers):
    """Carries the conditions out."""

    conditions: ClassVar[Conditions] = Conditions(held=False, scarce=False)

    def setUp(self) -> None:
        super().setUp()
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft < DESCRIPTORS <= hard:
            resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))

    def hold_up(self, life: Life) -> None:
        """Hold the process up again and again, at any step, until it ends."""
        if self.conditions.held:
            threading.Thread(
                target=self._hold_up, args=(life.member.name, life.member.process), daemon=True
            ).start()

    def _hold_up(self, name: str, process: subprocess.Popen[str]) -> None:
        rng = Random(f"holds {self.verdict.seed} {name}")
        while process.poll() is None:
            time.sleep(rng.uniform(*HOLD_GAP_S))
            with suppress(OSError):
                process.send_signal(signal.SIGSTOP)
                time.sleep(rng.uniform(*HOLD_S))
                process.send_signal(signal.SIGCONT)

    def fill(self, life: Life) -> None:
        """Idle clients come in a burst, and further ones for a time; they stay for as long as they may."""
        threading.Thread(target=self._fill, args=(life,), daemon=True).start()

    def _fill(self, life: Life) -> None:
        until, number = time.monotonic() + CROWD_S, 0
        while (number < CROWD or time.monotonic() < until) and not life.termed_at:
            number += 1
            with suppress(OSError):
                idle = CrossingClient(life.member.port, "idle")
                self.addCleanup(idle.close)
                if number % 5 == 0:
                    idle.write_part()
            if number > CROWD:
                time.sleep(CROWD_PACE_S)
