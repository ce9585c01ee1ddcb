"""The fleet rig's parts by themselves: addresses, cuts, what several processes saw, windows."""

from __future__ import annotations

import asyncio
import errno
import socket
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lupinlink.lab import library
from lupinlink.lab.callers import Answer, Call, Pool
from lupinlink.lab.fleet import addresses, gate
from lupinlink.lab.fleet.backends import Backends
from lupinlink.lab.fleet.gate import FleetError, Hush
from lupinlink.lab.fleet.processes import room
from lupinlink.lab.loop import LoopClock
from lupinlink.lab.model import windows
from lupinlink.lab.model.clock import VirtualClock
from lupinlink.lab.model.fault_kinds import ORDERS, Fault
from lupinlink.lab.model.outage import returns
from lupinlink.lab.model.referee import End, Referee, Reply, Sums, Try
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.streams import Streams
from lupinlink.lab.model.windows import FleetSecond, ServerSecond
from lupinlink.lab.model.witnesses import Hearing, Witness
from lupinlink.lab.model.world import World
from tests.proxy_process import WAIT

SILENT_S = 0.3  # a connect that has not come up by then on loopback is dropped


def small(**sets: Any) -> Scenario:
    return library.load("fleet-small", sets).scenario


class Parts(unittest.TestCase):
    @given(st.integers(0, addresses.MOST_ZONES - 1), st.integers(0, addresses.MOST_PROXIES - 1))
    def test_an_address_tells_whose_it_is(self, zone: int, proxy: int) -> None:
        mine = {addresses.listens(zone, proxy), addresses.finds(zone, proxy)}
        self.assertEqual({addresses.whose(address) for address in mine}, {proxy})
        self.assertEqual(len(mine), 2)
        for address in mine:
            socket.inet_aton(address)

    def comes_up(self, address: str, port: int) -> bool:
        try:
            socket.create_connection((address, port), SILENT_S).close()
        except TimeoutError:
            return False
        return True

    def test_a_cut_is_silent_towards_one_zone_only(self) -> None:
        listener, hush = gate.claim(gate.FIRST_PORT), Hush()
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        here, there = addresses.finds(0, 3), addresses.finds(1, 3)
        hush.cut([1], True)
        hush.cut([1], True)  # two cuts that overlap
        hush.apply(listener)
        self.assertEqual([self.comes_up(a, port) for a in (here, there)], [True, False])
        hush.cut([1], False)
        hush.whole = True
        hush.apply(listener)
        self.assertEqual([self.comes_up(a, port) for a in (here, there)], [False, False])
        hush.whole = False
        hush.cut([1], False)
        hush.apply(listener)
        self.assertEqual([self.comes_up(a, port) for a in (here, there)], [True, True])

    def test_what_runs_out_is_said_in_one_line(self) -> None:
        end = int(gate.RANGE.read_text().split()[0])
        taken = [gate.claim(end - 1 - i, end - 1 - i) for i in range(2)]
        for sock in taken:
            self.addCleanup(sock.close)
        with self.assertRaisesRegex(FleetError, "^no port from .* is free on loopback$"):
            gate.claim(end - 2, end - 2)
        with self.assertRaisesRegex(FleetError, "^200 proxies of 30 MB .* need 6120 MB; 4000 MB are free$"):
            room(200, 30.0, 120.0, lambda: "MemTotal: 9 kB\nMemAvailable: 4096000 kB\n")

    def test_a_machine_without_descriptors_is_told_from_a_proxy_that_refuses(self) -> None:
        lacks: list[OSError] = []
        answers: list[Answer] = []

        async def dial(exc: OSError) -> None:
            loop = asyncio.get_running_loop()

            async def create_connection(*_: Any) -> Any:
                raise exc

            loop.create_connection = create_connection  # type: ignore[method-assign,assignment]
            pool = Pool(loop, "127.0.0.1", 9, 1, lacking=lacks.append)
            pool.send(Call("a", b"", answers.append))
            while not answers:
                await asyncio.sleep(0)

        for code in (errno.ECONNREFUSED, errno.EMFILE):
            answers.clear()
            asyncio.run(dial(OSError(code, "")))
        self.assertEqual([exc.errno for exc in lacks], [errno.EMFILE])

    def test_half_a_request_on_a_dead_proxys_connection_is_no_attempt(self) -> None:
        async def play() -> tuple[list[str], int]:
            loop = asyncio.get_running_loop()
            scenario = small()
            clock = LoopClock(loop)
            witness = Witness(scenario, clock)
            world = World(scenario, 1, clock, lambda _: None, lambda _: None, referee=witness, zone=-1)
            found: dict[str, int] = {}
            backends = Backends(world, loop, 0, 1, gate.FIRST_PORT, found.__setitem__)
            reader, writer = await asyncio.open_connection(addresses.finds(0, 2), found["s-0000"])
            whole = b"GET /status/7?work=1&wait=0 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: t1\r\n\r\n"
            writer.write(whole)
            await reader.readuntil(b"t1")
            writer.write(whole[:-2])
            writer.transport.abort()  # as the kernel does for a process that was killed
            server = world.farm.places["s-0000"].server
            while server.ports.open:
                await asyncio.sleep(0.01)
            backends.close()
            clock.stop()
            return [report[1] for report in witness.take()], server.held

        told, held = asyncio.run(asyncio.wait_for(play(), WAIT))
        self.assertEqual((told.count("sent"), told.count("shook"), held), (1, 1, 0))

    def test_a_hearing_puts_in_order_what_two_processes_saw(self) -> None:
        clock, scenario = VirtualClock(), small()
        judge = Referee(scenario, slack_ms=50.0)
        hearing = Hearing(judge, 2)
        agents, servers = Witness(scenario, clock), Witness(scenario, clock)
        agents.asked(Try("t", 1, 0, 0, 0, 0, 1000.0, 3000.0))
        number = servers.sent("t", "s-0000", 0, 0, 1010.0, False)
        servers.arrived("t", number, 1011.0)
        servers.ended("t", number, 1100.0, End.SERVED)
        agents.answered("t", 1101.0, Reply.SERVED, "t")
        hearing.put(0, 5000.0, agents.take())
        hearing.put(1, 1005.0, [])  # this one stands still: it may have seen what came before the answer
        hearing.tell(hearing.known)
        self.assertEqual((judge.tally.served, judge.counts), (0, [0] * 5))
        hearing.put(1, 5000.0, servers.take())
        hearing.tell(hearing.known)
        self.assertEqual((judge.tally.served, judge.open, judge.counts), (1, 0, [0] * 5))

    def test_an_end_without_an_answer_is_lost_unless_its_proxy_was_killed(self) -> None:
        judge = Referee(small())
        for proxy in (0, 1):
            judge.asked(Try(f"t{proxy}", proxy, 0, proxy, 0, 0, 1000.0, 3000.0))
        judge.proxy_died(1)
        judge.asked(Try("t2", 2, 0, 1, 0, 0, 1010.0, 3000.0))  # written before anybody saw the death
        for name in ("t0", "t1", "t2"):
            judge.broken_off(name, 1020.0)
        self.assertEqual([broken.request for broken in judge.broken], ["t0"])

    @given(st.integers(0, 2**32), st.sampled_from([*ORDERS, "drawn"]))
    def test_a_return_follows_from_its_seed_and_keeps_its_order(self, seed: int, order: Any) -> None:
        fault = Fault(kind="power_loss", at_s=1.0, for_s=3.0, order=order, lag_s=10.0, share=0.5)
        names = [f"s-{i}" for i in range(10)]
        plan, again = (returns("dark", fault, Streams(seed), 8, names) for _ in range(2))
        self.assertEqual(plan, again)
        self.assertTrue(all(3000.0 <= at <= 4000.0 for at in plan.servers.values()))
        self.assertEqual(plan.order, order if order != "drawn" else plan.order)
        late = {"half_first": 4, "servers_first": 8}
        self.assertEqual(sum(at >= 13000.0 for at in plan.proxies), late.get(plan.order, 0))
        self.assertEqual(plan.discovery >= 13000.0, plan.order in ("discovery_last", "servers_first"))
        self.assertEqual(len(plan.replaced), 5)

    def test_windows_say_how_even_and_how_soon_back(self) -> None:
        def row(held: float, busy: float, ready: bool = True) -> ServerSecond:
            return ServerSecond(held, busy, 4, 2, 1, 5, ready)

        seconds = [FleetSecond(0, {"a": row(3.0, 0.6), "b": row(1.0, 0.2), "c": row(0.0, 0.0),
                                   "d": row(0.0, 0.0, ready=False)}, calls=7)]  # fmt: skip
        even = windows.spread(seconds)
        self.assertAlmostEqual(even["max_over_mean_p99"], 3.0 / (4.0 / 3.0), 3)
        self.assertAlmostEqual(even["idle_share"], 1.0 / 3.0, 5)
        self.assertEqual(windows.costs(seconds, 2)["new_connections_per_s"], 8.0)
        good, bad = Sums(firsts=100, in_time=95), Sums(firsts=100, in_time=94)
        by_second = {10: bad, 11: good, 12: bad, 13: good, 15: good, 16: good}  # nobody asks in second 14
        self.assertEqual(windows.back(by_second, 10, 20), 3.0)
        self.assertIsNone(windows.back(by_second, 10, 15))
