"""The decision module's actions for seeded streams of events: a refactoring must not change them."""

import hashlib
from heapq import heappop, heappush
from random import Random

from lupinlink import interface as api
from lupinlink.adapter import encode
from lupinlink.interface import Endpoint, EndpointState, MembershipKind, Settings, Status, Tenant
from tests.helpers import KEYED, SAFE, UNSAFE, NodeHarness

# An intended change of actions updates it and says so in the commit.
DIGEST = "0a6620403195f5ea40284efb7136d26d34e29cecd1d0ac83c81e16c1f03053bb"


def without_log(actions: list[api.Action]) -> list[api.Action]:
    """The actions without those that are only logged."""
    return [action for action in actions if not isinstance(action, api.ListTrustChanged)]


def play(seed: int, requests: int) -> list[str]:
    """The actions, as sent to the simulator, for requests to twenty servers that fail in every way."""
    rng, odd, arrival, events = Random(seed), seed % 2 == 1, 0.0, list[tuple[float, float, api.Event]]()
    settings = Settings(
        (SAFE, UNSAFE, KEYED), (Tenant(5.0), Tenant(60.0)), peers=4, rank=seed % 4, max_attempts=3,
        over_quota_value=0.2, cross_zone_price=0.05, max_retry_after_ms=900.0, subscribe=True, may_probe=True,
        reports_in_probes=True, reports_in_answers=not odd, may_cancel=seed % 3 > 0, warm_keys=odd,
        clients_mark_retries=odd, value_by_work=odd, cold_ms=5000.0,
    )  # fmt: skip
    harness = NodeHarness(settings, "", seed)
    actions = list(harness.log)

    def later(delay: float, event: api.Event) -> None:
        heappush(events, (harness.now + delay, rng.random(), event))

    def row(i: int) -> Endpoint:
        state = rng.choices(list(EndpointState), (1, 6, 1))[0]
        return Endpoint(f"s{i}", i % 2, i % 3, i % 5, state, 1.0 + i % 4, arrival * (rng.random() < 0.2))

    for i in range(requests):
        arrival += rng.expovariate(0.2 if i // 400 % 2 else 0.04) + 3000.0 * (i % 500 == 499)
        end, key = arrival + rng.choice((60.0, 900.0, 2500.0)), f"k{int(rng.paretovariate(1.0))}"
        later(arrival, api.Arrival(f"r{i}", i % 3, rng.randrange(-1, 3), end, rng.random() < 0.1, key))
        if i % 40 == 0:
            kind = MembershipKind((3, 2, 0)[rng.randrange(3)])
            later(
                arrival, api.Membership(kind, [row(n) for n in range(0, 20, 5 if kind == 3 else 1) if kind])
            )
            later(arrival + 200.0, api.ClientGone(f"r{i}"))
    while events and (arrival > harness.now or harness.node.open_requests):
        for action in without_log(actions):
            latency = rng.expovariate(1.0 / (30.0 + 10.0 * harness.node.in_flight))
            load = {"utilization": harness.node.in_flight / 40.0, "queued": latency / 9.0 - 1.1}
            status = rng.choices(list(Status), (80, 2, 6, 4, 4, 2, 0, 1, 1))[0]
            if isinstance(action, api.SetTimer):
                later(action.delay_ms, api.TimerFired(action.token))
            elif isinstance(action, api.Probe):
                later(9.0, api.ProbeResult(action.endpoint, status, 9.0, load))
            elif isinstance(action, api.Send):
                name, server = action.request_id, action.endpoint
                status = Status.UNREACHABLE if server == "s7" else status
                latency, status = min((latency, status), (action.timeout_ms, Status.TIMEOUT))
                number = len(harness.node.open_requests[name].attempts) - 1
                later(latency, api.Outcome(name, status, latency, number, status == Status.OK, server, load))
        harness.now, _, event = heappop(events)
        actions = harness.handle(event)
    return [encode("n", action) for action in without_log(harness.log)]


def test_the_actions_are_those_of_the_digest() -> None:
    lines = [line for seed in range(4) for line in play(seed, 900)]
    assert hashlib.sha256("\n".join(lines).encode()).hexdigest() == DIGEST
