"""Admission control against values computed by hand, and the shedding order."""

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

TARGET_DELAY = BASE_TARGET_DELAY + LATE_VALUE_TARGET_DELAY * 0.5


def test_no_refusal_below_target() -> None:
    admission = Admission(4, 0.5)
    for _ in range(5):
        admission.revise(50.0, TARGET_DELAY - 0.05, 10)
    assert admission.admit_probability == 1.0 and not admission.refusing


def test_first_overloaded_period_by_hand() -> None:
    admission = Admission(2, 0.5)
    # x = 0.35, d = 1.4: the model's utilization is 1 - 0.35/1.4 = 0.75 at 20*2/10 = 4 per server and second,
    # so E[X] = 0.75/4 = 0.1875 s and Pa^m = (D - x) / (4 * 0.1875 * D); dPa = -0.8 * (1.4 - D) / 2.
    admission.revise(20.0, 1.4, 10)
    assert admission.service_demand_s == pytest.approx(0.1875)
    model = (TARGET_DELAY - INITIAL_SERVICE_TIME) / (4 * 0.1875 * TARGET_DELAY)
    correction = -INITIAL_THETA[0] * (1.4 - TARGET_DELAY) / INITIAL_THETA[1]
    assert admission.admit_probability == pytest.approx(model + correction)
    assert admission.refusing and admission.correction == pytest.approx(correction)


def test_rls_step_by_hand() -> None:
    admission = Admission(1, 0.5)
    admission.error, admission.correction = 1.0, 0.0
    # phi = [1, 0], P = I: P11 becomes 1 - 1/2 = 0.5; the prediction error is 0.5 - 0.8, and theta1 changes by
    # 0.5 * -0.3.
    admission.learn(0.5)
    assert admission.p11 == pytest.approx(0.5) and admission.p22 == pytest.approx(1.0)
    assert admission.theta1 == pytest.approx(0.65) and admission.theta2 == pytest.approx(2.0)


def test_refusing_lasts_until_full_admission_within_the_bounds() -> None:
    admission = Admission(1, 0.5)
    admission.revise(20.0, 50.0, 1)
    assert admission.admit_probability == MIN_ADMIT_PROBABILITY  # the floor, however high the delay
    for _ in range(200):
        admission.revise(20.0, 0.1, 1)
        assert (
            MIN_ADMIT_PROBABILITY <= admission.admit_probability <= 1.0
            and admission.theta2 >= 0.5
            and 0.0 < admission.p22 <= 10.0
        )
    assert admission.admit_probability == 1.0 and not admission.refusing


def test_no_arrivals_admit_all() -> None:
    admission = Admission(1, 0.5)
    admission.revise(20.0, 50.0, 1)
    admission.revise(0.0, None, 1)
    assert admission.admit_probability == 1.0 and not admission.refusing and admission.correction == 0.0


def test_long_answers_with_low_utilization_refuse_nobody() -> None:
    # Judged by its delay, a period counts as loaded if the service time is over half the target latency: then
    # E[X] would never be learnt and refusing never end.
    admission = Admission(2, 0.3)
    for _ in range(20):
        admission.revise(100.0, 0.7, 8, utilization=0.4)
    assert not admission.refusing and admission.service_time > 0.55 and admission.target > 0.75
    admission.revise(100.0, 1.2, 8, utilization=0.95)
    assert admission.refusing


def test_overload_is_not_cut_below_what_servers_complete() -> None:
    # After the loss of half the servers the delay still includes requests admitted before, and would bring
    # admission to its floor.
    admission = Admission(2, 0.3)
    for _ in range(4):
        admission.revise(300.0, 1.4, 4, utilization=0.9, served_share=0.8)
        assert admission.admit_probability >= MIN_SHARE_OF_THROUGHPUT * 0.8
    admission.revise(300.0, 1.4, 4, utilization=0.9, served_share=0.5)
    assert MIN_ADMIT_PROBABILITY < admission.admit_probability < MIN_SHARE_OF_THROUGHPUT * 0.8


def test_service_demand_follows_from_served_and_not_from_admitted_requests() -> None:
    admission = Admission(2, 0.5)
    # As by hand above, 4 admitted per server and second: servers whose queues fill complete less.
    admission.revise(20.0, 1.4, 10, served_share=0.5)
    assert admission.service_demand_s == pytest.approx(0.1875)
    # Then half of them were served: 0.75 = 2 * E[X], smoothed with a gain of one half.
    admission.revise(20.0, 1.4, 10, served_share=0.5)
    assert admission.service_demand_s == pytest.approx(0.1875 + 0.5 * (0.375 - 0.1875))


def test_admission_recovers_step_by_step_when_utilization_is_low() -> None:
    admission, ratios = Admission(2, 0.3), list[float]()
    admission.revise(300.0, 1.4, 4, utilization=0.9)
    while admission.refusing:
        before = admission.admit_probability
        admission.revise(300.0, 0.4, 4, utilization=0.5, served_share=before)
        ratios.append(admission.admit_probability / before)
    assert (
        len(ratios) > 1 and max(ratios) <= MAX_RECOVERY_FACTOR + 1e-9 and admission.admit_probability == 1.0
    )


def test_least_value_is_shed_first_and_the_mean_is_kept() -> None:
    classes = tuple(RequestClass(300.0, 1000.0, w, 0.5, Effect.SAFE) for w in (10.0, 1.0))
    shedding = SheddingOrder(Settings(classes=classes))
    shedding.counts = [50.0, 0.0, 50.0, 0.0]
    shedding.revise(0.7, 1.0, [LatencyStats(50.0, 10.0), LatencyStats(50.0, 10.0)])
    assert shedding.admit_probability[0] == 1.0 and shedding.admit_probability[2] == pytest.approx(0.4)


def test_a_flooding_tenant_is_cut_below_the_floor() -> None:
    # A tenant at many times its quota, admitted at the floor of 0.1, would crowd out all others (i476414).
    settings = Settings(
        classes=(RequestClass(300.0, 1000.0, 5.0, 0.5, Effect.SAFE),),
        tenants=(Tenant(10.0), Tenant(10.0)),
        over_quota_value=0.1,
    )
    shedding, rng = SheddingOrder(settings), Random(3)
    for _ in range(3):
        for tenant, count in ((0, 8), (1, 200)):
            for i in range(count):
                shedding.count_arrival(Arrival(str(i), 0, tenant, 1.0), rng)
        shedding.revise(0.1, 1.0, [LatencyStats(50.0, 10.0)])
    assert shedding.admit_probability[1] == 0.0 and shedding.admit_probability[0] > 0.3


def test_retries_of_refused_clients_are_not_new_load(monkeypatch: pytest.MonkeyPatch) -> None:
    # Retries of refused clients, counted as arrivals, would drive Pa^m to its floor.
    harness = NodeHarness(Settings(classes=(SAFE,), max_attempts=3, clients_mark_retries=True))
    rates: list[float] = []
    monkeypatch.setattr(harness.node.admission, "revise", lambda rate, *rest: rates.append(rate))
    harness.node.period.start = 0.0
    for i in range(40):
        for send in sends(harness.handle(Arrival(f"r{i}", 0, 0, 1000.0, is_retry=i >= 10))):
            harness.end(f"r{i}", Status.OK, send.endpoint)
    harness.advance_to(1000.0)
    assert rates and 10.0 <= rates[0] <= 10.0 / 0.2


def test_refusals_of_full_servers_do_not_hide_an_overload() -> None:
    # Full servers refuse at once. In the throughput, 200 refusals beside 20 served requests would give by
    # Little's law a tenth of the delay that the 25 open attempts show.
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
    assert delays[0] == pytest.approx(
        25 / 300.0 * 1000.0 / 20
    )  # open attempts over throughput, in target latencies
    assert delays[1] == pytest.approx(delays[0])
