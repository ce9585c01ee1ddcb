"""What the lead does: reads every proxy's word, takes the next step, writes it under its fence."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Protocol

import msgspec
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.contract import Agreement, Put, Step, View
from lupinlink.errors import LupinError
from lupinlink.migration import rules
from lupinlink.migration.errors import HaltedError
from lupinlink.migration.hearing import Hearing
from lupinlink.migration.model import PROGRESS, REPORTS, Listener, Report, State, packed, read_report
from lupinlink.migration.permits import Allowed, deal, in_use
from lupinlink.migration.progress import Progress
from lupinlink.migration.records import Records
from lupinlink.migration.settings import MigrationSettings
from lupinlink.migration.sight import Sight
from lupinlink.migration.states import Change, looked
from lupinlink.migration.track import Track
from lupinlink.release.known import known, members
from lupinlink.release.presence import Presence
from lupinlink.release.records import MEMBERS, PERMITS
from lupinlink.release.settings import ReleaseSettings

log = logging.getLogger(__name__)
SPREAD = 0.1  # of the time between two looks, drawn


class Leadership(Protocol):
    """Whether this process leads: ``lupinlink.coordination.leader_election.LeaderElection``."""

    fence: int

    @property
    def is_leader(self) -> bool: ...

    def guard(self) -> tuple[Step, ...]: ...


class Conductor:
    """Runs in every process; only the lead's asks or writes anything."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        draw: Callable[[], float],
        records: Records,
        lead: Leadership,
        settings: MigrationSettings,
        release: ReleaseSettings,
        prefix: str,
        name: str,
    ) -> None:
        self._agreement, self._clock, self._draw = agreement, clock, draw
        self._records, self._lead, self._prefix, self._name = records, lead, prefix, name
        self._settings, self._release = settings, release
        self._call = 0
        self._running = self._turning = False
        self._term: tuple[int, int] | None = None  # the fence, and how often the service was restored
        self._hearing = Hearing(settings.fresh_ms)
        self._presence = Presence(release, clock.now())
        self._tracks: dict[str, Track] = {}
        self._tidy = False  # permits of migrations that are over were looked for
        self.progress: dict[str, Progress] = {}  # of this process's lead, by listener

    def start(self) -> None:
        self._running = True
        self._plan()

    def stop(self) -> None:
        self._running = False
        self._clock.drop(self._call)

    def _plan(self) -> None:
        wait_ms = self._settings.look_ms * (1.0 + SPREAD * (self._draw() - 0.5))
        self._call = self._clock.at(self._clock.now() + wait_ms, self._tick)

    def _tick(self) -> None:
        self._plan()
        if self._turning or not self._lead.is_leader or self._records.heard_at is None:
            return
        term = self._lead.fence, self._records.restored
        if term != self._term:
            # Danger: who was heard before another led, or before a restore, may be dead by now.
            self._term, self._tidy = term, False
            self._hearing.forget()
            self._presence = Presence(self._release, self._clock.now())
            self._tracks.clear()
        missing = self._records.missing()
        opened = [one for one in self._records.listeners.values() if one.open is not None]
        if missing or opened or not self._tidy:
            self._turning = True
            Deferred.fromCoroutine(self._turn(missing, opened)).addCallbacks(self._turned, self._failed)

    def _turned(self, done: None) -> None:
        self._turning = False

    def _failed(self, failure: Failure) -> None:
        self._turning = False
        if not isinstance(failure.value, LupinError):
            log.error("a look at the migrations failed", exc_info=failure.value)
        else:
            log.info("a look at the migrations failed", extra={"kv": {"why": failure.value.line()}})

    async def _turn(self, missing: list[Listener], opened: list[Listener]) -> None:
        if missing:
            first = [self._records.put(msgspec.structs.replace(one, epoch=1)) for one in missing]
            await self._records.commit([*self._lead.guard(), *first])
        reports = await self._hear() if opened else {}
        allowed = await self._permits(reports)
        if stale := allowed.stale(self._records.listeners):
            dealt = deal(allowed, self._release.proxies, self._prefix, "", (), stale)
            await self._agreement.commit([*self._lead.guard(), *dealt.steps])
        self._tidy = not stale
        if stale:
            return  # the rest at the next look, on what stands there then
        for name in [one.name for one in opened]:
            if (listener := self._records.listeners[name]).open is not None:
                allowed = await self._advance(listener, allowed)
        self._tidy = self._tidy and not any(one.open is not None for one in self._records.listeners.values())

    async def _hear(self) -> Mapping[str, Report]:
        view = await self._agreement.read(self._prefix + REPORTS)
        reports: dict[str, tuple[int, Report]] = {}
        for key, record in view.records.items():
            try:
                reports[key.removeprefix(self._prefix + REPORTS)] = record.revision, read_report(record.value)
            except (msgspec.DecodeError, UnicodeDecodeError) as exc:
                log.warning("a report cannot be read", extra={"kv": {"key": key, "why": exc}})
        self._hearing.take(reports, view.asked_ms)
        return {name: report for name, (_, report) in reports.items()}

    async def _permits(self, reports: Mapping[str, Report]) -> Allowed:
        people: View = await self._agreement.read(self._prefix + MEMBERS)
        release: View = await self._agreement.read(self._prefix + "release/")
        now = self._clock.now()
        self._presence.look(members(people, self._prefix), people.asked_ms)
        everybody = self._presence.proxies(now)
        population = in_use(everybody, self._records.listeners.values(), reports)
        need = self._presence.proxies_need(everybody, now)
        return Allowed(known(release, self._prefix), population, need, self._presence.settled(now))

    async def _advance(self, listener: Listener, allowed: Allowed) -> Allowed:
        """One listener's step, with its permits and what is told of it, in one commit."""
        now, name = self._clock.now(), listener.name
        track = self._tracks.setdefault(name, Track(self._release.gates))
        track.seen(listener, now)
        sight = Sight(
            listener, self._hearing.members(now), self._settings, track.stood_ms(now),
            permitted=allowed.held(name), held=allowed.out(),
        )  # fmt: skip
        migration = sight.migration
        planned = migration.state is State.PLANNED
        if not self._hearing.enough(() if planned else (*migration.sources, *migration.targets), now):
            change = Change(listener, "the lead listens who is there")
        else:
            forward = migration.state is not State.RETURNING
            trouble_ms = track.trouble_ms(bool(migration.prepared and rules.trouble(sight, forward)), now)
            judgment = track.gate.look(sight, allowed.population, now, sight.held)
            sight = replace(sight, trouble_ms=trouble_ms, judgment=judgment)
            change = looked(sight)
        dealt = deal(allowed, self._release.proxies, self._prefix, name, change.take, change.give)
        if dealt.granted:
            # Permit and order go in one commit: whoever may go is told so at once.
            permitted = (sight.permitted - set(change.give)) | dealt.granted
            change = looked(replace(sight, permitted=permitted))
        steps = list(dealt.steps)
        if change.listener is not listener:
            steps.append(self._records.put(change.listener))
            self._say(change)
        after = replace(sight, listener=change.listener)
        waits = change.why + "".join(f"; {one}: {why}" for one, why in sorted(dealt.refused.items())[:3])
        self.progress[name] = told = track.told(after, self._name, waits, now)
        if track.due(told, now, 2.0 * self._settings.look_ms, change.listener is not listener):
            steps.append(Put(self._prefix + PROGRESS + name, packed(told), None))
        if steps:
            written = await self._records.commit([*self._lead.guard(), *steps])
            if (record := written.get(self._prefix + PERMITS)) is not None:
                revisions = {**allowed.known.revisions, PERMITS: record.revision}
                allowed = replace(allowed, known=replace(allowed.known, revisions=revisions))
        return allowed

    def _say(self, change: Change) -> None:
        migration = change.listener.migration
        assert migration is not None
        kv = {"listener": change.listener.name, "epoch": change.listener.epoch, "state": migration.state}
        if change.halted:
            log.warning("%s", HaltedError(f"{change.listener.name}: {change.why}").line(), extra={"kv": kv})
        else:
            log.info("migration", extra={"kv": {**kv, "owner": change.listener.owner, "why": change.why}})
