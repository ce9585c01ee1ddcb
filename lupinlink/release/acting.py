"""What this process does on its permit: begins in agreement, drains, ends; and which servers it withholds.

Danger: between reading a permit and acting on it this process may stand still for minutes. So it begins by a
commit that is guarded on the permits as it read them, and looks once more what stands there (a service that
was restored may have the same revision with another content) before anybody is turned away.
"""

from __future__ import annotations

import logging

from lupinlink.clock import Clock
from lupinlink.coordination.contract import Agreement, CheckRevision
from lupinlink.coordination.errors import CoordinationError, UncertainError
from lupinlink.coordination.fence import HighestFence
from lupinlink.release.host import Host
from lupinlink.release.known import Known, known
from lupinlink.release.records import PERMITS, Permit, Report
from lupinlink.release.reporter import Reporter
from lupinlink.release.settings import ReleaseSettings
from lupinlink.release.spawn import spawn

log = logging.getLogger(__name__)
LOOK_MS = 250.0  # how often a drain is looked at


class Acting:
    """The member's side of one process."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        prefix: str,
        host: Host,
        settings: ReleaseSettings,
        nonce: str,
        seen: HighestFence,
    ) -> None:
        """``seen``: the highest fence this process has met; the reporter is handed in by ``report_by``."""
        self._agreement, self._clock, self._prefix = agreement, clock, prefix
        self._host, self._settings, self._nonce, self._seen = host, settings, nonce, seen
        self._reporter: Reporter | None = None
        self._beginning = False
        self._stopped = False
        self._drained_at: float | None = None
        self._withheld: frozenset[str] = frozenset()
        self._watched: list[str] = []
        self.permit: Permit | None = None  # that it has begun on
        self.ask = ""  # why an operator wants this proxy out
        self.turn = 0  # of the permits that it obeys
        self.refused = 0  # records that a stale lead wrote

    def report_by(self, reporter: Reporter) -> None:
        """The two need each other."""
        self._reporter = reporter

    def stop(self) -> None:
        self._stopped = True

    @property
    def ending(self) -> bool:
        """Whether this process is out for a release and will end."""
        return self.permit is not None and bool(self.permit.plan)

    def fill(self, report: Report) -> None:
        """What the report says of this side."""
        permit = self.permit
        report.ask, report.turn, report.fence = self.ask, self.turn, self._seen.highest
        if permit is not None:
            report.begun, report.acts = permit.number, permit.plan
        if self._withheld:
            report.busy = sorted(self._host.busy(self._withheld))
        if self._watched:
            report.servers = dict(self._host.served_by(self._watched))

    def look(self, state: Known) -> None:
        """The permits as they stand now."""
        permits = state.permits
        if self._stopped or not self._seen.admits(permits.fence):
            self.refused += not self._stopped
            return
        self.turn, self._watched = permits.turn, permits.watched
        withheld = frozenset(permits.servers.held)
        if withheld != self._withheld:
            log.info("withholds", extra={"kv": {"servers": ",".join(sorted(withheld)) or "none"}})
            self._withheld = withheld
            self._host.withhold(withheld)
        permit = permits.proxies.held.get(self._host.member.name)
        if permit is None or permit.nonce != self._nonce:
            return
        if self.permit is not None and self.permit.number == permit.number:
            self.permit = permit  # what is to be started in its place may have changed
        elif self.permit is None and (permit.plan or (permit.asked and self.ask)):
            self._begin(permit, state.revision(PERMITS))

    def _begin(self, permit: Permit, revision: int) -> None:
        if not self._beginning:
            self._beginning = True
            spawn(self._begun(permit, revision), "the beginning of a drain")

    async def _begun(self, permit: Permit, revision: int) -> None:
        assert self._reporter is not None
        self.permit = permit
        try:
            guard = CheckRevision(self._prefix + PERMITS, revision)
            try:
                mine = await self._reporter.write([guard])
            except UncertainError:
                mine = self._reporter.standing  # it was read: did it happen?
            if mine is None or mine.begun != permit.number or not await self._stands(permit):
                self._give_up(permit)
                return
        except CoordinationError as exc:
            log.info("did not begin", extra={"kv": {"permit": permit.number, "why": exc.line()}})
            self._give_up(permit)
            return
        finally:
            self._beginning = False
        if self._stopped or self.permit is None or self.permit.number != permit.number:
            self._give_up(permit)  # an operator thought better of it meanwhile
            return
        log.info("drains by permit", extra={"kv": {"permit": permit.number, "why": permit.why}})
        self._drained_at = self._clock.now()
        self._host.drain()
        self._reporter.touch()
        self._wait()

    async def _stands(self, permit: Permit) -> bool:
        view = await self._agreement.read(self._prefix + PERMITS)
        now = known(view, self._prefix).permits.proxies.held.get(self._host.member.name)
        return now is not None and (now.number, now.nonce) == (permit.number, permit.nonce)

    def _give_up(self, permit: Permit) -> None:
        """It was not begun, or nobody may know whether it was: then the report says it is not."""
        self.permit = None
        assert self._reporter is not None
        standing = self._reporter.standing
        if standing is not None and standing.begun == permit.number:
            self._reporter.touch()

    def _wait(self) -> None:
        permit = self.permit
        if self._stopped or permit is None or not permit.plan or self._drained_at is None:
            return
        late = self._clock.now() - self._drained_at >= self._settings.drain_ms
        if late or not self._host.left():
            log.info("ends by permit", extra={"kv": {"next": permit.version, "left": self._host.left()}})
            self._host.end(permit.version)
        else:
            self._clock.after(LOOK_MS, self._wait)

    def want_out(self, why: str) -> None:
        """An operator wants this proxy out; it goes when it has its permit."""
        self.ask = why
        if self._reporter is not None:
            self._reporter.touch()

    def want_in(self) -> bool:
        """An operator wants it in service again; False: it is stopping."""
        self.ask, self.permit, self._drained_at = "", None, None
        yes = self._host.in_service()
        if self._reporter is not None:
            self._reporter.touch()
        return yes
