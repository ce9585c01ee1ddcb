"""One world of a scenario: every part of the model, put together for a drive to play."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lupinlink.clock import Clock
from lupinlink.lab.model.arrivals import draw
from lupinlink.lab.model.clients import Ask, Clients
from lupinlink.lab.model.farm import Farm, Told
from lupinlink.lab.model.faults import Script
from lupinlink.lab.model.network import Ways
from lupinlink.lab.model.referee import Referee, Try
from lupinlink.lab.model.roster import Roster
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.streams import Streams

JUDGE_MS = 100.0  # the referee looks for answers that are overdue this often


@dataclass(slots=True)
class Second:
    """What a second of a run looked like."""

    at_s: int
    offered: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    open_tries: int = 0
    held: dict[str, int] = field(default_factory=dict)  # by server, where anything is held
    by_proxy: list[int] = field(default_factory=list)  # tries taken


class World:
    """Everything round the proxies. A drive connects ``ask`` and ``leave`` and plays the proxies' side."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        clock: Clock,
        ask: Callable[[Ask], None],
        leave: Callable[[Ask], None],
        ended: Callable[[Try], None] | None = None,
        slack_ms: float = 0.0,
        referee: Referee | None = None,
        zone: int | None = None,
    ) -> None:
        """``referee``: in a replica one who passes on what happens. ``zone``: only its clients ask."""
        self.scenario, self.clock = scenario, clock
        self.streams = Streams(seed)
        self.referee = referee or Referee(scenario, ended, slack_ms)
        must_ask_ms = scenario.rules.must_ask_ms
        self.roster = Roster(scenario.roster, clock, self.streams.draws("roster"), must_ask_ms)
        self.roster.deemed.append(
            lambda proxy, row: self.referee.told(proxy, row.name, False, self.clock.now())
        )
        self.farm = Farm(scenario, clock, self.streams, self.roster, self.referee)
        self.told = Told(self.referee, clock)
        self.ways = Ways(scenario.network, self.streams)
        arrivals = draw(scenario, self.streams)
        if zone is not None:
            arrivals = arrivals.of_zone(zone)
        self.agents = Clients(scenario, clock, self.streams, arrivals, self.referee, ask, leave)
        self.script = Script(
            scenario, clock, self.streams, self.farm, self.roster, self.agents.front, self.ways
        )
        self.seconds: list[Second] = []
        self.taken_by = [0] * scenario.proxies.count
        self.began = clock.now()
        self._before = (0, 0, 0, 0, 0)

    def start(self) -> None:
        """Faults and arrivals begin."""
        self.began = self.clock.now()
        self.script.start()
        self.agents.start()
        self.clock.at(self.began + JUDGE_MS, self._judge)
        self.clock.at(self.began + 1000.0, self._second)

    @property
    def last_end(self) -> float:
        """By then every try has had its time."""
        longest = max(c.give_up_ms for c in self.scenario.classes.values())
        return self.began + self.scenario.seconds * 1000.0 + longest + 1000.0

    def _judge(self) -> None:
        self.referee.overdue(self.clock.now())
        self.clock.at(self.clock.now() + JUDGE_MS, self._judge)

    def _second(self) -> None:
        self.note({p.name: p.server.held for p in self.farm.places.values() if p.server.held})
        self.clock.at(self.clock.now() + 1000.0, self._second)

    def note(self, held: dict[str, int]) -> None:
        """A second is over, at whose end servers held so much."""
        tally = self.referee.tally
        counts = (tally.firsts, tally.served, tally.refused, tally.failed, tally.attempts)
        offered, served, refused, failed, attempts = (
            n - b for n, b in zip(counts, self._before, strict=True)
        )
        self._before = counts
        self.seconds.append(
            Second(
                len(self.seconds),
                offered,
                served,
                refused,
                failed,
                attempts,
                self.referee.open,
                held,
                self.taken_by,
            )  # fmt: skip
        )
        self.taken_by = [0] * self.scenario.proxies.count
