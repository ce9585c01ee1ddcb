"""Discovery on a virtual clock: its list, its watches, and the outages and faults of a script."""

from __future__ import annotations

from tests.discovery_calls import ANSWERED, Call
from tests.drain_oracle import DrainOracle, Process
from tests.drain_script import CallFault, Change, Fault, OutageKind, Script, ScriptedOutage
from tests.memory_net import Link, VirtualClock
from tests.simulated_backend_list import Entry, SimulatedBackendList, with_update

LATE_DIAL_MS = 1500.0
NOTIFIED_AFTER_END_MS = 300.0  # earliest time after the end of a watch at which its change counts
ADDRESSES = ("10.9.0.1", 7100), ("10.9.0.2", 7100)  # the second after SIGHUP


class SimulatedDiscovery:
    """All calls and their faults; ``known`` is the list as the process has read it."""

    def __init__(self, script: Script, clock: VirtualClock, oracle: DrainOracle) -> None:
        self.script, self.clock, self._oracle = script, clock, oracle
        self.backends = SimulatedBackendList(script)
        self.known = self._first = self.backends.full_list(0)
        self.process: Process  # the process that makes the calls from now on
        self.quiet = False  # pushed lists: the agent answers with what it has, and gets no changes
        self.last_fault_at = 0.0
        self._calls: list[Call] = []
        self._runs, self._faults = list(script.runs), list[CallFault]()
        self._pending_changes: list[tuple[int, Change]] = []
        for number, change in enumerate(script.changes, 1):
            clock.at(change.at, lambda n=number, c=change: self._change(n, c))  # type: ignore[misc]
        for outage in script.outages:
            clock.at(outage.begin, lambda o=outage: self._begin(o))  # type: ignore[misc]
            if script.pushed:
                clock.at(outage.end, self._resume_agent)
        for at in script.silences:
            clock.at(at, self._fall_silent)

    def forget(self) -> None:
        """Reset ``known`` to the first list."""
        self.known = self._first

    def known_goings(self) -> frozenset[str]:
        """The departures in the list of a process that starts now."""
        return frozenset(self.backends.departures(self.known))

    def wrote(self, process: Process, update: Entry) -> None:
        """An object was written in full to that process."""
        for name in self.backends.departures(update):
            self._oracle.wrote(process, name, self.clock.now)

    def lost(self, process: Process, update: Entry, at: float) -> None:
        """What was written at that time was discarded by a reset, unread."""
        for name in self.backends.departures(update):
            self._oracle.unread(process, name, at)

    def read(self, update: Entry) -> None:
        """The process has read this object."""
        self.known = with_update(self.known, update)

    def _change(self, number: int, change: Change) -> None:
        if self.quiet:
            self._pending_changes.append((number, change))
            return
        self._oracle.had(self.backends.change(number, change), self.clock.now)
        for call in self._calls:
            if call.live and self.script.ends_instead and not (self._runs or self._faults):
                self._end_instead(call, self.process)
            elif call.live:
                call.write(self.backends.last(call.where))

    def _end_instead(self, call: Call, process: Process) -> None:
        """End this watch; a call made at once would get the change, unless discovery goes down."""
        update = self.backends.last(call.where)
        call.silence()
        call.link.end()

        def would_have_written() -> None:
            if self._outage() is None:
                self.wrote(process, update)

        self.clock.at(self.clock.now + NOTIFIED_AFTER_END_MS, would_have_written)

    def _resume_agent(self) -> None:
        """The agent gets changes again, those of the outage first."""
        self.quiet = False
        pending, self._pending_changes = self._pending_changes, []
        for number, change in pending:
            self._change(number, change)

    def _fall_silent(self) -> None:
        for call in self._calls:
            call.silence()

    # Calls and their faults.

    def dial(self, where: int) -> Link:
        """Accept or fail a call of the process."""
        link = Link()
        outage = self._outage()
        if self.script.pushed:
            self._accept(link, where, ANSWERED)
        elif outage is not None:
            self._fail(outage, link, where)
        else:
            self._connect(link, where, self._next_fault())
        return link

    def _outage(self) -> ScriptedOutage | None:
        now = self.clock.now
        return next((outage for outage in self.script.outages if outage.begin <= now < outage.end), None)

    def _next_fault(self) -> CallFault:
        if self._runs and not self._faults and self._runs[0].at <= self.clock.now:
            self._faults = [*self._runs.pop(0).faults, ANSWERED]  # so that two runs of faults are not one
        fault = self._faults.pop(0) if self._faults else ANSWERED
        if fault is not ANSWERED:
            self.last_fault_at = self.clock.now
        return fault

    def _connect(self, link: Link, where: int, fault: CallFault) -> None:
        if fault.fault is Fault.LATE_DIAL:
            self.clock.at(self.clock.now + LATE_DIAL_MS, lambda: self._connect_late(link, where))
        elif fault.fault is not Fault.NO_DIAL:
            self._accept(link, where, fault)

    def _connect_late(self, link: Link, where: int) -> None:
        outage = self._outage()
        if outage is not None:
            self._fail(outage, link, where)
        else:
            self._accept(link, where, ANSWERED)

    def _accept(self, link: Link, where: int, fault: CallFault) -> None:
        if not (link.closed or link.dead):
            self._calls.append(Call(self, link, where, fault, self.process))
            link.up = True

    def _fail(self, outage: ScriptedOutage, link: Link, where: int) -> None:
        if outage.kind is OutageKind.REFUSE:
            link.refused = True
        elif outage.kind is OutageKind.ERROR:
            self._accept(link, where, CallFault(Fault.ERROR, outage.delay))
        elif outage.kind is OutageKind.RESET:
            self._accept(link, where, ANSWERED)
            link.reset()
        else:
            link.dead = True

    def _begin(self, outage: ScriptedOutage) -> None:
        if self.script.pushed:
            self.quiet = True
            return
        for call in self._calls:
            call.silence()
            if outage.kind is OutageKind.CUT:
                call.link.dead = True
            elif outage.kind is OutageKind.RESET:
                call.reset()
            else:
                call.link.end()
        self._calls.clear()
