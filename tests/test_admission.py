"""Admission against numbers worked by hand, and the shedding order."""

from __future__ import annotations

from random import Random

import pytest

from lupinlink.brain.admission import (
    BASE_TARGET_DELAY,
    INITIAL_SERVICE_TIME,
    INITIAL_THETA,
    LATE_VALUE_TARGET_DELAY,
    MAX_RECOVERY_FACTOR,
    MIN_ADMIT_PROBABILITY,
    MIN_SHARE_OF_THROUGHPUT,
    Admission,
    SheddingOrder,
)
from lupinlink.interface import (
    AdmissionPeriod,
    Arrival,
    Effect,
    LatencyStats,
    RequestClass,
    Settings,
    Status,
    Tenant,
)
from tests.helpers import SAFE, NodeHarness, sends

D_REF = BASE_TARGET_DELAY + LATE_VALUE_TARGET_DELAY * 0.5


def test_no_refusal_below_target() -> None:
    loop = Admission(4, 0.5)
    for _ in range(5):
        loop.revise(50.0, D_REF - 0.05, 10)
    assert loop.admit_probability == 1.0 and not loop.refusing


def test_first_overloaded_period_by_hand() -> None:
    loop = Admission(2, 0.5)
    # x = 0.35, d = 1.4: the model's utilisation is 1 - 0.35/1.4 = 0.75 at 20*2/10 = 4 a server and second,
    # so E[X] = 0.75/4 = 0.1875 s and Pa^m = (D - x) / (4 * 0.1875 * D); dPa = -0.8 * (1.4 - D) / 2.
    loop.revise(20.0, 1.4, 10)
    assert loop.service_demand_s == pytest.approx(0.1875)
    model = (D_REF - INITIAL_SERVICE_TIME) / (4 * 0.1875 * D_REF)
    correction = -INITIAL_THETA[0] * (1.4 - D_REF) / INITIAL_THETA[1]
    assert loop.admit_probability == pytest.approx(model + correction)
    assert loop.refusing and loop.correction == pytest.approx(correction)


def test_rls_step_by_hand() -> None:
    loop = Admission(1, 0.5)
    loop.error, loop.correction = 1.0, 0.0
    # phi = [1, 0], P = I: P11 becomes 1 - 1/2 = 0.5; the miss is 0.5 - 0.8, so theta1 moves by 0.5 * -0.3.
    loop.learn(0.5)
    assert loop.p11 == pytest.approx(0.5) and loop.p22 == pytest.approx(1.0)
    assert loop.theta1 == pytest.approx(0.65) and loop.theta2 == pytest.approx(2.0)


def test_stays_on_until_full_admission_and_keeps_its_bounds() -> None:
    loop = Admission(1, 0.5)
    loop.revise(20.0, 50.0, 1)
    assert loop.admit_probability == MIN_ADMIT_PROBABILITY  # never below, however bad
    for _ in range(200):
        loop.revise(20.0, 0.1, 1)
        assert (
            MIN_ADMIT_PROBABILITY <= loop.admit_probability <= 1.0
            and loop.theta2 >= 0.5
            and 0.0 < loop.p22 <= 10.0
        )
    assert loop.admit_probability == 1.0 and not loop.refusing


def test_no_arrivals_admit_all() -> None:
    loop = Admission(1, 0.5)
    loop.revise(20.0, 50.0, 1)
    loop.revise(0.0, None, 1)
    assert loop.admit_probability == 1.0 and not loop.refusing and loop.correction == 0.0


def test_long_answers_from_servers_at_ease_refuse_nobody() -> None:
    # Where the bare answer takes more than half the aim, E[X] was never learnt and refusing never ended.
    admission = Admission(2, 0.3)
    for _ in range(20):
        admission.revise(100.0, 0.7, 8, utilization=0.4)
    assert not admission.refusing and admission.service_time > 0.55 and admission.target > 0.75
    admission.revise(100.0, 1.2, 8, utilization=0.95)
    assert admission.refusing


def test_a_jam_is_not_cut_below_what_servers_get_through() -> None:
    # Half a farm lost: the delay still tells of those let in before, and admission fell to its floor.
    loop = Admission(2, 0.3)
    for _ in range(4):
        loop.revise(300.0, 1.4, 4, utilization=0.9, served_share=0.8)
        assert loop.admit_probability >= MIN_SHARE_OF_THROUGHPUT * 0.8
    loop.revise(300.0, 1.4, 4, utilization=0.9, served_share=0.5)
    assert MIN_ADMIT_PROBABILITY < loop.admit_probability < MIN_SHARE_OF_THROUGHPUT * 0.8


def test_work_is_reckoned_from_what_is_served_and_not_from_what_is_let_in() -> None:
    loop = Admission(2, 0.5)
    # As by hand above, 4 a server and second: what is let in, for a farm that fills serves less yet.
    loop.revise(20.0, 1.4, 10, served_share=0.5)
    assert loop.service_demand_s == pytest.approx(0.1875)
    # Then a half of them came through: 0.75 = 2 * E[X], taken over by half.
    loop.revise(20.0, 1.4, 10, served_share=0.5)
    assert loop.service_demand_s == pytest.approx(0.1875 + 0.5 * (0.375 - 0.1875))


def test_a_farm_at_ease_again_is_filled_step_by_step() -> None:
    loop, steps = Admission(2, 0.3), list[float]()
    loop.revise(300.0, 1.4, 4, utilization=0.9)
    while loop.refusing:
        before = loop.admit_probability
        loop.revise(300.0, 0.4, 4, utilization=0.5, served_share=before)
        steps.append(loop.admit_probability / before)
    assert len(steps) > 1 and max(steps) <= MAX_RECOVERY_FACTOR + 1e-9 and loop.admit_probability == 1.0


def test_least_worth_goes_first_and_the_mean_is_kept() -> None:
    classes = tuple(RequestClass(300.0, 1000.0, w, 0.5, Effect.SAFE) for w in (10.0, 1.0))
    order = SheddingOrder(Settings(classes=classes))
    order.counts = [50.0, 0.0, 50.0, 0.0]
    order.revise(0.7, 1.0, [LatencyStats(50.0, 10.0), LatencyStats(50.0, 10.0)])
    assert order.admit_probability[0] == 1.0 and order.admit_probability[2] == pytest.approx(0.4)


def test_a_flooding_tenant_is_cut_below_the_floor() -> None:
    # i476414: a tenant at many times its quota, admitted at the floor of 0.1, crowded out all others.
    settings = Settings(
        classes=(RequestClass(300.0, 1000.0, 5.0, 0.5, Effect.SAFE),),
        tenants=(Tenant(10.0), Tenant(10.0)),
        over_quota_value=0.1,
    )
    order, rng = SheddingOrder(settings), Random(3)
    for _ in range(3):
        for tenant, count in ((0, 8), (1, 200)):
            for i in range(count):
                order.count_arrival(Arrival(str(i), 0, tenant, 1.0), rng)
        order.revise(0.1, 1.0, [LatencyStats(50.0, 10.0)])
    assert order.admit_probability[1] == 0.0 and order.admit_probability[0] > 0.3


def test_returned_retries_are_not_new_load(monkeypatch: pytest.MonkeyPatch) -> None:
    # Refused clients who return would otherwise swell the rate and drive Pa^m to its floor.
    harness = NodeHarness(Settings(classes=(SAFE,), max_attempts=3, clients_mark_retries=True))
    rates: list[float] = []
    monkeypatch.setattr(harness.node.admission, "revise", lambda rate, *rest: rates.append(rate))
    harness.node.period.start = 0.0
    for i in range(40):
        for send in sends(harness.handle(Arrival(f"r{i}", 0, 0, 1000.0, is_retry=i >= 10))):
            harness.end(f"r{i}", Status.OK, send.endpoint)
    harness.advance_to(1000.0)
    assert rates and 10.0 <= rates[0] <= 10.0 / 0.2


def test_what_full_servers_turn_away_does_not_make_a_jam_look_quick() -> None:
    # Nothing comes back but refusals at once; counted as passing through, 200 a second beside the 20 that
    # were served would give by Little's law a tenth of the delay that the 25 which are out stand for.
    harness = NodeHarness(Settings(classes=(SAFE,), max_attempts=1))
    for i in range(25):
        assert sends(harness.ask(f"r{i}"))
    delays = []
    for full in (0, 200):
        period = AdmissionPeriod(0.0)
        for _ in range(20):
            period.add(1.0, SAFE.target_latency_ms * 4.0, processed=True)
        for _ in range(full):
            period.add(1.5, SAFE.target_latency_ms * 1.5, processed=False)
        delays.append(harness.node.delay(period, 1.0, 900.0))
    assert delays[0] is not None and delays[1] is not None
    assert delays[0] == pytest.approx(25 / 300.0 * 1000.0 / 20)  # out over passing through, in aims
    assert delays[1] == pytest.approx(delays[0])
