"""What the referee says of a fleet's agreement, from what stands outside it saw."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lupinlink.lab.model.agreed import Bound, Outs, Owners, calls_a_second
from lupinlink.lab.model.agreed_quota import QuotaSeen, over, spans
from lupinlink.lab.model.agreed_servers import server_outs
from lupinlink.lab.model.agreement import Quota
from lupinlink.lab.model.referee import Reply, Try
from lupinlink.lab.model.windows import FleetSecond, ServerSecond

ZONES = {i: i % 2 for i in range(10)}
WIDE = Bound(share=0.2, zone_share=0.4)


def outs(bound: Bound = WIDE, notice_ms: float = 1000.0) -> Outs:
    return Outs(ZONES, bound, notice_ms)


class TestOuts(unittest.TestCase):
    def test_only_certain_time_out_counts(self) -> None:
        seen = outs()
        seen.out(0, 100.0, True)
        seen.back(0, 400.0)  # last found out then; the look that found it in came later
        seen.out(1, 500.0, True)
        self.assertEqual(seen.sums("p")["p_out_most"], 1)
        seen.out(2, 600.0, True)
        seen.out(2, 650.0, True)  # it is out already
        found = seen.sums("p")
        self.assertEqual((found["p_out_most"], found["p_out_allowed"], found["p_chosen"]), (2, 2, 3))

    def test_the_hurt_count_once_the_fleet_must_have_noticed(self) -> None:
        seen = outs()
        for name in (4, 5, 6):
            seen.out(name, 0.0, False)
        self.assertEqual(seen.sums("p")["p_out_most"], 0)  # nobody chose to go
        seen.out(0, 900.0, True)
        self.assertEqual(seen.sums("p")["p_out_most"], 1)
        seen.out(1, 1100.0, True)
        self.assertEqual(seen.sums("p")["p_out_most"], 5)

    def test_a_zone_has_a_bound_of_its_own(self) -> None:
        seen = outs(Bound(share=1.0, zone_number=1))
        seen.out(0, 0.0, True)
        seen.out(1, 0.0, True)
        self.assertEqual(seen.sums("p")["p_out_zone_over"], 0)
        seen.out(2, 10.0, True)
        self.assertEqual(seen.sums("p")["p_out_zone_over"], 1)

    @given(st.integers(1, 300), st.floats(0.0, 1.0), st.none() | st.integers(1, 20))
    def test_the_least_bound_holds_and_one_is_always_allowed(
        self, members: int, share: float, number: int | None
    ) -> None:
        allowed = Bound.of({"share": share, "number": number, "bears": 0.7}).allowed(members)
        self.assertGreaterEqual(allowed, 1)
        self.assertLessEqual(allowed, max(1.0, share * members + 1e-6))
        if number is not None:
            self.assertLessEqual(allowed, number)


class TestServers(unittest.TestCase):
    def test_a_server_that_nobody_uses_while_the_others_are_busy_is_out_by_choice(self) -> None:
        def second(at: int) -> FleetSecond:
            row = {name: ServerSecond(1.0, 0.5, 4, 0, 0, 10, True) for name in "abcde"}
            if 2 <= at < 7:
                row["a"] = ServerSecond(0.0, 0.0, 4, 0, 0, 0, True)
            if at in (7, 8):
                row["a"] = ServerSecond(0.0, 0.0, 0, 0, 0, 0, False)  # started anew
            if at >= 3:
                row["b"] = ServerSecond(0.0, 0.0, 0, 0, 0, 0, False)
            if at == 5:
                row["c"] = ServerSecond(0.0, 0.0, 4, 0, 0, 0, True)  # by chance
            return FleetSecond(at, row)

        zones = dict.fromkeys("abcde", 0)
        seconds = [second(at) for at in range(10)]
        found = server_outs(seconds, zones, Bound(share=0.2), 0.0, 4, 5.0).sums("s")
        self.assertEqual((found["s_chosen"], found["s_out_most"], found["s_out_allowed"]), (1, 1, 1))
        hurt_first = server_outs(seconds[3:], zones, Bound(share=0.2), 0.0, 4, 5.0).sums("s")
        self.assertEqual(hurt_first["s_out_most"], 2)


class TestOwners(unittest.TestCase):
    def moved(self) -> Owners:
        owners = Owners({0: "old", 1: "old", 2: "new", 3: "new"}, 1000.0)
        for proxy in (0, 1):
            owners.up(proxy, 0.0, True)
        owners.ordered(5000.0)
        owners.up(2, 6000.0, True)
        owners.up(0, 7000.0, False)
        owners.up(1, 7000.0, False)
        return owners

    def test_a_move_settles_once_the_other_pool_serves_alone(self) -> None:
        owners = self.moved()
        owners.look(7500.0)
        self.assertEqual((owners.settled, owners.two_owners), (0, 0))
        owners.look(8000.0)
        owners.up(3, 8500.0, True)
        self.assertEqual((owners.settled, owners.two_owners, owners.owner), (1, 0, "new"))

    def test_the_older_owner_may_serve_no_more(self) -> None:
        owners = self.moved()
        owners.up(1, 9000.0, True)  # it stood still and goes on as if nothing had been
        self.assertEqual((owners.settled, owners.two_owners), (1, 1))
        owners.up(1, 9100.0, False)
        owners.ordered(9200.0)  # an operator sends it back
        owners.up(1, 9300.0, True)
        self.assertEqual(owners.two_owners, 1)


class TestQuota(unittest.TestCase):
    @given(
        st.lists(st.floats(0.0, 5000.0), max_size=12), st.floats(0.5, 20.0), st.floats(0.0, 5.0)
    )  # fmt: skip
    def test_the_worst_of_all_windows(self, times: list[float], rate: float, burst: float) -> None:
        worst = max(
            (
                sum(first <= at <= last for at in times) - rate * (last - first) / 1000.0 - burst
                for first in times for last in times if first <= last
            ), default=0.0,
        )  # fmt: skip
        self.assertAlmostEqual(over(times, rate, burst, 0.0), max(0.0, worst), 6)

    def test_what_was_refused_is_asked_for_and_not_let_on(self) -> None:
        seen = QuotaSeen(Quota(rate_per_s=2.0, burst=0.0, of_class="b"), ["a", "b"], ["all"], 0.0)
        for number in range(8):
            one = Try(f"t{number}", number, 0, 0, 1, 0, 1000.0 + 250.0 * number, 9000.0)
            one.answers.append((one.at, Reply.SERVED if number % 2 else Reply.REFUSED, ""))
            seen.take(one)
        seen.take(Try("other", 9, 0, 0, 0, 0, 1000.0, 9000.0))
        self.assertEqual(seen.used(1000.0, [(0.0, 2.0)]), (4.0, 4.0))
        self.assertEqual(seen.over, 1.0)  # one at once, with no burst at all
        self.assertEqual(spans(5.0, 30.0, [2.0, 10.0, 12.0], 3.0), [(5.0, 10.0), (15.0, 30.0)])


class TestCalls(unittest.TestCase):
    def test_calls_are_spread_over_all_processes(self) -> None:
        found = calls_a_second([("a", 10), ("b", 20), ("a", 10)], 4, 10.0)
        self.assertEqual(found, {"calls_a_process_s": 1.0, "calls_a_process_s_most": 2.0})
