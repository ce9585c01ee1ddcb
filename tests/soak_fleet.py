"""A soak of real proxies: faults drawn from a seed, clients that stay until the kill, one referee at the end.

What counts as told is judged by ``drain_oracle``. A request is lost if it gets no final answer, unless its
process was killed without a SIGTERM, or its connection ended at once and no backend has seen it.
"""

from __future__ import annotations

import signal
import threading
import time
from random import Random
from typing import Any, ClassVar

from tests.address_change import replace_backend
from tests.discovery_replies import REPLIES, Form
from tests.drain_fleet import GRACE_S, NOTIFIED_AFTER_END_S, SLACK_S, UIDS
from tests.drain_oracle import DrainOracle, OpenWatch, Outage, Process
from tests.loopback_servers import WAIT
from tests.proxy_process import SETTINGS, row
from tests.soak_backends import Kill, NamingBackend
from tests.soak_conditions import Conditions, SoakConditions
from tests.soak_strangers import peak_mb
from tests.soak_verdict import Life, Verdict

KILL_S = 2.7  # the longest deadline of the settings and 0.7 s after SIGTERM: the earliest kill
EVENTS_S, QUIET_S = 8.0, 8.0  # events fall into so long, and so long is judged after them
SECOND_ANSWERS_SHARE = 0.5  # of the seeds
PEERS = (5, 12, 40, 200)
MORE_BACKENDS = (0, 0, 3200)
OWNERS, LIST_DELAY_S = 4, 0.2  # of one address; how much later the list tells
DISCOVERY_STEPS = ("silence", "end_all", "end_instead", "outage", "cut", "replies")
PROCESS_STEPS = ("term", "kill", "reloads", "crowd")


class SoakStage(SoakConditions):
    """Three proxies; each is started anew after it ended."""

    settings: ClassVar[dict[str, Any]] = {
        "Classes": [
            *SETTINGS["Classes"],
            {"Name": "note", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "side_effect"},
        ],
    }

    size: ClassVar[int] = 3

    def draw_size(self, seed: int) -> None:
        """How many backends and processes there are; before ``setUp``."""
        self.rng = Random(seed)
        type(self).peers = self.rng.choice(PEERS)
        type(self).more_backends = self.rng.choice(MORE_BACKENDS)
        type(self).conditions = Conditions.draw(seed)
        type(self).limits = self.conditions.limits
        type(self).judges_early_failures = type(self).judges_second_runs = True

    def soak(self, seed: int) -> Verdict:
        """Play one seed, of the size that was drawn for it."""
        self.verdict = Verdict(
            seed, events=[f"{self.peers} peers, {self.more_backends} more backends, {self.conditions}"]
        )
        self.began = time.monotonic()
        self.lock, self.outages, self.had = threading.Lock(), list[Outage](), dict[str, float]()
        self.owners = [self.peer(NamingBackend())] if self.conditions.owners else []
        self.kills = []
        for owner in self.owners:
            self.rows.append(row("o-0", owner))
            self.shared.rows["o-0"] = self.rows[-1]
        self.lives: list[list[Life]] = [[self.life(rank)] for rank in range(self.size)]
        self.await_serving(*(lives[0].member for lives in self.lives))
        for lives in self.lives:
            self.begin(lives[0])
            lives[0].frontend.watching.get(timeout=WAIT)
        plan = [(self.rng.uniform(0.2, EVENTS_S), step) for step in self.steps()]
        if self.second_answers_at:
            plan.append((self.second_answers_at, "second_answers"))
        begin = time.monotonic()
        for at, step in sorted(plan):
            self.pass_time(begin + at)
            self.verdict.events.append(f"{at:.1f} {step}")
            getattr(self, step)()
        self.pass_time(begin + EVENTS_S + QUIET_S)
        for lives in self.lives:
            self.end(lives[-1])
        self.judge_drains()
        return self.verdict

    def steps(self) -> list[str]:
        steps = self.rng.choices(DISCOVERY_STEPS, k=self.rng.randint(1, 3))
        steps += self.rng.choices(PROCESS_STEPS, k=self.rng.randint(1, 3))
        # Drawn apart, so that a seed's other steps and their times stay as they were.
        drawn = Random(f"second answers {self.verdict.seed}")
        self.second_answers_at = drawn.uniform(0.2, EVENTS_S) * (drawn.random() < SECOND_ANSWERS_SHARE)
        owners = ["new_owner"] * OWNERS if self.conditions.owners else []
        return ["drain_one", "drain_one", *steps, *owners]

    def life(self, rank: int) -> Life:
        frontend = self.shared.frontend()
        return Life(self.spawn(f"n{rank}", frontend, rank=rank, listen="127.0.0.1:0"), frontend)

    def drain_one(self) -> None:
        uid = UIDS[len(self.had)]
        self.had[uid] = self.shared.drain(uid)

    def silence(self) -> None:
        at = self.shared.silence_watches()
        for lives in self.lives:
            lives[-1].silences.append(at)

    def new_owner(self) -> None:
        """A backend is killed, and a new one comes up at its address; the list tells of it a little later."""
        old, name = self.owners[-1], f"o-{len(self.owners)}"
        self.kills.append(kill := Kill(time.monotonic()))
        old.die()
        kill.end = time.monotonic()
        self.owners.append(self.peer(NamingBackend(old.port)))
        self.pass_time(time.monotonic() + self.rng.uniform(0.0, LIST_DELAY_S))
        replace_backend(self.shared, f"o-{len(self.owners) - 2}", row(name, self.owners[-1]))

    def end_all(self) -> None:
        self.shared.end_watches()

    def end_instead(self) -> None:
        """Discovery ends its watches instead of telling a drain; a call made at once would be told."""
        if len(self.had) == len(UIDS) - 1:
            return self.end_all()
        watched = [frontend for frontend in self.shared.frontends if frontend.watches and not frontend.script]
        with self.shared.lock:
            ended, uid = self.shared.end_watches(), UIDS[len(self.had)]
            self.drain_one()
        for frontend in watched:
            frontend.written.setdefault(uid, ended + NOTIFIED_AFTER_END_S)
        self.pass_time(ended + NOTIFIED_AFTER_END_S + 1.0)

    def outage(self) -> None:
        begin = time.monotonic()
        self.shared.go_down()
        self.pass_time(begin + self.rng.uniform(0.5, 3.0))
        self.outages.append(Outage(begin * 1000.0, self.shared.come_back() * 1000.0))

    def second_answers(self) -> None:
        """From now on some answers are followed by another one."""
        type(self).judges_early_failures = type(self).judges_second_runs = False
        for backend in self.backends.values():
            assert isinstance(backend, NamingBackend)
            backend.second_answers = True

    def cut(self) -> None:
        for lives in self.lives:
            lives[-1].frontend.form, lives[-1].frontend.cut_bytes = Form.CUT, self.rng.choice((1, 4, 9, 60))

    def replies(self) -> None:
        self.shared.script(*self.rng.choices(REPLIES, k=self.rng.randint(1, 3)))

    def term(self) -> None:
        """SIGTERM, and SIGHUP beside it; the kill at its earliest; a start."""
        rank = self.rng.randrange(self.size)
        self.end(self.lives[rank][-1])
        self.start_anew(rank)

    def kill(self) -> None:
        rank = self.rng.randrange(self.size)
        life = self.lives[rank][-1]
        self.note_memory(life)
        life.member.halt.set()
        life.member.process.kill()
        life.member.process.wait(WAIT)
        self.start_anew(rank)

    def reloads(self) -> None:
        for lives in self.lives:
            for _ in range(self.rng.randint(1, 4)):
                lives[-1].member.process.send_signal(signal.SIGHUP)

    def crowd(self) -> None:
        """Idle clients; some write part of a head and stay."""
        self.fill(self.rng.choice(self.lives)[-1])

    def end(self, life: Life) -> None:
        """SIGTERM; clients go on with what is open, and the kill comes as early as it may."""
        self.note_memory(life)
        process, life.termed_at = life.member.process, time.monotonic()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
        try:
            process.wait(KILL_S)
        except Exception:
            self.verdict.survived.append(life.member.name)
            process.kill()
            process.wait(WAIT)
        if process.returncode:
            self.verdict.survived.append(f"{life.member.name} ended with {process.returncode}")
        life.member.halt.set()

    def start_anew(self, rank: int) -> None:
        """With the list of the soak's beginning: older than what its former life was told."""
        life = self.life(rank)
        self.lives[rank].append(life)
        self.await_serving(life.member)
        self.begin(life)

    def begin(self, life: Life) -> None:
        """Begin the load and the conditions of a process."""
        self.clients(life)
        self.hold_up(life)
        if self.conditions.strange:
            self.strangers(life)

    def note_memory(self, life: Life) -> None:
        """Judge the memory of a process before it ends."""
        used, limit = peak_mb(life.member.process.pid), self.conditions.limits["memory_mb"]
        if used > limit:
            self.verdict.memory.append(f"{life.member.name} {used:.0f} of {limit} MB")

    def judge_drains(self) -> None:
        """Every first byte at a backend that drains, against when that counts as told to its process."""
        for lives in self.lives:
            oracle = DrainOracle(tuple(self.outages))
            for uid, at in self.had.items():
                oracle.had(uid, at * 1000.0)
            processes = [self._process(oracle, life) for life in lives]
            for life, process in zip(lives, processes, strict=True):
                self._judge(oracle, life, process)

    def _process(self, oracle: DrainOracle, life: Life) -> Process:
        process = oracle.started(life.member.serving_at * 1000.0, frozenset())
        for uid, at in life.frontend.written.items():
            process.written[uid] = at * 1000.0
        opened = sorted(life.frontend.opened)
        for at in life.silences:
            before = [one for one in opened if one <= at]
            after = [one for one in opened if one > at]
            if before:
                closed = after[0] * 1000.0 if after else float("inf")
                process.watches.append(OpenWatch(before[-1] * 1000.0, at * 1000.0, closed))
        return process

    def _judge(self, oracle: DrainOracle, life: Life, process: Process) -> None:
        ending = f"-{life.frontend.port}"
        for uid in self.had:
            told = oracle.notified_at(process, uid) / 1000.0
            for receipt in list(self.backends[uid].receipts):
                late = receipt.at - told - GRACE_S - SLACK_S
                if receipt.trace.endswith(ending) and late > 0.0:
                    at, told_at = receipt.at - self.began, told - self.began
                    how = f"at {at:.2f}, {late * 1000:.0f} ms late, told {told_at:.2f}"
                    self.verdict.late.append(f"{life.member.name} sent to {uid} {how}")
