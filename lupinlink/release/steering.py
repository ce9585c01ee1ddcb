"""The lead's side of one process: looks at the fleet, decides, commits; silent while another leads.

A step reads the reports anew and takes the release's records as the watch last told them. Danger: those may
be old. That costs a commit that does not fit, never a wrong one: each is guarded on what it was decided on.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from lupinlink.clock import Clock
from lupinlink.coordination.contract import Agreement, CheckRevision, Put, Record, Step, View
from lupinlink.coordination.errors import CoordinationError
from lupinlink.coordination.leader_election import LeaderElection
from lupinlink.coordination.restore_detection import restored
from lupinlink.errors import LupinError
from lupinlink.release.course import Course, Decision
from lupinlink.release.hearing import Hearing
from lupinlink.release.host import Host
from lupinlink.release.known import Facts, Known, known, members
from lupinlink.release.presence import Presence
from lupinlink.release.records import HALT, MEMBERS
from lupinlink.release.settings import ReleaseSettings
from lupinlink.release.spawn import spawn

log = logging.getLogger(__name__)
TEXTS_MS = 10_000.0  # words alone are brought up to date so often: each write wakes every process
SOON_MS = 300.0  # from news to the next look


class Steering:
    """Begins with each term, ends with it."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        prefix: str,
        host: Host,
        settings: ReleaseSettings,
        hearing: Hearing,
        held_up: Callable[[], bool],
    ) -> None:
        """``held_up``: whether an order of this process's own, such as a halt, is still to be written."""
        self._agreement, self._clock, self._prefix = agreement, clock, prefix
        self._host, self._settings, self._hearing, self._held_up = host, settings, hearing, held_up
        self._lead: LeaderElection | None = None
        self._course: Course | None = None
        self._presence: Presence | None = None
        self._before: View | None = None
        self._view: View | None = None
        self._restored = False
        self._busy = False
        self._soon = False
        self._call = 0
        self._wrote_ms = -TEXTS_MS
        self.steps = self.conflicts = 0

    def led_by(self, lead: LeaderElection) -> None:
        """The two need each other."""
        self._lead = lead

    def became(self, fence: int) -> None:
        """This process leads, under this fence."""
        now = self._clock.now()
        self._course = Course(self._settings, self._host.member.name, fence)
        if self._presence is None:
            self._presence, self._before = Presence(self._settings, now), None
        self._plan(0.0)

    def lost(self, error: LupinError) -> None:
        """It leads no more."""
        self._course = self._presence = None
        self._clock.drop(self._call)

    def stop(self) -> None:
        self.lost(CoordinationError("stopped"))

    def news(self, view: View, went_back: bool) -> None:
        """The release's records as of now."""
        self._view, self._restored = view, self._restored or went_back
        if self._course is not None and not self._busy and not self._soon:
            self._soon = True
            self._plan(SOON_MS)

    def _plan(self, wait_ms: float) -> None:
        self._clock.drop(self._call)
        self._call = self._clock.at(self._clock.now() + wait_ms, self._step)

    def _step(self) -> None:
        self._soon = False
        if self._course is not None and not self._busy:
            self._busy = True
            spawn(self._look(self._course), "a step of the release")

    async def _look(self, course: Course) -> None:
        active = True
        try:
            active = await self._decide(course)
        except LupinError as exc:
            log.info("no step", extra={"kv": {"why": exc.line()}})
        finally:
            self._busy = False
            if self._course is not None:
                self._plan(self._settings.step_ms if active else self._settings.idle_ms)

    async def _decide(self, course: Course) -> bool:
        """One step; whether there is more to be done soon."""
        reports = await self._agreement.read(self._prefix + MEMBERS)
        self._hearing.heard(self._clock.now())
        if self._course is not course or self._presence is None or self._view is None or self._lead is None:
            return True
        went_back = self._restored or (self._before is not None and restored(self._before, reports))
        self._before, self._restored = reports, False
        state = known(self._view, self._prefix)
        facts = self._facts(reports, state, went_back)
        self._lead.observe_fence(max((r.fence for r in self._presence.reports.values()), default=0))
        decision = course.step(state, facts)
        self.steps += 1
        if decision.puts and not self._held_up() and self._due(decision):
            await self._write(decision, state)
        return _active(state)

    def _due(self, decision: Decision) -> bool:
        return decision.urgent or self._clock.now() - self._wrote_ms >= TEXTS_MS

    def _facts(self, reports: View, state: Known, went_back: bool) -> Facts:
        assert self._presence is not None
        presence, now = self._presence, self._clock.now()
        told = members(reports, self._prefix)
        gap = presence.look(told, reports.asked_ms, went_back)
        proxies = presence.proxies(now)
        deaf = max(self._hearing.deaf_ms(now), gap if gap > self._settings.deaf_ms else 0.0)
        return Facts(
            now, proxies, presence.servers(self._host.servers(), now),
            presence.proxies_need(proxies, now), presence.servers_need(now),
            presence.quiet(state.permits.servers.held, now), presence.turn(now),
            max((report.turn for report in presence.reports.values()), default=0),
            presence.settled(now), presence.settles_in(now), deaf,
            {name: revision for name, (revision, _) in told.items()}, state.wanted.servers,
        )  # fmt: skip

    async def _write(self, decision: Decision, state: Known) -> None:
        assert self._lead is not None
        prefix = self._prefix
        steps: list[Step] = list(self._lead.guard())
        steps += [CheckRevision(prefix + key, revision) for key, revision in decision.guards.items()]
        steps += [Put(prefix + key, value, state.revision(key)) for key, value in decision.encoded().items()]
        try:
            written = await self._agreement.commit(steps)
        except LupinError:
            self.conflicts += 1
            raise
        self._wrote_ms = self._clock.now()
        self._hearing.heard(self._wrote_ms)
        if HALT in decision.puts:
            log.warning("halted", extra={"kv": {"why": getattr(decision.puts[HALT], "why", "")}})
            self._hearing.led()
        self._take(written)

    def _take(self, written: dict[str, Record]) -> None:
        """What this process wrote is known here at once."""
        assert self._view is not None
        records = dict(self._view.records)
        for key, record in written.items():
            if key not in records or records[key].revision < record.revision:
                records[key] = record
        self._view = replace(self._view, records=records)


def _active(state: Known) -> bool:
    plan, permits = state.plan, state.permits
    going = plan is not None and not plan.ended
    order, taken = state.order, plan.number if plan is not None else 0
    ordered = order is not None and order.number > taken and (not order.back or not (plan and plan.back))
    outs = (permits.proxies, permits.servers)
    return going or ordered or any(one.held or one.waiting for one in outs)
