"""Who serves and who is out, as one observer knows it from the members' reports. Pure; time is handed in.

A member that has written nothing for ``silent_ms`` counts as out. Silence is told by the observer's own
clock from when it saw a report change, never by a time in a record. Danger: an observer that has just begun,
or was deaf, or whose service was restored, takes the dead for alive until ``silent_ms`` have passed; until
then it is not ``settled`` and nothing may be granted on its word.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median_low

from lupinlink.release.records import Figures, Permit, Report
from lupinlink.release.settings import ReleaseSettings

NEED_HALVES_MS = (
    60_000.0  # a need that was measured is believed down only so fast: a lull is no spare capacity
)


@dataclass(frozen=True, slots=True)
class Listed:
    """One application server as the list that this process has tells of it."""

    name: str
    zone: str
    in_service: bool
    started: str = ""  # changes when it starts anew; empty: the list does not tell
    version: str = ""


@dataclass(frozen=True, slots=True)
class Seen:
    """One proxy or one server, as far as anybody can tell."""

    name: str
    zone: str
    version: str
    nonce: str  # of a server: its start
    serving: bool
    why: str = ""  # why it does not serve
    heard: bool = True
    life: int = 0
    begun: int = 0
    acts: str = ""
    left: int = 0
    ask: str = ""
    pool: str = ""
    use: float = 0.0
    turn: int = 0
    figures: Figures = field(default_factory=Figures)
    spare: bool = False  # it counts neither as out nor as one of those that bear the load


Population = dict[str, Seen]


class Need:
    """A need for capacity that rises at once and falls slowly."""

    def __init__(self) -> None:
        self._need, self._at = 0.0, 0.0

    def take(self, need: float, now: float) -> float:
        """The need to reckon with, given what is measured now."""
        kept = self._need * 0.5 ** ((now - self._at) / NEED_HALVES_MS)
        self._need, self._at = max(need, kept), now
        return self._need


class Presence:
    """Takes views as they come; asked after each."""

    def __init__(self, settings: ReleaseSettings, now: float) -> None:
        self._settings = settings
        self._since = now  # nothing was known before
        self._asked = now
        self._revisions: dict[str, int] = {}
        self._heard: dict[str, float] = {}
        self.reports: dict[str, Report] = {}
        self._listed: dict[str, tuple[Listed, float]] = {}  # and when it was last in the list
        self._proxies_need, self._servers_need = Need(), Need()

    def look(
        self, members: Mapping[str, tuple[int, Report]], asked_ms: float, restored: bool = False
    ) -> float:
        """Take every member's revision and report, as asked for at that time.

        Gives how many milliseconds lie between the two last questions that were answered.
        """
        gap, self._asked = asked_ms - self._asked, max(asked_ms, self._asked)
        if restored or gap > self._settings.silent_ms / 2.0:
            self._since = asked_ms
            self._heard = dict.fromkeys(members, asked_ms)
        for name in self._heard.keys() - members.keys():
            del self._heard[name]
            self._revisions.pop(name, None)
        for name, (revision, _) in members.items():
            if self._revisions.get(name) != revision:
                self._revisions[name] = revision
                self._heard[name] = asked_ms
        self.reports = {name: report for name, (_, report) in members.items()}
        return max(0.0, gap)

    def settled(self, now: float) -> bool:
        """Whether who died before the looking began would have been missed by now."""
        return now - self._since > self._settings.silent_ms

    def settles_in(self, now: float) -> float:
        """Milliseconds until it is settled."""
        return max(0.0, self._settings.silent_ms - (now - self._since))

    def proxies(self, now: float) -> Population:
        """Every proxy that has reported and was not forgotten."""
        seen: Population = {}
        for name, report in self.reports.items():
            heard = now - self._heard[name] <= self._settings.silent_ms
            why = ""
            if not heard:
                why = "silent: killed, stopped, or cut off from the agreement service"
            elif not report.ready:
                why = "not ready: starting, stopping, or without a server"
            elif not report.serving and not report.standby:
                why = "drained"
            seen[name] = Seen(
                name, report.zone, report.version, report.nonce, not why, why, heard, report.life,
                report.begun, report.acts, report.left, report.ask, report.pool, report.use, report.turn,
                report.figures, report.standby and report.ready and heard,
            )  # fmt: skip
        return seen

    def servers(self, listed: Iterable[Listed], now: float) -> Population:
        """Every server in the list, or lately in it."""
        heard = [r for name, r in self.reports.items() if now - self._heard[name] <= self._settings.silent_ms]
        against: dict[str, int] = {}
        for report in heard:
            for name in report.ejected:
                against[name] = against.get(name, 0) + 1
        here = {one.name: one for one in listed}
        self._listed.update((name, (one, now)) for name, one in here.items())
        seen: Population = {}
        for name, (one, last) in list(self._listed.items()):
            if now - last > self._settings.gone_ms:
                del self._listed[name]
                continue
            why = ""
            if name not in here:
                why = "gone from the list"
            elif not one.in_service:
                why = "terminating in the list"
            elif 2 * against.get(name, 0) > len(heard):
                why = "left out by most proxies"
            figures = Figures()
            for report in self.reports.values():
                told = report.servers.get(name)
                if told is not None:
                    figures.arrived += told.arrived
                    figures.in_time += told.in_time
                    figures.refused += told.refused
                    figures.failed += told.failed
            seen[name] = Seen(name, one.zone, one.version, one.started, not why, why, figures=figures)
        return seen

    def turn(self, now: float) -> int:
        """The turn of the permits that every proxy obeys that is heard."""
        turns = [
            r.turn for name, r in self.reports.items() if now - self._heard[name] <= self._settings.silent_ms
        ]
        return min(turns, default=0)

    def quiet(self, held: Mapping[str, Permit], now: float) -> frozenset[str]:
        """The servers out by permit to which no proxy that is heard sends any more. One that is cut off from
        the agreement learns it from the list, as it does of every server that terminates."""
        heard = [r for name, r in self.reports.items() if now - self._heard[name] <= self._settings.silent_ms]
        return frozenset(
            name
            for name, permit in held.items()
            if all(report.turn >= permit.number and name not in report.busy for report in heard)
        )

    def proxies_need(self, proxies: Population, now: float) -> float:
        """Proxies that the present traffic would keep busy: the sum of what those that serve report."""
        return self._proxies_need.take(sum(one.use for one in proxies.values() if one.serving), now)

    def servers_need(self, now: float) -> float:
        """Servers that the present traffic would keep busy: what the middle one of the proxies reports."""
        needs = [
            report.need
            for name, report in self.reports.items()
            if report.need > 0.0 and now - self._heard[name] <= self._settings.silent_ms
        ]
        return self._servers_need.take(median_low(needs) if needs else 0.0, now)
