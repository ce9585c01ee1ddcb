"""The split: its distribution, ageing, and what it must not believe."""

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


def make(count: int = 4, seed: int = 1) -> tuple[ServerSelector, Node]:
    settings = Settings(classes=(SAFE,))
    node = NodeHarness(settings, names="abcdefghij"[:count], seed=seed).node
    return node.selector, node


def draw(split: ServerSelector, node: Node, now: float, count: int = 4000) -> Counter[str]:
    split.weights_due_at = -math.inf
    picked = (split.pick(now, node, "", lambda s: True) for _ in range(count))
    return Counter(s.endpoint.name for s in picked if s is not None)


def test_even_without_news() -> None:
    split, node = make()
    counts = draw(split, node, 0.0)
    assert all(abs(n - 1000) < 60 for n in counts.values())


def test_weighted_against_load_and_fading_with_age() -> None:
    split, node = make()
    split.observe(node.servers["a"], 8.0, REPORT, 1.0, 0.0)
    fresh, old = draw(split, node, 0.0)["a"], draw(split, node, 8 * LOAD_DECAY_MS)["a"]
    assert fresh < 300 and fresh < old
    expected = split.weight(node.servers["a"], 0.0) / sum(split.weight(s, 0.0) for s in node.servers.values())
    assert fresh / 4000 == pytest.approx(expected, abs=0.02)


def test_own_requests_in_flight_count_at_once() -> None:
    split, node = make()
    node.servers["a"].in_flight = node.in_flight = 8
    assert draw(split, node, 0.0)["a"] < 450


@pytest.mark.parametrize("figure", [math.nan, math.inf, -5.0, 0.0, 1e300, 1e-300])
def test_absurd_figures_do_not_poison(figure: float) -> None:
    split, node = make()
    for _ in range(50):
        split.observe(node.servers["a"], figure, REPORT, 0.6, 0.0)
    weights = [split.weight(s, 0.0) for s in node.servers.values()]
    assert all(0.0 < w < 1e6 for w in weights)


def test_lasting_latency_is_taken_for_size() -> None:
    # zagreb big-2: old machines held as many requests as new ones and took three times as long.
    split, node = make(2)
    a, b = node.servers["a"], node.servers["b"]
    b.group = Group(0.0)
    for t in range(200):
        split.observe(a, 1.0, LATENCY, 0.0, t * 50.0)
        split.observe(b, 3.0, LATENCY, 0.0, t * 50.0)
    assert split.size(a) > 1.5 * split.size(b)


def test_misleading_figures_lose_their_weight() -> None:
    # zagreb rough-2: reports seconds late made the split swing.
    split, node = make(2)
    a, rng = node.servers["a"], Random(5)
    for t in range(800):
        split.observe(a, math.exp(rng.uniform(-1, 1)), REPORT, 0.6, float(t))
        split.observe(a, math.exp(rng.uniform(-1, 1)), LATENCY, 0.0, float(t))
    draw(split, node, 800.0, 1)
    assert split.trust < 0.3


def test_remote_zone_by_price() -> None:
    settings = Settings(classes=(SAFE,), zone=0, cross_zone_price=0.12)
    harness = NodeHarness(settings, names="")
    harness.discover([Endpoint("a", zone=0), Endpoint("b", zone=1)])
    split = harness.node.selector
    calm = draw(split, harness.node, 0.0)["b"]
    split.spill = 1.0
    assert calm < 300 < 1500 < draw(split, harness.node, 0.0)["b"]


def test_a_cold_server_has_a_budget() -> None:
    settings = Settings(classes=(SAFE,), cold_share=0.2, cold_ms=10000.0)
    start = SlowStart(settings)
    start.even_rate_per_ms = 0.001
    server = Server(Endpoint("a", started_ms=1000.0), 1000.0, Group(0.0), ready=True, tokens_at=1000.0)
    assert start.warmth(server, 1000.0) == pytest.approx(0.2)
    assert start.warmth(server, 11000.0) == 1.0
    sent = 0
    for now in range(1000, 4000, 10):
        if start.allows(server, float(now)):
            server.tokens -= 1.0
            sent += 1
    # An even share would be 3 sends in 3 s; a budget in the measure of its warmth allows one.
    assert sent <= 1


def test_a_key_meets_the_same_server_at_every_node_and_all_keys_together_the_weights() -> None:
    # Its data are warm there; a random server would do the whole work anew.
    settings = Settings(classes=(SAFE,), warm_keys=True)
    harnesses = [NodeHarness(settings, "abcdefgh", seed) for seed in (1, 2)]
    nodes = [harness.node for harness in harnesses]
    met = [[n.selector.pick(0.0, n, f"k{i}", lambda s: True) for i in range(800)] for n in nodes]
    names = [[s.endpoint.name if s else "" for s in each] for each in met]
    assert names[0] == names[1]
    assert all(60 <= count <= 140 for count in Counter(names[0]).values())
    harnesses[0].discover(
        [Endpoint("a", state=EndpointState.GONE)], MembershipKind.DELTA
    )  # others keep theirs
    after = [
        s.endpoint.name if (s := nodes[0].selector.pick(0.0, nodes[0], f"k{i}", lambda s: True)) else ""
        for i in range(800)
    ]
    assert all(x == y for x, y in zip(names[0], after, strict=True) if x != "a") and "a" not in after


def test_the_way_to_another_zone_is_not_taken_for_load_or_size() -> None:
    # Taken for a small server, the other zone stood idle while this one was overrun.
    settings = Settings(classes=(SAFE,), zone=0, reports_in_answers=True)
    split = NodeHarness(settings, "").node.selector
    near, far = (Server(Endpoint(n, zone=z), 0.0, Group(0.0), ready=True) for n, z in (("a", 0), ("b", 1)))
    for i in range(1500):
        for server, figure in ((near, 1.0), (far, 1.8)):
            split.observe(server, figure, LATENCY, 0.0, i * 20.0)
    assert abs(split.size(far) - split.size(near)) < 0.25


def test_a_cold_server_that_reports_spare_capacity_is_given_more() -> None:
    # The least warmth promised is far less than most have: half of a fleet that came back stood idle.
    slow = SlowStart(Settings(classes=(SAFE,), cold_share=0.1, cold_ms=20000.0))
    server = Server(Endpoint("a", started_ms=1.0), 0.0, Group(0.0))
    least = slow.warmth(server, 1000.0)
    for _ in range(40):
        slow.report(server, 0.3)
    assert slow.warmth(server, 1000.0) > 4.0 * least
    for _ in range(100):
        slow.report(server, 0.95)
    assert slow.warmth(server, 1000.0) == least


def test_a_cold_server_is_given_as_much_more_by_many_nodes_that_each_see_few_of_its_reports() -> None:
    # Each of 14 saw a seventh of what two see: cold servers stood idle while the rest were jammed.
    given = []
    for peers in (2, 14):
        slow = SlowStart(Settings(classes=(SAFE,), cold_share=0.1, cold_ms=20000.0, peers=peers))
        server = Server(Endpoint("a", started_ms=1.0), 0.0, Group(0.0))
        for _ in range(56 // peers):
            slow.report(server, 0.3)
        given.append(slow.warmth(server, 1000.0))
    assert abs(given[0] / given[1] - 1.0) < 0.01


def test_outside_its_stretch_a_proxy_asks_warm_servers_only() -> None:
    # All tokens of the stretch are spent; what it earns there is many times the fleet's share elsewhere.
    settings = Settings(classes=(SAFE,), peers=200, rank=7, cold_share=0.2, cold_ms=1e6)
    node = NodeHarness(settings, names="".join(map(chr, range(0x4E00, 0x4E00 + 200)))).node
    split = node.selector
    assert split.pick(2.0, node, "", lambda s: True) in split.table and len(split.table) == 32
    near = {s.endpoint.name for s in split.table}
    for server in node.servers.values():
        server.endpoint.started_ms = 1.0
    assert split.pick(2.0, node, "", lambda s: s.endpoint.name not in near) is None
    assert list(split.fallback_candidates(2.0))[1] == []
    far = next(s for s in node.servers.values() if s.endpoint.name not in near)
    far.endpoint.started_ms = 0.0
    assert list(split.fallback_candidates(2.0))[1] == [far]


# Guards against weights that are never revised because looks for a free server take the table's turns.
def test_all_of_many_weights_are_revised_in_turn_while_requests_look_for_a_server() -> None:
    harness = NodeHarness(Settings(classes=(SAFE,), peers=6), "")
    harness.discover([Endpoint(f"s-{i}") for i in range(4096)])
    split = harness.node.selector
    split.refresh(0.0)
    for server in harness.node.servers.values():
        server.failure_rate = 0.5
    for turn in range(1, 4096 // MAX_MEAN_BUCKET_SIZE + 1):
        split.refresh(turn * WEIGHTS_INTERVAL_MS)
        for _ in range(3):
            assert sum(map(len, split.fallback_candidates(turn * WEIGHTS_INTERVAL_MS))) > 0
    assert sum(split.table.weight(server) < 0.5 for server in split.table) == 4096
