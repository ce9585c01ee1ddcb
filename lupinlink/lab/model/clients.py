"""Clients: they ask open-loop, wait, leave, come back; the front spreads them over the proxies."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate

from lupinlink.clock import Clock
from lupinlink.lab.model.arrivals import Arrivals
from lupinlink.lab.model.referee import First, Referee, Reply, Try
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.streams import Streams

LEAST_LEFT_MS = 20.0  # with less of its time left nobody tries again


@dataclass(slots=True, eq=False)
class Want:
    """What somebody wants, through all tries for it."""

    number: int
    class_index: int
    member: int
    key: int
    zone: int
    work_ms: float
    wait_ms: float
    give_up_at: float
    tries: int = 0
    hurried: bool = False


@dataclass(slots=True, eq=False)
class Ask:
    """One try on its way or at its proxy; ``name`` is its id on the wire."""

    name: str
    want: Want
    proxy: int
    deadline: float
    is_retry: bool
    number: int
    open: bool = True
    timer: int = 0


class Front:
    """Spreads clients over the proxies of their zone; zones without one go to all."""

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        zones = len(scenario.network.zones)
        self.zone_of = [i % zones for i in range(scenario.proxies.count)]
        self.alive = [True] * scenario.proxies.count
        self.hot: dict[int, float] = {}  # proxies that get so much of all tries beside their own share
        self._draws = streams.draws("front")
        skew, shares = scenario.load.proxy_skew, streams.draws("proxy shares")
        self.shares = [math.exp(skew * shares.normal()) for _ in range(scenario.proxies.count)]
        self._skewed = skew > 0.0  # no other draw without: scenarios without keep theirs
        self._by_zone: list[list[int]] = []
        self.revise()

    def revise(self) -> None:
        """Proxies have come or gone."""
        standing = [i for i, alive in enumerate(self.alive) if alive]
        zones = max(self.zone_of) + 1
        own = [[i for i in standing if self.zone_of[i] == zone] for zone in range(zones)]
        self._by_zone = [proxies or standing for proxies in own]
        self._sums = [list(accumulate(self.shares[i] for i in proxies)) for proxies in self._by_zone]

    def pick(self, zone: int) -> int | None:
        """A proxy for a try from that zone, or None if none stands."""
        for proxy, share in self.hot.items():
            if self.alive[proxy] and self._draws.even() < share:
                return proxy
        zone %= len(self._by_zone)
        proxies, sums = self._by_zone[zone], self._sums[zone]
        if not proxies:
            return None
        if self._skewed:
            return proxies[bisect_right(sums, self._draws.even() * sums[-1])]
        return proxies[self._draws.below(len(proxies))]


class Clients:
    """Asks through ``ask`` what was drawn ahead; ``leave`` tells that one has gone away."""

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        streams: Streams,
        arrivals: Arrivals,
        referee: Referee,
        ask: Callable[[Ask], None],
        leave: Callable[[Ask], None],
    ) -> None:
        self.front = Front(scenario, streams)
        self.arrivals = arrivals
        self.open: dict[str, Ask] = {}
        self._spec, self._clock, self._referee = scenario.clients, clock, referee
        self._classes = list(scenario.classes.values())
        self._ask, self._leave = ask, leave
        self._draws = streams.draws("clients")
        self._next = 0
        self.behind_ms = 0.0  # the latest that a first try was, against when it was drawn to come
        self._began = clock.now()

    def start(self) -> None:
        """Begin to ask."""
        self._began = self._clock.now()
        self._plan()

    @property
    def done(self) -> bool:
        """Whether all has been asked and ended."""
        return self._next >= len(self.arrivals) and not self.open

    def _plan(self) -> None:
        if self._next < len(self.arrivals):
            self._clock.at(self._began + float(self.arrivals.at[self._next]), self._arrive)

    def _arrive(self) -> None:
        """All that are due. Danger: one a turn of a busy drive's loop is fewer than come: the load sinks."""
        due = self._clock.now() - self._began
        self.behind_ms = max(self.behind_ms, due - float(self.arrivals.at[self._next]))
        self._first()
        while self._next < len(self.arrivals) and self.arrivals.at[self._next] <= due:
            self._first()
        self._plan()

    def _first(self) -> None:
        i, self._next = self._next, self._next + 1
        drawn, now = self.arrivals, self._clock.now()
        index = int(drawn.class_index[i])
        cls = self._classes[index]
        want = Want(
            int(drawn.number[i]), index, int(drawn.member[i]), int(drawn.key[i]), int(drawn.zone[i]),
            float(drawn.work[i]), float(drawn.wait[i]), now + cls.give_up_ms,
        )  # fmt: skip
        if self._spec.hurried > 0.0:  # no draw without: other scenarios keep theirs
            want.hurried = self._draws.even() < self._spec.hurried
        first = First(index, want.member, now, bool(drawn.over_quota[i]))
        self._referee.first(want.number, first, want.work_ms)
        self._try(want)

    def _try(self, want: Want) -> None:
        now, spec = self._clock.now(), self._spec
        cls = self._classes[want.class_index]
        hurried = want.hurried and want.tries < spec.retries
        lasts = spec.hurried_ms if hurried else spec.try_share * cls.give_up_ms
        deadline = min(want.give_up_at, now + lasts)
        proxy = self.front.pick(want.zone)
        number, want.tries = want.tries, want.tries + 1
        if proxy is None:
            return self._again(want, True, 0.0)
        ask = Ask(f"{want.number:x}.{number}", want, proxy, deadline, number > 0, number)
        self.open[ask.name] = ask
        ask.timer = self._clock.at(deadline, lambda: self._gave_up(ask))
        if spec.leaves > 0.0 and self._draws.even() < spec.leaves:
            self._clock.at((now + deadline) / 2.0, lambda: self._left(ask))
        self._ask(ask)

    def taken(self, ask: Ask, now: float) -> None:
        """Its last byte is at its proxy, which owes an answer from here on."""
        self._referee.asked(
            Try(
                ask.name,
                ask.want.number,
                ask.number,
                ask.proxy,
                ask.want.class_index,
                ask.want.member,
                now,
                ask.deadline,
            )  # fmt: skip
        )

    def answered(self, name: str, what: Reply, retry_after_ms: float) -> None:
        """The last byte of an answer is here."""
        ask = self._close(name)
        if ask is None:
            return
        want, now = ask.want, self._clock.now()
        if what is Reply.SERVED:
            self._referee.served(want.number, now)
            self._referee.over(want.number, now)
        else:
            self._again(want, what is Reply.REFUSED, retry_after_ms)

    def unreached(self, name: str) -> None:
        """Its proxy could not be reached, or has died before it took the request."""
        ask = self._close(name)
        if ask is not None:
            self._again(ask.want, True, 0.0)

    def broken(self, name: str) -> None:
        """Its proxy has died with it."""
        ask = self._close(name)
        if ask is not None:
            self._again(ask.want, False, 0.0)

    def _close(self, name: str) -> Ask | None:
        ask = self.open.pop(name, None)
        if ask is not None:
            ask.open = False
            self._clock.drop(ask.timer)
        return ask

    def _left(self, ask: Ask) -> None:
        if ask.open:
            self._close(ask.name)
            self._leave(ask)
            self._referee.over(ask.want.number, self._clock.now())

    def _gave_up(self, ask: Ask) -> None:
        """No answer in time. What is owed is still owed: the referee waits for it."""
        self._close(ask.name)
        self._again(ask.want, False, 0.0)

    def _again(self, want: Want, harmless: bool, retry_after_ms: float) -> None:
        """Try once more, where its class and its patience allow."""
        now, spec = self._clock.now(), self._spec
        cls = self._classes[want.class_index]
        allowed = harmless or cls.effect == "safe"
        if cls.effect == "keyed" and cls.scope == "all" and not allowed:
            allowed = now < want.give_up_at - cls.give_up_ms + cls.window_ms
        wait = spec.backoff_ms * 2.0 ** (want.tries - 1) * self._draws.between(0.5, 1.0)
        if retry_after_ms > 0.0 and self._draws.even() < spec.honours:
            wait = retry_after_ms
        if allowed and want.tries <= spec.retries and now + wait < want.give_up_at - LEAST_LEFT_MS:
            self._clock.at(now + wait, lambda: self._try(want))
        else:
            self._referee.over(want.number, now)
