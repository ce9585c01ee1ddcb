"""The release's part of one process: reports, acts on its permit, leads in its turn, answers the door.

``ReleaseAgent`` is a ``lupinlink.coordination.component.Component``. It carries the pure decisions of this
package over an ``Agreement``; all state that matters is in the service's records.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence

from lupinlink.clock import Clock
from lupinlink.coordination.component import AdminResponse, AdminRoutes
from lupinlink.coordination.contract import Agreement, Step, View, Watch
from lupinlink.coordination.fence import HighestFence
from lupinlink.coordination.leader_election import LeaderElection
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.release.acting import Acting
from lupinlink.release.door import SILENT_MS, Door
from lupinlink.release.errors import NoWordError, RecordError, RefusedPermitError, UnderWayError
from lupinlink.release.halts import Memory
from lupinlink.release.hearing import Hearing
from lupinlink.release.host import Host
from lupinlink.release.known import Known, known
from lupinlink.release.ordering import Ordering
from lupinlink.release.orders import again
from lupinlink.release.records import LEAD, MEMBERS, PERMITS, PLAN, RELEASE, Report
from lupinlink.release.reporter import Reporter
from lupinlink.release.settings import ReleaseSettings
from lupinlink.release.steering import Steering

log = logging.getLogger(__name__)
AGAIN_SPREAD_MS = 3000.0  # after a restore everybody remembers; the first one to write spares the others


class ReleaseAgent:
    """One process's agent."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        process_lease: ProcessLease,
        host: Host,
        settings: ReleaseSettings,
        draw: Callable[[], float],
        prefix: str = "",
        lock_delay_ms: float = 1000.0,
        nonce: str = "",
    ) -> None:
        """``draw``: from [0, 1), of this process alone. ``prefix``: before all keys. ``nonce``: of this
        process alone; empty: drawn. ``lock_delay_ms``: the service's, as ``Lead`` is told it."""
        self._agreement, self._clock, self._draw, self._prefix = agreement, clock, draw, prefix
        self._host, self._settings = host, settings
        self._nonce = nonce or "".join(f"{int(draw() * 65536.0):04x}" for _ in range(4))
        self.name = host.member.name
        self.known = Known()
        self._seen, self._memory = HighestFence(), Memory()
        self._hearing = Hearing(settings.deaf_ms, clock.now())
        self.ordering = Ordering(agreement, clock, prefix, draw)
        self.acting = Acting(agreement, clock, prefix, host, settings, self._nonce, self._seen)
        self.reporter = Reporter(
            agreement,
            clock,
            prefix + MEMBERS + self.name,
            self._nonce,
            self._report,
            settings.report_ms,
            draw,
            self._hearing,
        )
        self.acting.report_by(self.reporter)
        self.steering = Steering(
            agreement, clock, prefix, host, settings, self._hearing,
            lambda: self.ordering.halts_waiting > 0,
        )  # fmt: skip
        self.lead = LeaderElection(
            agreement, clock, process_lease, prefix + LEAD, self.name, draw, self.steering.became,
            self.steering.lost, self._seen, lock_delay_ms=lock_delay_ms,
        )  # fmt: skip
        self.steering.led_by(self.lead)
        self._door = Door(self, prefix)
        self._served = False  # this process, at any time
        self._view: View | None = None
        self._watch: Watch | None = None

    def start(self) -> None:
        """Begin."""
        self.lead.start()
        self.reporter.start()
        self._watch = self._agreement.watch(
            self._prefix + RELEASE, self._news, lambda error: self._hearing.failed()
        )

    def stop(self) -> None:
        """End; a permit that is held stays held until this name serves again."""
        if self._watch is not None:
            self._watch.stop()
        for part in (self.reporter, self.acting, self.steering, self.ordering, self.lead):
            part.stop()

    def admin_routes(self) -> AdminRoutes:
        """Its own calls."""
        return self._door.admin_routes()

    def drains(self) -> AdminRoutes:
        """What the service's own calls to drain become with a fleet file: they ask for a permit first."""
        return self._door.drains()

    def _report(self) -> Report:
        member, host = self._host.member, self._host
        self._served = self._served or host.serving() or host.standby()
        if host.ready() and not self._served and not self.acting.ask:
            self.acting.ask = "drained before this process began"  # the drain came with an upgrade
        report = Report(
            member.name, member.zone, member.version, 0, self._nonce, pool=member.pool,
            ready=host.ready(), serving=host.serving(), standby=host.standby(), left=host.left(),
            use=host.use(), need=host.need(), figures=host.figures(), ejected=sorted(host.left_out())[:64],
        )  # fmt: skip
        self.acting.fill(report)
        return report

    def _news(self, view: View) -> None:
        self._hearing.heard(self._clock.now())
        before, went_back = self.known, self._view is not None and view.index < self._view.index
        self._view = view
        try:
            self.known = state = known(view, self._prefix)
        except RecordError as exc:
            # Danger: to act on half of what stands there is worse than to stand still.
            log.error("release not readable", extra={"kv": {"why": exc.line()}})
            return
        if went_back:
            log.warning("the agreement service went back", extra={"kv": {"index": view.index}})
            self._say_again(state)
        else:
            self._memory.saw(state.halt, state.order)
        led = any(state.revision(key) > before.revision(key) for key in (PERMITS, PLAN))
        if led and state.permits.lead != self.name:
            self._hearing.led()  # another leads, and has had the choice to halt
        self.acting.look(state)
        self.steering.news(view, went_back)

    def _say_again(self, state: Known) -> None:
        """A halt, or an order to go back, that the restored service has forgotten."""
        halt, order = self._memory.missing(state.halt, state.order)
        if halt is None and order is None:
            return

        def say() -> None:
            def make(view: View) -> Sequence[Step]:
                return again(known(view, self._prefix), self._memory)

            self.ordering.give("say again what the service forgot", make, halt=True)

        self._clock.after(self._draw() * AGAIN_SPREAD_MS, say)

    def servers(self) -> Iterable[str]:
        """The names in this process's list."""
        return [one.name for one in self._host.servers()]

    def silent_ms(self) -> float:
        """For how long nothing was heard of the service."""
        return self._hearing.silent_ms(self._clock.now())

    def out_of_service(self, now: bool, why: str) -> AdminResponse:
        """An operator's drain of this proxy. ``now``: without waiting for a permit."""
        if self.acting.ending:
            permit = self.acting.permit
            raise UnderWayError(
                f"{self.name} is out for {permit.why if permit else 'a release'} and will end"
            )
        silent = self.silent_ms()
        if silent > SILENT_MS and not now:
            raise NoWordError(f"nothing was heard for {silent / 1000.0:.0f} s")
        self.acting.want_out(why)
        if now:
            self._host.drain()
            return AdminResponse(200, "yes: it drains, without a permit until the lead has seen it\n")
        if self.acting.permit is not None:
            return AdminResponse(200, "yes: it drains by permit\n")
        reason = self.known.permits.proxies.waiting.get(self.name, "its lead has not answered yet")
        error = RefusedPermitError(reason)
        return AdminResponse(202, f"asked for: it drains once it has its permit; waiting because: {error}\n")

    def in_service(self) -> AdminResponse:
        """An operator has it back in service; the permit is given back."""
        if self.acting.ending:
            raise UnderWayError(f"{self.name} is out for a release and will end; halt does not bring it back")
        return AdminResponse(200, "yes\n") if self.acting.want_in() else AdminResponse(503, "no\n")
