"""Server selection: the distribution of draws, decay of loads, misleading samples and slow start."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

import pytest

from lupinlink.brain.health import SlowStart
from lupinlink.brain.server_selection import (
    LATENCY,
    LOAD_DECAY_MS,
    REPORT,
    WEIGHTS_INTERVAL_MS,
    ServerSelector,
)
from lupinlink.interface import Endpoint, EndpointState, Group, MembershipKind, Server, Settings
from lupinlink.node import Node
from lupinlink.spread.weighted_buckets import MAX_MEAN_BUCKET_SIZE
from tests.helpers import SAFE, NodeHarness


def make_selector(count: int = 4, seed: int = 1) -> tuple[ServerSelector, Node]:
    settings = Settings(classes=(SAFE,))
    node = NodeHarness(settings, names="abcdefghij"[:count], seed=seed).node
    return node.selector, node


def draw_counts(selector: ServerSelector, node: Node, now: float, count: int = 4000) -> Counter[str]:
    selector.weights_due_at = -math.inf
    picked = (selector.pick(now, node, "", lambda s: True) for _ in range(count))
    return Counter(s.endpoint.name for s in picked if s is not None)


def test_even_without_samples() -> None:
    selector, node = make_selector()
    counts = draw_counts(selector, node, 0.0)
    assert all(abs(n - 1000) < 60 for n in counts.values())


def test_weights_fall_with_load_and_decay_with_age() -> None:
    selector, node = make_selector()
    selector.observe(node.servers["a"], 8.0, REPORT, 1.0, 0.0)
    fresh, old = draw_counts(selector, node, 0.0)["a"], draw_counts(selector, node, 8 * LOAD_DECAY_MS)["a"]
    assert fresh < 300 and fresh < old
    expected = selector.weight(node.servers["a"], 0.0) / sum(
        selector.weight(s, 0.0) for s in node.servers.values()
    )
    assert fresh / 4000 == pytest.approx(expected, abs=0.02)


def test_own_requests_in_flight_count_at_once() -> None:
    selector, node = make_selector()
    node.servers["a"].in_flight = node.in_flight = 8
    assert draw_counts(selector, node, 0.0)["a"] < 450


@pytest.mark.parametrize("sample", [math.nan, math.inf, -5.0, 0.0, 1e300, 1e-300])
def test_absurd_samples_keep_weights_finite(sample: float) -> None:
    selector, node = make_selector()
    for _ in range(50):
        selector.observe(node.servers["a"], sample, REPORT, 0.6, 0.0)
    weights = [selector.weight(s, 0.0) for s in node.servers.values()]
    assert all(0.0 < w < 1e6 for w in weights)


def test_lasting_latency_is_taken_for_size() -> None:
    # Old machines may hold as many requests as new ones and take three times as long (zagreb big-2).
    selector, node = make_selector(2)
    a, b = node.servers["a"], node.servers["b"]
    b.group = Group(0.0)
    for t in range(200):
        selector.observe(a, 1.0, LATENCY, 0.0, t * 50.0)
        selector.observe(b, 3.0, LATENCY, 0.0, t * 50.0)
    assert selector.size(a) > 1.5 * selector.size(b)


def test_misleading_samples_lose_their_weight() -> None:
    # Reports that are seconds late made the selection oscillate (zagreb rough-2).
    selector, node = make_selector(2)
    a, rng = node.servers["a"], Random(5)
    for t in range(800):
        selector.observe(a, math.exp(rng.uniform(-1, 1)), REPORT, 0.6, float(t))
        selector.observe(a, math.exp(rng.uniform(-1, 1)), LATENCY, 0.0, float(t))
    draw_counts(selector, node, 800.0, 1)
    assert selector.trust < 0.3


def test_remote_zone_by_price() -> None:
    settings = Settings(classes=(SAFE,), zone=0, cross_zone_price=0.12)
    harness = NodeHarness(settings, names="")
    harness.discover([Endpoint("a", zone=0), Endpoint("b", zone=1)])
    selector = harness.node.selector
    calm = draw_counts(selector, harness.node, 0.0)["b"]
    selector.spill = 1.0
    assert calm < 300 < 1500 < draw_counts(selector, harness.node, 0.0)["b"]


def test_a_cold_server_has_a_budget() -> None:
    settings = Settings(classes=(SAFE,), cold_share=0.2, cold_ms=10000.0)
    slow_start = SlowStart(settings)
    slow_start.even_rate_per_ms = 0.001
    server = Server(Endpoint("a", started_ms=1000.0), 1000.0, Group(0.0), ready=True, tokens_at=1000.0)
    assert slow_start.warmth(server, 1000.0) == pytest.approx(0.2)
    assert slow_start.warmth(server, 11000.0) == 1.0
    sent = 0
    for now in range(1000, 4000, 10):
        if slow_start.allows(server, float(now)):
            server.tokens -= 1.0
            sent += 1
    # An even share would be 3 sends in 3 s; a budget in proportion to its warmth allows one.
    assert sent <= 1


def test_a_key_gets_the_same_server_at_every_node_and_all_keys_follow_the_weights() -> None:
    # That server has its data cached; a random one would repeat the whole work.
    settings = Settings(classes=(SAFE,), warm_keys=True)
    harnesses = [NodeHarness(settings, "abcdefgh", seed) for seed in (1, 2)]
    nodes = [harness.node for harness in harnesses]
    picked = [[n.selector.pick(0.0, n, f"k{i}", lambda s: True) for i in range(800)] for n in nodes]
    names = [[s.endpoint.name if s else "" for s in each] for each in picked]
    assert names[0] == names[1]
    assert all(60 <= count <= 140 for count in Counter(names[0]).values())
    harnesses[0].discover(
        [Endpoint("a", state=EndpointState.GONE)], MembershipKind.DELTA
    )  # the others keep their keys
    after = [
        s.endpoint.name if (s := nodes[0].selector.pick(0.0, nodes[0], f"k{i}", lambda s: True)) else ""
        for i in range(800)
    ]
    assert all(x == y for x, y in zip(names[0], after, strict=True) if x != "a") and "a" not in after


def test_network_time_to_another_zone_is_not_taken_for_load_or_size() -> None:
    # Taken for small, servers of the other zone would be idle while those of this one are overloaded.
    settings = Settings(classes=(SAFE,), zone=0, reports_in_answers=True)
    selector = NodeHarness(settings, "").node.selector
    near, far = (Server(Endpoint(n, zone=z), 0.0, Group(0.0), ready=True) for n, z in (("a", 0), ("b", 1)))
    for i in range(1500):
        for server, sample in ((near, 1.0), (far, 1.8)):
            selector.observe(server, sample, LATENCY, 0.0, i * 20.0)
    assert abs(selector.size(far) - selector.size(near)) < 0.25


def test_a_cold_server_that_reports_spare_capacity_is_given_more() -> None:
    # The settings promise far less than most cold servers can do: half of a returning fleet would be idle.
    slow_start = SlowStart(Settings(classes=(SAFE,), cold_share=0.1, cold_ms=20000.0))
    server = Server(Endpoint("a", started_ms=1.0), 0.0, Group(0.0))
    least = slow_start.warmth(server, 1000.0)
    for _ in range(40):
        slow_start.report(server, 0.3)
    assert slow_start.warmth(server, 1000.0) > 4.0 * least
    for _ in range(100):
        slow_start.report(server, 0.95)
    assert slow_start.warmth(server, 1000.0) == least


def test_cold_servers_get_the_same_boost_from_many_nodes_that_each_see_few_reports() -> None:
    # Each of 14 nodes sees a seventh of the reports that each of two sees: cold servers would be idle while
    # others are overloaded.
    given = []
    for peers in (2, 14):
        slow_start = SlowStart(Settings(classes=(SAFE,), cold_share=0.1, cold_ms=20000.0, peers=peers))
        server = Server(Endpoint("a", started_ms=1.0), 0.0, Group(0.0))
        for _ in range(56 // peers):
            slow_start.report(server, 0.3)
        given.append(slow_start.warmth(server, 1000.0))
    assert abs(given[0] / given[1] - 1.0) < 0.01


def test_outside_its_subset_a_proxy_uses_warm_servers_only() -> None:
    # All tokens of the subset are spent; at the rate earned there, all proxies together would send a cold
    # server elsewhere many times its share.
    settings = Settings(classes=(SAFE,), peers=200, rank=7, cold_share=0.2, cold_ms=1e6)
    node = NodeHarness(settings, names="".join(map(chr, range(0x4E00, 0x4E00 + 200)))).node
    selector = node.selector
    assert selector.pick(2.0, node, "", lambda s: True) in selector.table and len(selector.table) == 32
    near = {s.endpoint.name for s in selector.table}
    for server in node.servers.values():
        server.endpoint.started_ms = 1.0
    assert selector.pick(2.0, node, "", lambda s: s.endpoint.name not in near) is None
    assert list(selector.fallback_candidates(2.0))[1] == []
    far = next(s for s in node.servers.values() if s.endpoint.name not in near)
    far.endpoint.started_ms = 0.0
    assert list(selector.fallback_candidates(2.0))[1] == [far]


# Guards against weights that are never updated because scans for a free server advance the same counter.
def test_all_of_many_weights_are_updated_in_turn_while_requests_scan_for_a_server() -> None:
    harness = NodeHarness(Settings(classes=(SAFE,), peers=6), "")
    harness.discover([Endpoint(f"s-{i}") for i in range(4096)])
    selector = harness.node.selector
    selector.refresh(0.0)
    for server in harness.node.servers.values():
        server.failure_rate = 0.5
    for turn in range(1, 4096 // MAX_MEAN_BUCKET_SIZE + 1):
        selector.refresh(turn * WEIGHTS_INTERVAL_MS)
        for _ in range(3):
            assert sum(map(len, selector.fallback_candidates(turn * WEIGHTS_INTERVAL_MS))) > 0
    assert sum(selector.table.weight(server) < 0.5 for server in selector.table) == 4096
