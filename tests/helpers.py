"""A harness that drives one decision module by hand, with its timers and a log of its actions."""

from __future__ import annotations

from random import Random

from lupinlink import interface as api
from lupinlink.brain import Balancer
from lupinlink.interface import Effect, Endpoint, MembershipKind, RequestClass, Settings, Status

SAFE = RequestClass(300.0, 1000.0, 5.0, 0.5, Effect.SAFE)
UNSAFE = RequestClass(300.0, 1000.0, 5.0, 0.5, Effect.UNSAFE)
KEYED = RequestClass(300.0, 6000.0, 1.0, 0.5, Effect.KEYED, api.DedupScope.CELL, 2000.0)


class NodeHarness:
    """Drives one node: passes events, fires timers and keeps all actions in ``log``."""

    def __init__(self, settings: Settings, names: str = "abcd", seed: int = 1) -> None:
        self.node = Balancer(settings, Random(seed))
        self.now = 0.0
        self.timers: list[tuple[float, int]] = []
        self.log: list[api.Action] = []
        self.discover([Endpoint(n) for n in names])

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.node.handle(self.now, event)
        self.timers += [(self.now + a.delay_ms, a.token) for a in actions if isinstance(a, api.SetTimer)]
        self.log += actions
        return actions

    def discover(self, rows: list[Endpoint], kind: MembershipKind = MembershipKind.FULL) -> list[api.Action]:
        """Deliver a list of endpoints from discovery."""
        return self.handle(api.Membership(kind, rows))

    def advance_to(self, time: float) -> list[api.Action]:
        """Advance the clock to ``time``, firing timers as they come due; returns their actions."""
        fired: list[api.Action] = []
        while self.timers and min(self.timers)[0] <= time:
            due, token = min(self.timers)
            self.timers.remove((due, token))
            self.now = max(self.now, due)
            fired += self.handle(api.TimerFired(token))
        self.now = max(self.now, time)
        return fired

    def ask(self, name: str, cls: int = 0, tenant: int = 0, left: float | None = None) -> list[api.Action]:
        """A client's request arrives, with ``left`` ms to its deadline."""
        remaining_ms = self.node.settings.classes[cls].deadline_ms if left is None else left
        return self.handle(api.Arrival(name, cls, tenant, self.now + remaining_ms))

    def end(self, name: str, status: Status, server: str, attempt: int = 0, **kw: object) -> list[api.Action]:
        """An attempt ends at ``server``; a successful one answers the request."""
        closed = status == Status.OK
        report = kw.get("report")
        assert report is None or isinstance(report, dict)
        return self.handle(api.Outcome(name, status, 1.0, attempt, closed, server, report))


def sends(actions: list[api.Action]) -> list[api.Send]:
    """The attempts started among these actions."""
    return [a for a in actions if isinstance(a, api.Send)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    """The final answers among these actions."""
    return [a for a in actions if isinstance(a, api.Refuse | api.Fail)]
