"""Preference for recently used servers, which limits new connections among thousands of servers."""

from __future__ import annotations

from collections import Counter
from random import Random

from lupinlink.interface import Endpoint, Settings, Status
from lupinlink.spread.recent_use import MAX_REMEMBERED, RecentUse
from tests.helpers import SAFE, NodeHarness, sends

USUAL, MANY = 200, 3200
MAX_CONNECTION_RATIO = 2.5  # to the number of connections with the usual number of servers
IDLE_MS = 6000.0  # how long an idle connection stays open; the settings allow ten seconds


def test_recent_items_are_drawn_uniformly_and_others_are_forgotten() -> None:
    recent, rng = RecentUse[int](1000.0), Random(1)
    for item in range(10):
        recent.used(item, 100.0 * item)
    recent.used(1, 900.0)  # a further use does not extend the time
    drawn = Counter(recent.draw(rng.random(), 1250.0) for _ in range(7000))
    assert set(drawn) == {3, 4, 5, 6, 7, 8, 9} and recent.count(1250.0) == 7
    assert max(drawn.values()) < 1.3 * min(drawn.values())
    assert recent.draw(0.5, 5000.0) is None
    for item in range(2 * MAX_REMEMBERED):
        recent.used(item, 6000.0)
    assert recent.count(6000.0) == MAX_REMEMBERED


def connections(servers: int, per_second: float, seconds: float) -> int:
    """The number of new connections of one node, each of whose requests ends when the next one arrives."""
    harness = NodeHarness(Settings(classes=(SAFE,), peers=6), "")
    harness.now = 1e12
    harness.discover([Endpoint(f"s-{i}") for i in range(servers)])
    used_at, made = dict[str, float](), 0
    for number in range(int(per_second * seconds)):
        (send,) = sends(harness.ask(str(number)))
        made += harness.now - used_at.get(send.endpoint, 0.0) > IDLE_MS
        harness.advance_to(harness.now + 1000.0 / per_second)
        harness.end(str(number), Status.OK, send.endpoint)
        used_at[send.endpoint] = harness.now
    return made


# Guards against a new connection for nearly every request, because there are so many servers to choose from.
def test_many_servers_need_few_more_connections() -> None:
    for per_second in (10.0, 50.0, 120.0):
        usual, many = (connections(servers, per_second, 20.0) for servers in (USUAL, MANY))
        assert many <= MAX_CONNECTION_RATIO * usual + 40, (per_second, usual, many)


def test_all_of_many_servers_are_used_in_the_long_run() -> None:
    harness = NodeHarness(Settings(classes=(SAFE,), peers=6), "")
    harness.now = 1e12
    harness.discover([Endpoint(f"s-{i}") for i in range(600)])
    used = Counter[str]()
    for number in range(12000):
        (send,) = sends(harness.ask(str(number)))
        used[send.endpoint] += 1
        harness.advance_to(harness.now + 20.0)
        harness.end(str(number), Status.OK, send.endpoint)
    assert len(used) == 600 and max(used.values()) < 3 * 12000 / 600
