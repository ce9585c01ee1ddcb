"""A fleet without sockets or clocks: processes, two leads, and the service's ledger, step by step."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from lupinlink.coordination.contract import CheckHolder, CheckRevision, Lock, Put, Step, View
from lupinlink.coordination.errors import ConflictError, LeaseLostError
from lupinlink.coordination.kv_store import KvStore
from lupinlink.coordination.restore_detection import restored
from lupinlink.release.course import Course
from lupinlink.release.halts import Memory, halted
from lupinlink.release.known import Facts, Known, known, members
from lupinlink.release.presence import Presence
from lupinlink.release.records import (
    HALT,
    MEMBERS,
    ORDER,
    PERMITS,
    PLAN,
    RELEASE,
    Halt,
    Order,
    encoded,
)
from tests.release_cast import LEAD, SETTINGS, Leader, Process


@dataclass
class World:
    """All of it. Every change of the records is a commit to the ledger."""

    now: float = 0.0
    store: KvStore = field(default_factory=lambda: KvStore(0.0))
    processes: dict[str, Process] = field(default_factory=dict)
    memory: Memory = field(default_factory=Memory)
    begins: Counter[tuple[str, bool, str]] = field(default_factory=Counter)  # plan, way back, name
    fences: int = 0
    out_since: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.processes = {f"p{i}": Process(f"p{i}", "ab"[i % 2]) for i in range(6)}
        self.leads = [self._leader(f"lead{i}") for i in range(2)]
        self.saved = self.store.save()
        for process in self.processes.values():
            self.tell(process)

    def _leader(self, name: str) -> Leader:
        return Leader(name, Presence(SETTINGS, self.now), self.store.open(1e12, self.now))

    def known(self) -> Known:
        records, index = self.store.read(RELEASE, self.now)
        return known(View(RELEASE, records, index, self.now), "")

    def commit(self, *steps: Step) -> bool:
        try:
            self.store.commit(list(steps), self.now)
        except (ConflictError, LeaseLostError):
            return False
        if any(step.key in (HALT, ORDER) for step in steps):
            told = self.known()
            self.memory.saw(told.halt, told.order)
        return True

    def tell(self, process: Process) -> None:
        """A heartbeat."""
        if process.alive and not process.frozen:
            report = process.report()
            self.commit(Put(MEMBERS + process.name, encoded(report), None))

    def tick(self, ms: float) -> None:
        self.now += ms
        for process in self.processes.values():
            process.served += 50 * process.serves
            self.tell(process)
            self.out_since = {n: at for n, at in self.out_since.items() if not self.processes[n].serves}
            if not process.serves:
                self.out_since.setdefault(process.name, self.now)

    def look(self, leader: Leader) -> None:
        """Read all and decide; whether it leads still is for the commit to tell."""
        if leader.course is None:
            return
        records, index = self.store.read(MEMBERS, self.now)
        view = View(MEMBERS, records, index, self.now)
        went_back = leader.before is not None and restored(leader.before, view)
        leader.before = view
        told, state = members(view, ""), self.known()
        deaf = leader.presence.look(told, self.now, went_back)
        presence = leader.presence
        proxies = presence.proxies(self.now)
        facts = Facts(
            self.now, proxies, {}, presence.proxies_need(proxies, self.now), 0.0, frozenset(),
            presence.turn(self.now), max((r.turn for r in presence.reports.values()), default=0),
            presence.settled(self.now), presence.settles_in(self.now), deaf,
            {name: revision for name, (revision, _) in told.items()},
        )  # fmt: skip
        leader.pending = leader.course.step(state, facts), state

    def settle(self, leader: Leader) -> bool:
        """Commit what was decided; True: it was done."""
        if leader.pending is None:
            return False
        (decision, state), leader.pending = leader.pending, None
        if not decision.puts:
            return False
        puts = [Put(key, encoded(record), state.revision(key)) for key, record in decision.puts.items()]
        guards = [CheckRevision(key, revision) for key, revision in decision.guards.items()]
        return self.commit(CheckHolder(LEAD, leader.lease), *guards, *puts)

    def take_lead(self, leader: Leader) -> None:
        """The service ends the other's lease, who may not know it, and this one takes the record."""
        for lease in list(self.store.leases):
            self.store.end(lease, self.now)
        leader.lease = self.store.open(1e12, self.now)
        self.fences += 1
        if self.commit(Lock(LEAD, b"%d" % self.fences, leader.lease)):
            leader.fence = self.fences
            leader.course = Course(SETTINGS, leader.name, leader.fence)

    def see(self, process: Process) -> None:
        """The process reads the permits."""
        if process.alive and not process.frozen:
            process.seen = self.known(), process.life

    def act(self, process: Process) -> None:
        """It acts on what it has read, now or long ago."""
        if process.seen is None or process.frozen or not process.alive:
            return
        (state, life), process.seen = process.seen, None
        permit = state.permits.proxies.held.get(process.name)
        if permit is None or permit.nonce != process.nonce or life != process.life or process.begun:
            return
        if not permit.plan and not process.ask:
            return
        process.begun, process.acts = permit.number, permit.plan
        report = encoded(process.report())
        guard = CheckRevision(PERMITS, state.revision(PERMITS))
        if not self.commit(guard, Put(MEMBERS + process.name, report, None)):
            process.begun, process.acts = 0, ""
            return
        # A service that was restored may have this revision with another content: what stands there now?
        if self.known().permits.proxies.held.get(process.name) != permit:
            process.begun, process.acts = 0, ""
            self.tell(process)
            return
        process.drained, process.starts = True, permit.version
        if permit.plan:
            plan = self.known().plan
            back = plan is not None and plan.id == permit.plan and plan.back
            self.begins[permit.plan, back, process.name] += 1

    def wanted(self, process: Process) -> str:
        """What starts a process asks which version it is to be."""
        state = self.known()
        permit = state.permits.proxies.held.get(process.name)
        if permit is not None and permit.version:
            return permit.version
        return process.version

    def end(self, process: Process) -> None:
        process.alive, process.frozen, process.seen = False, False, None

    def start(self, process: Process) -> None:
        """Another process of that name."""
        process.version, process.starts = self.wanted(process), ""
        process.life, process.alive, process.drained = process.life + 1, True, False
        process.begun, process.acts, process.ask, process.beat = 0, "", "", 0
        self.tell(process)
        if process.serves:
            self.out_since.pop(process.name, None)

    def halt(self) -> None:
        state = self.known()
        self.commit(Put(HALT, encoded(halted(state.halt, "op", "asked")), state.revision(HALT)))

    def go_on(self, accept: bool = False) -> None:
        state = self.known()
        if state.halt.stands:
            lifted = Halt(state.halt.number + 1, False, "op", "go on", accept)
            self.commit(Put(HALT, encoded(lifted), state.revision(HALT)))

    def order(self) -> None:
        state = self.known()
        if state.plan is not None or state.halt.stands:
            return
        number = (state.order.number if state.order else 0) + 1
        self.commit(Put(ORDER, encoded(Order(number, "r1", "2")), state.revision(ORDER)))

    def back(self) -> None:
        state = self.known()
        if state.plan is None or state.order is None or state.order.back:
            return
        order = Order(state.order.number + 1, state.order.id, state.order.version, back=True)
        lifted = Halt(state.halt.number + 1, False, "op", "back")
        self.commit(
            Put(ORDER, encoded(order), state.revision(ORDER)),
            Put(HALT, encoded(lifted), state.revision(HALT)),
            CheckRevision(PLAN, state.revision(PLAN)),
        )  # fmt: skip

    def restore(self) -> None:
        """The service goes back; whoever remembers a halt, or the way back, says it again."""
        self.store.restore(self.saved, self.now)
        state = self.known()
        halt, order = self.memory.missing(state.halt, state.order)
        if halt is not None:
            self.commit(Put(HALT, encoded(halt), state.revision(HALT)))
        if order is not None:
            self.commit(Put(ORDER, encoded(order), state.revision(ORDER)))
