"""What clients say on loopback: the model's tries as HTTP/1.1, and their answers back into the model."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from lupinlink.lab.callers import Answer, Call, Pool
from lupinlink.lab.loop import LoopClock
from lupinlink.lab.model.clients import Ask
from lupinlink.lab.model.referee import Reply
from lupinlink.lab.model.scenario import Scenario
from lupinlink.net import http1

if TYPE_CHECKING:
    from lupinlink.lab.model.world import World


class Asking:
    """Between one world's clients and their connections; ``world`` and ``pools`` are put in later."""

    world: World

    def __init__(self, scenario: Scenario, clock: LoopClock) -> None:
        self.scenario, self.clock = scenario, clock
        self.asks: dict[str, Ask] = {}  # tries that are open, by their id on the wire
        self.pools: list[Pool] = []  # by proxy
        self._calls: dict[str, Call] = {}
        self._classes = list(scenario.classes.items())

    def target(self, ask: Ask) -> str:
        """The path that a try asks for."""
        return f"/{self._classes[ask.want.class_index][0]}/{ask.want.key}"

    def ended_early(self, ask: Ask) -> None:
        """Its proxy ended the connection with nothing sent: the request has failed."""
        self.world.referee.answered(ask.name, self.clock.now(), Reply.FAILED)

    def ask(self, ask: Ask) -> None:
        """A client begins a try: it is at its proxy a way later."""
        self.clock.at(self.clock.now() + self.world.ways.client(), partial(self._send, ask))

    def _send(self, ask: Ask) -> None:
        if not ask.open:
            return
        cls = self._classes[ask.want.class_index][1]
        left = max(1, int(ask.deadline - self.clock.now()))
        members = list(self.scenario.members)
        headers = [("Host", "lab"), ("X-Trace-Id", ask.name), ("X-Customer", members[ask.want.member]),
                   ("X-Expires-In-Ms", str(left))]  # fmt: skip
        if ask.is_retry and self.scenario.clients.marks_retries:
            headers.append(("X-Second-Try", "1"))
        target = self.target(ask)
        if cls.effect == "safe":
            data = http1.request("GET", target, headers)
        else:
            headers.append(("Idempotency-Key", f"w{ask.want.number:x}"))
            data = http1.request("POST", target, headers, b"{}")
        self.asks[ask.name] = ask
        call = self._calls[ask.name] = Call(ask.name, data, partial(self._answered, ask))
        self.pools[ask.proxy].send(call)

    def wrote(self, call: Call) -> None:
        """A request has gone out."""
        if not call.again:
            ask = self.asks[call.name]
            self.world.agents.taken(ask, self.clock.now())
            self.world.taken_by[ask.proxy] += 1

    def _answered(self, ask: Ask, answer: Answer) -> None:
        world, now = self.world, self.clock.now()
        self._calls.pop(ask.name, None)
        if not answer.written:
            self.asks.pop(ask.name, None)
            world.agents.unreached(ask.name)
            return
        if not answer.status:
            self.ended_early(ask)
            world.agents.broken(ask.name)
            return
        what = Reply.SERVED if answer.status == 200 else Reply.FAILED
        if answer.status in (429, 503):
            what = Reply.REFUSED
        world.referee.answered(ask.name, now, what, answer.body.decode("latin-1"))
        wait = world.ways.client()
        done = partial(world.agents.answered, ask.name, what, answer.retry_after_ms)
        self.clock.at(now + wait, done)

    def leave(self, ask: Ask) -> None:
        """A client goes away."""
        self.clock.at(self.clock.now() + self.world.ways.client(), partial(self._gone, ask))

    def _gone(self, ask: Ask) -> None:
        call = self._calls.pop(ask.name, None)
        if call is not None and not call.over:
            call.leave()
            self.world.referee.left(ask.name, self.clock.now())
