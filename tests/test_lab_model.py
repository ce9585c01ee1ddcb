"""The lab's model against theory, its referee against planted sins, its repeatability."""

from __future__ import annotations

import math
import os
import subprocess
import sys
import unittest
from collections.abc import Callable
from random import Random
from typing import Any

import numpy as np

from lupinlink import interface as api
from lupinlink.brain import Balancer
from lupinlink.interface import Effect, Status
from lupinlink.lab import library
from lupinlink.lab.model.arrivals import draw
from lupinlink.lab.model.clock import VirtualClock
from lupinlink.lab.model.referee import Try
from lupinlink.lab.model.roster import Roster
from lupinlink.lab.model.servers import Ending, Job, Machine, Server
from lupinlink.lab.model.streams import Streams
from lupinlink.lab.virtual import VirtualDrive
from lupinlink.net.proxy import Proxy
from tests.proxy_process import ROOT


def erlang_b(load: float, places: int) -> float:
    """The share lost of M/M/c/c."""
    share = 1.0
    for k in range(1, places + 1):
        share = load * share / (k + load * share)
    return share


def erlang_c(load: float, cores: int) -> float:
    """The share that waits in M/M/c."""
    lost = erlang_b(load, cores)
    return lost / (1.0 - load / cores * (1.0 - lost))


class Theory(unittest.TestCase):
    """Open arrivals at one server; mean work is one millisecond."""

    def played(self, machine: Machine, rate: float, work: np.ndarray, seed: int = 5) -> tuple[float, float]:
        """Mean time in the server and the share turned away; the first tenth is left out."""
        clock, streams = VirtualClock(0.0), Streams(seed)
        server = Server("s", machine, clock, streams.draws("server"), 0.0, warm=True)
        gaps = streams.generator("gaps").exponential(1.0 / rate, len(work))
        spent, lost, count = [], 0, len(work)

        def arrive(i: int) -> None:
            now = clock.now()

            def ended(how: Ending, report: dict[str, float]) -> None:
                nonlocal lost
                if i >= count // 10:
                    if how is Ending.SERVED:
                        spent.append(clock.now() - now)
                    else:
                        lost += 1

            server.offer(Job(float(work[i]), 0.0, -1, math.inf, ended))
            if i + 1 < count:
                clock.at(now + float(gaps[i + 1]), lambda: arrive(i + 1))

        clock.at(0.0, lambda: arrive(0))
        clock.run(math.inf)
        return float(np.mean(spent)), lost / (lost + len(spent))

    def near(self, got: float, theory: float) -> None:
        self.assertLess(abs(got / theory - 1.0), 0.02, f"{got} against {theory}")

    def test_mm1_and_mg1_under_processor_sharing(self) -> None:
        machine = Machine(cores=1, slots=100_000, room=0)
        generator, count, load = Streams(11).generator("work"), 300_000, 0.6
        variance = math.log1p(1.5**2)
        for work in (
            generator.exponential(1.0, count),
            np.ones(count),
            generator.lognormal(-variance / 2.0, math.sqrt(variance), count),
        ):
            self.near(
                self.played(machine, load / float(work.mean()), work)[0], float(work.mean()) / (1.0 - load)
            )

    def test_mmc_by_erlang_c(self) -> None:
        cores, load = 4, 2.8
        work = Streams(12).generator("work").exponential(1.0, 300_000)
        theory = 1.0 + erlang_c(load, cores) / (cores - load)
        self.near(self.played(Machine(cores=cores, slots=100_000, room=0), load, work)[0], theory)

    def test_mmck_loss(self) -> None:
        cores, places, load = 3, 8, 2.9
        terms = [load**k / math.factorial(k) for k in range(cores + 1)]
        terms += [terms[cores] * (load / cores) ** k for k in range(1, places - cores + 1)]
        work = Streams(13).generator("work").exponential(1.0, 400_000)
        lost = self.played(Machine(cores=cores, slots=5, room=3), load, work)[1]
        self.near(lost, terms[-1] / sum(terms))


class ServerParts(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock(1000.0)
        self.ends: list[tuple[float, Ending]] = []

    def server(self, warm: bool = True, **figures: Any) -> Server:
        self.falls: list[Any] = []
        machine = Machine(**{"cores": 1, **figures})
        draws = Streams(1).draws("server")
        return Server("s", machine, self.clock, draws, 1000.0, warm, self.falls.append)

    def job(self, work: float, wait: float = 0.0, key: int = -1, expires: float = math.inf) -> Job:
        return Job(work, wait, key, expires, lambda how, report: self.ends.append((self.clock.now(), how)))

    def ended(self) -> list[tuple[float, str]]:
        self.clock.run(math.inf)
        return [(round(at - 1000.0, 3), how.value) for at, how in self.ends]

    def test_cores_are_shared_and_waits_hold_a_slot_but_no_core(self) -> None:
        server = self.server(slots=2, room=1)
        for job in (self.job(10.0, wait=30.0), self.job(10.0), self.job(5.0), self.job(1.0)):
            server.offer(job)
        # The fourth finds no room; the third waits until a slot is free at 20 and has the core to itself.
        self.assertEqual(self.ended(), [(0.0, "full"), (20.0, "served"), (25.0, "served"), (50.0, "served")])

    def test_a_known_key_costs_less_until_it_is_forgotten(self) -> None:
        server = self.server(key_gain=0.5, key_ms=100.0, key_count=1)
        for at, key in ((0.0, 1), (20.0, 1), (40.0, 2), (60.0, 1), (200.0, 1)):
            self.clock.at(1000.0 + at, lambda key=key: server.offer(self.job(10.0, key=key)))  # type: ignore[misc]
        took = [
            round(at - start, 3) for (at, _), start in zip(self.ended(), (0, 20, 40, 60, 200), strict=True)
        ]
        self.assertEqual(took, [10.0, 5.0, 10.0, 10.0, 10.0])

    def test_what_waits_is_dropped_on_a_cancel_or_when_overdue_and_what_runs_goes_on(self) -> None:
        server = self.server(slots=1, room=9, drops_cancelled=True, drops_overdue=True)
        running, waiting = self.job(10.0), self.job(10.0)
        for job in (running, waiting, self.job(10.0, expires=1005.0), self.job(1.0)):
            server.offer(job)
        server.cancel(running)
        server.cancel(waiting)
        self.assertEqual(self.ended(), [(10.0, "overdue"), (11.0, "served")])
        self.assertEqual(server.account.work_ms, 11.0)

    def test_a_cold_server_is_slow_warms_up_and_falls_when_pushed(self) -> None:
        server = self.server(warm=False, cold_share=0.25, cold_ms=1000.0, fall_multiple=3.0, fall_ms=200.0)
        server.offer(self.job(25.0))
        at = self.ended()[0][0]
        self.assertTrue(80.0 < at < 100.0, at)  # a quarter of its speed at first, and rising
        self.clock.run(3000.0)
        server.offer(self.job(25.0))
        self.assertEqual(self.ended()[-1][0], 2025.0)
        self.setUp()
        server = self.server(warm=False, cold_share=0.25, cold_ms=1000.0, fall_multiple=3.0, fall_ms=200.0)
        for i in range(16):  # the budget at the start is 3 x 0.25 x 200 = 150 ms of work
            self.assertEqual(bool(self.falls), i > 15)
            server.offer(self.job(10.0))
        self.assertTrue(self.falls and server.fallen)
        self.assertEqual([how for _, how in self.ends], [])

    def test_a_hanging_server_says_nothing_and_goes_on_where_it_stopped(self) -> None:
        server = self.server()
        server.offer(self.job(10.0))
        self.clock.at(1004.0, lambda: server.hang(True))
        self.clock.at(1504.0, lambda: server.hang(False))
        self.assertEqual(self.ended(), [(510.0, "served")])


class DrawnAhead(unittest.TestCase):
    def drawn(self, **sets: Any) -> Any:
        return draw(library.load("calm", {"seconds": 200.0, **sets}).scenario, Streams(2))

    def spread(self, arrivals: Any) -> float:
        """Variance over mean of the counts of half seconds: 1 for a Poisson process."""
        counts = np.histogram(arrivals.at, bins=400, range=(0.0, 200_000.0))[0]
        return float(counts.var() / counts.mean())

    def test_bursts_raise_the_variance_and_keep_the_mean(self) -> None:
        even, bursty = self.drawn(), self.drawn(**{"load.shape": "bursty"})
        self.assertTrue(0.8 < self.spread(even) < 1.2)
        self.assertGreater(self.spread(bursty), 5.0)
        self.assertLess(abs(len(bursty) / len(even) - 1.0), 0.1)

    def test_one_members_surge_leaves_the_others_as_they_were(self) -> None:
        surge = {
            "jump": {"kind": "member_surge", "member": "north", "at_s": 50.0, "for_s": 50.0, "size": 4.0}
        }
        calm, jump = self.drawn(), self.drawn(faults=surge)
        for member in (1, 2):
            self.assertEqual(calm.at[calm.member == member].tolist(), jump.at[jump.member == member].tolist())
        inside = (jump.at >= 50_000.0) & (jump.at < 100_000.0)
        north = jump.member == 0
        self.assertLess(abs((inside & north).sum() / ((calm.member == 0).sum() / 4.0) - 4.0), 0.3)
        # Its quota is 150 a second and it sends 480: what lies beyond is worth less.
        self.assertLess(abs(jump.over_quota[inside & north].mean() - (1.0 - 150.0 / 480.0)), 0.05)
        self.assertEqual(jump.over_quota[~north].sum(), 0)

    def test_keys_follow_zipf_and_work_its_mean(self) -> None:
        arrivals = self.drawn()
        counts = np.bincount(arrivals.key, minlength=1500)
        self.assertLess(
            abs(counts[0] / counts[:10].sum() / (1.0 / sum(k**-0.8 for k in range(1, 11))) - 1.0), 0.1
        )
        for index, mean in enumerate((55.0, 42.0, 27.0, 38.0)):
            self.assertLess(abs(arrivals.work[arrivals.class_index == index].mean() / mean - 1.0), 0.05)


class RosterRules(unittest.TestCase):
    def test_who_neither_watches_nor_asks_counts_as_told(self) -> None:
        clock = VirtualClock(1000.0)
        spec = library.load("calm").scenario.roster
        roster = Roster(spec, clock, Streams(1).draws("roster"), 10_000.0)
        told: list[tuple[float, int]] = []
        heard: list[int] = []
        roster.deemed.append(lambda proxy, row: told.append((clock.now(), proxy)))
        roster.start([api.Endpoint("s")])
        for proxy in range(3):
            roster.hear(proxy, lambda kind, rows, proxy=proxy: heard.append(proxy))  # type: ignore[misc]
        roster.watch(0)  # watches; 1 never asks; 2 asks once while the roster is away
        clock.run(2000.0)
        roster.go_down(True)
        roster.go_down(False)
        roster.watch(0)
        clock.run(3000.0)
        roster.down = True
        roster.watch(2)
        roster.notice(api.Endpoint("s", state=api.EndpointState.DRAINING), 0.0)
        roster.down = False
        clock.run(100_000.0)
        self.assertEqual(told, [(13_000.0, 1), (43_000.0, 1), (43_000.0, 2)])
        self.assertIn(0, heard)


class Sinner(Balancer):
    """A module that sins in one way, every so often."""

    sin = ""
    count = 0

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        if isinstance(event, api.Arrival):
            Sinner.count += 1
            nth = Sinner.count % 50 == 0
            send = next((a for a in actions if isinstance(a, api.Send)), None)
            if self.sin == "copy" and nth and send is not None:
                other = next(n for n, s in self.servers.items() if n != send.endpoint and s.ready)
                actions.append(api.Send(send.request_id, other, send.timeout_ms))
            if self.sin in ("drained", "cold") and send is not None:
                draining = self.sin == "drained"
                others = [
                    s
                    for s in self.servers.values()
                    if (
                        s.endpoint.state == api.EndpointState.DRAINING
                        if draining
                        else s.endpoint.started_ms > now - 3e3
                    )
                ]
                if others:
                    send.endpoint = others[0].endpoint.name
            if self.sin == "lose" and Sinner.count % 1000 == 500:
                return [a for a in actions if isinstance(a, api.SetTimer)]
        return actions

    def may_take(self, request: api.Request, server: api.Server, now: float) -> bool:
        if self.sin == "repeat" and request.cls.effect != Effect.SAFE:
            return server.ready and all(a.server is not server for a in request.attempts)
        return super().may_take(request, server, now)

    def finish(self, request: api.Request, cause: api.RefusalCause | None) -> None:
        request.attempts = [] if self.sin == "refuse" else request.attempts  # forgets what may have run
        super().finish(request, cause)


class SinfulProxy(Proxy):
    """A proxy whose module sins, or that sins itself."""

    def __init__(self, settings: Any, seed: int, *rest: Any) -> None:
        super().__init__(settings, seed, *rest)
        self._module = Sinner(settings, Random(seed))

    def _attempt_ended(self, end: Any, handle: int, *rest: Any) -> None:
        taken = self._requests.get(handle)
        side = taken.responder if taken is not None else None
        super()._attempt_ended(end, handle, *rest)
        if Sinner.sin == "twice" and side is not None and end.status is Status.OK and handle % 50 == 0:
            side.served(end.reply)

    def end(self, handle: int, why: Any) -> None:
        if Sinner.sin != "lose":
            super().end(handle, why)


class Sins(unittest.TestCase):
    """Each planted sin is named; the same days without it are clean."""

    def played(self, sin: str, name: str, **sets: Any) -> VirtualDrive:
        Sinner.sin, Sinner.count = sin, 0
        loaded = library.load(name, {"seconds": 12.0, "load.rate": 120.0, **sets})
        drive = VirtualDrive(loaded.scenario, 3, make_proxy=SinfulProxy)
        drive.run()
        return drive

    def broken(self, sin: str, name: str, rule: int, words: str, **sets: Any) -> None:
        for planted in ("", sin):
            with self.subTest(sin=planted, scenario=name):
                referee = self.played(planted, name, **sets).world.referee
                if planted:
                    self.assertGreater(referee.counts[rule], 0)
                    self.assertTrue(any(words in b.what for b in referee.broken), referee.broken[:3])
                else:
                    self.assertEqual(referee.counts, [0, 0, 0, 0, 0], referee.broken[:2])

    def test_a_second_answer(self) -> None:
        self.broken("twice", "calm", 1, "second final answer")

    def test_a_request_lost_in_a_thousand(self) -> None:
        self.broken("lose", "calm", 1, "no answer in time")

    def test_two_attempts_out_at_once(self) -> None:
        self.broken("copy", "calm", 2, "while one is out")

    def test_a_repeat_outside_its_group(self) -> None:
        self.broken(
            "repeat", "resets", 2, "repeated", **{"faults.breaks.at_s": 2.0, "faults.breaks.count": 8}
        )

    def test_a_refusal_of_what_may_have_run(self) -> None:
        self.broken("refuse", "resets", 2, "refused although", **{"faults.breaks.at_s": 2.0,
                    "faults.breaks.count": 8, "faults.breaks.share": 0.4})  # fmt: skip

    def test_sends_to_what_drains(self) -> None:
        self.broken("drained", "shrink", 3, "after it was told off", **{"faults.fewer.at_s": 1.0,
                    "faults.fewer.for_s": 3.0})  # fmt: skip

    def test_a_cold_server_pushed_over(self) -> None:
        self.broken("cold", "grow", 4, "fell over while cold", **{"faults.more.at_s": 2.0, "seconds": 20.0})


PRINT = """
from lupinlink.lab import library
from lupinlink.lab.virtual import VirtualDrive
from lupinlink.lab.results import record
from hashlib import sha256
seen = sha256()
drive = VirtualDrive(library.load("worst-three", {"seconds": 12.0}).scenario, 7,
                     lambda t: seen.update(repr(record(t, 0.0)).encode()))
drive.run()
print(seen.hexdigest(), drive.clock.made, drive.world.referee.service())
"""


class Repeatable(unittest.TestCase):
    def test_the_same_seed_gives_the_same_run_in_other_processes(self) -> None:
        def played(hashes: str) -> str:
            env = {**os.environ, "PYTHONHASHSEED": hashes}
            done = subprocess.run(
                [sys.executable, "-c", PRINT], cwd=ROOT, env=env, capture_output=True, text=True
            )
            self.assertEqual(done.returncode, 0, done.stderr)
            return done.stdout

        first = played("1")
        self.assertGreater(len(first), 100)
        self.assertEqual(first, played("4242"))

    def test_streams_do_not_shift_each_other(self) -> None:
        one, other = Streams(9), Streams(9)
        other.generator("another").random(5)
        self.assertEqual(one.generator("a").random(4).tolist(), other.generator("a").random(4).tolist())
        self.assertNotEqual(one.generator("a").random(), one.generator("b").random())

    def test_memory_stays_with_the_open_work(self) -> None:
        ended: list[Try] = []
        drive = VirtualDrive(library.load("calm", {"seconds": 10.0}).scenario, 1, ended.append)
        world = drive.run()
        self.assertEqual(len(ended), world.referee.tally.tries)
        tables: list[Callable[[], int]] = [lambda: world.referee.open, lambda: len(drive.asks),
                                           lambda: len(drive._agents), lambda: len(world.agents.open),
                                           lambda: sum(len(s.out) for s in drive.sides)]  # fmt: skip
        self.assertEqual([table() for table in tables], [0, 0, 0, 0, 0])
