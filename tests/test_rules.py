"""The rules for attempts and answers: one effect, one answer in time, drains, cold servers."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupinlink import interface as api
from lupinlink.interface import (
    Effect,
    Endpoint,
    EndpointState,
    MembershipKind,
    RequestClass,
    Settings,
    Status,
)
from tests.helpers import KEYED, SAFE, UNSAFE, NodeHarness, finals, sends

DEFINITE = [Status.OVERLOADED, Status.UNREACHABLE]
UNSURE = [Status.ERROR, Status.TIMEOUT, Status.RESET]


def harness(cls: RequestClass, names: str = "abcd") -> NodeHarness:
    return NodeHarness(Settings(classes=(cls,), max_attempts=3, may_cancel=True), names)


@pytest.mark.parametrize("status", UNSURE)
def test_unsafe_that_may_have_run_is_failed_not_retried(status: Status) -> None:
    s = harness(UNSAFE)
    (first,) = sends(s.ask("r"))
    actions = s.end("r", status, first.endpoint)
    assert not sends(actions) and [type(a) for a in finals(actions)] == [api.Fail]


@pytest.mark.parametrize("status", DEFINITE)
def test_unsafe_that_never_ran_goes_elsewhere(status: Status) -> None:
    s = harness(UNSAFE)
    (first,) = sends(s.ask("r"))
    (second,) = sends(s.end("r", status, first.endpoint))
    assert second.endpoint != first.endpoint


def test_safe_goes_elsewhere_after_an_error_and_is_refused_in_the_end() -> None:
    s = harness(SAFE)
    (send,) = sends(s.ask("r"))
    for attempt in range(2):
        (send,) = sends(s.end("r", Status.ERROR, send.endpoint, attempt))
    last = s.end("r", Status.ERROR, send.endpoint, 2)
    s.advance_to(2000.0)
    assert not sends(last) and [type(a) for a in finals(s.log)] == [api.Refuse]


def keyed_harness() -> NodeHarness:
    s = harness(KEYED, "")
    s.discover([Endpoint("a", cell=1), Endpoint("b", cell=1), Endpoint("c", cell=2), Endpoint("d", cell=2)])
    return s


def test_keyed_stays_in_its_cell() -> None:
    s = keyed_harness()
    (first,) = sends(s.ask("r"))
    (second,) = sends(s.end("r", Status.ERROR, first.endpoint))
    assert {first.endpoint, second.endpoint} in ({"a", "b"}, {"c", "d"})


def test_keyed_is_not_sent_after_the_deduplication_window() -> None:
    s = keyed_harness()
    (first,) = sends(s.ask("r"))
    s.now = 2000.0
    actions = s.end("r", Status.ERROR, first.endpoint)
    s.advance_to(7000.0)
    assert not sends(actions) and [type(a) for a in finals(s.log)] == [api.Fail]


def test_no_second_attempt_while_one_is_open() -> None:
    s = harness(SAFE)
    s.ask("r")
    s.advance_to(999.0)
    assert len(sends(s.log)) == 1 and not finals(s.log)


def test_a_time_out_at_the_deadline_is_answered_at_once() -> None:
    s = harness(UNSAFE)
    (first,) = sends(s.ask("r"))
    assert first.timeout_ms == 1000.0
    s.advance_to(1000.0)
    assert [type(a) for a in finals(s.end("r", Status.TIMEOUT, first.endpoint))] == [api.Fail]


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_drains_act_at_once(state: EndpointState) -> None:
    s = harness(SAFE, "ab")
    s.discover([Endpoint("a", state=state)], MembershipKind.DELTA)
    assert {x.endpoint for i in range(50) for x in sends(s.ask(str(i)))} == {"b"}


def test_a_server_missing_from_a_full_list_is_gone() -> None:
    s = harness(SAFE, "ab")
    s.discover([Endpoint("b")])
    assert {x.endpoint for i in range(50) for x in sends(s.ask(str(i)))} == {"b"}


def test_with_no_server_a_request_waits_and_is_then_refused_in_time() -> None:
    s = harness(UNSAFE, "")
    assert not finals(s.ask("r"))
    s.advance_to(1000.0)
    assert [type(a) for a in finals(s.log)] == [api.Refuse]


def test_with_no_server_a_request_is_sent_once_one_comes() -> None:
    s = harness(UNSAFE, "")
    s.ask("r")
    assert [x.endpoint for x in sends(s.discover([Endpoint("a")]))] == ["a"]


def test_cold_servers_take_little_at_first() -> None:
    s = NodeHarness(Settings(classes=(SAFE,), max_attempts=3, cold_share=0.1, cold_ms=10000.0), "ab")
    for i in range(300):
        s.advance_to(i * 10.0)
        for x in sends(s.ask(f"w{i}")):
            s.end(f"w{i}", Status.OK, x.endpoint)
    s.discover([Endpoint("a", started_ms=s.now)], MembershipKind.DELTA)
    cold = 0
    for i in range(100):
        s.advance_to(s.now + 10.0)
        for x in sends(s.ask(f"c{i}")):
            cold += x.endpoint == "a"
            s.end(f"c{i}", Status.OK, x.endpoint)
    assert cold <= 100 * 0.5 * 0.2 + 1


def test_nothing_is_answered_or_sent_after_the_client_is_gone() -> None:
    s = harness(SAFE)
    (first,) = sends(s.ask("r"))
    actions = s.handle(api.ClientGone("r"))
    assert actions == [api.Cancel("r", 0)]
    assert s.end("r", Status.CANCELLED, first.endpoint) == []
    assert s.end("r", Status.ERROR, first.endpoint) == []  # reported twice
    assert not s.node.open_requests


def test_failed_calls_to_discovery_are_made_again() -> None:
    s = NodeHarness(Settings(classes=(SAFE,), subscribe=True), "a")
    assert len([a for a in s.advance_to(1000.0) if isinstance(a, api.Subscribe)]) == 1
    s.discover([], MembershipKind.FAILED)
    assert len([a for a in s.advance_to(2000.0) if isinstance(a, api.Subscribe)]) == 1
    assert s.node.ready == 1  # the old list stays


def test_errors_eject_one_server_but_never_all() -> None:
    s = harness(SAFE, "abcdefgh")
    for i in range(200):
        s.advance_to(i * 10.0)
        for x in sends(s.ask(str(i))):
            s.end(str(i), Status.ERROR if x.endpoint == "a" else Status.OK, x.endpoint)
    assert s.node.servers["a"].ejected_until > 0.0
    s = harness(SAFE, "abcdefgh")
    for i in range(200):
        s.advance_to(i * 10.0)
        for x in sends(s.ask(str(i))):
            s.end(str(i), Status.ERROR, x.endpoint)
    assert sum(v.ejected_until > s.now for v in s.node.servers.values()) <= 3


def test_single_broken_answers_eject_no_server() -> None:
    # With a few broken answers in a hundred, an ejection for each would leave out half of the fleet.
    s = harness(SAFE, "abcdefgh")
    for i in range(200):
        s.advance_to(i * 10.0)
        for x in sends(s.ask(str(i))):
            s.end(str(i), Status.OK if i % 16 else Status.RESET, x.endpoint)
            assert not s.node.outlier_detector.ejected


def test_all_unreachable_servers_are_ejected_without_cost_to_the_retry_budget() -> None:
    # With a cap on ejections, one dead server would use up the whole retry budget.
    s = harness(SAFE, "abcdefgh")
    before = s.node.retry_tokens
    for i in range(60):
        s.advance_to(i * 10.0)
        todo = sends(s.ask(str(i)))
        for attempt, send in enumerate(todo):
            dead = send.endpoint in "abcde"
            todo += sends(s.end(str(i), Status.UNREACHABLE if dead else Status.OK, send.endpoint, attempt))
    assert sorted(v.endpoint.name for v in s.node.outlier_detector.ejected) == list("abcde")
    assert s.node.retry_tokens >= before


def test_time_outs_of_a_server_that_answers_others_eject_nobody() -> None:
    s = harness(SAFE, "abcdefgh")
    for i in range(120):
        s.advance_to(i * 10.0)
        (slow,) = sends(s.ask(f"s{i}"))
        (quick,) = sends(s.ask(f"q{i}"))
        s.node.servers[slow.endpoint].last_response_at = s.now  # it has answered another request meanwhile
        s.end(f"s{i}", Status.TIMEOUT, slow.endpoint)
        s.end(f"q{i}", Status.OK, quick.endpoint)
    assert not s.node.outlier_detector.ejected


def test_gone_servers_are_forgotten_once_no_attempt_is_open_there() -> None:
    # Over a long time new servers appear, some at the address of one that is gone.
    s = harness(SAFE, "ab")
    (send,) = sends(s.ask("r"))
    s.discover([Endpoint("c")])
    assert sorted(s.node.servers) == sorted(["c", send.endpoint])
    s.end("r", Status.OK, send.endpoint)
    for i in range(50):
        old = f"d{i - 1}" if i else "c"
        s.discover([Endpoint(f"d{i}"), Endpoint(old, state=EndpointState.GONE)], MembershipKind.DELTA)
    assert list(s.node.servers) == ["d49"] and s.node.ready == 1


CLASSES = (
    SAFE,
    UNSAFE,
    KEYED,
    RequestClass(300.0, 1000.0, 1.0, 0.5, Effect.KEYED, api.DedupScope.ALL, 500.0),
    RequestClass(300.0, 1000.0, 1.0, 0.5, Effect.KEYED, api.DedupScope.ZONE, 500.0),
)
STEP = st.tuples(st.sampled_from(["ask", "end", "time", "list", "gone", "odd"]), st.integers(0, 10**6))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=80), st.integers(0, 1000))
def test_any_order_of_events_keeps_the_rules(steps: list[tuple[str, int]], seed: int) -> None:
    s = NodeHarness(Settings(classes=CLASSES, max_attempts=3, may_cancel=True, may_probe=True), "", seed)
    zones = {n: (i % 2, i % 3) for i, n in enumerate("abcdef")}
    s.discover([Endpoint(n, zone=z, cell=c) for n, (z, c) in zones.items()])
    ready = set(zones)
    out: dict[str, list[tuple[str, float, Status | None]]] = {}
    cls: dict[str, int] = {}
    deadline: dict[str, float] = {}
    answered: dict[str, int] = {}

    def note(actions: list[api.Action]) -> None:
        for a in actions:
            if isinstance(a, api.Send):
                c, past = CLASSES[cls[a.request_id]], out[a.request_id]
                assert a.request_id not in answered and a.endpoint in ready and len(past) < 3
                for server, sent, status in past:
                    assert status is not None  # no parallel attempts
                    if c.effect == Effect.SAFE or status in api.NEVER_RAN:
                        continue
                    assert c.effect == Effect.KEYED and s.now < sent + c.dedup_ms
                    if c.scope != api.DedupScope.ALL:
                        assert zones[server][0] == zones[a.endpoint][0]
                    if c.scope == api.DedupScope.CELL:
                        assert zones[server][1] == zones[a.endpoint][1]
                past.append((a.endpoint, s.now, None))
            elif isinstance(a, api.Refuse | api.Fail):
                assert a.request_id not in answered and s.now <= deadline[a.request_id]
                answered[a.request_id] = 1
                c = CLASSES[cls[a.request_id]]
                free = c.effect == Effect.SAFE or (c.effect == Effect.KEYED and c.scope == api.DedupScope.ALL)
                if isinstance(a, api.Refuse) and not free:
                    assert all(status in api.NEVER_RAN for _, _, status in out[a.request_id])

    def resolve(name: str, index: int, status: Status) -> None:
        server, sent, _ = out[name][index]
        out[name][index] = (server, sent, status)
        if status == Status.OK:
            answered[name] = 1
        note(s.end(name, status, server, index))

    def pass_time(to: float) -> None:
        while True:  # an attempt times out at its deadline, as its Send says
            due = [(deadline[n], n, i) for n, v in out.items() for i, a in enumerate(v) if a[2] is None]
            due = [d for d in due if d[0] <= to]
            timer = min(s.timers)[0] if s.timers else float("inf")
            if due and min(due)[0] <= timer:
                when, name, index = min(due)
                s.now = max(s.now, when)
                resolve(name, index, Status.TIMEOUT)
            elif timer <= to:
                t, token = min(s.timers)
                s.timers.remove((t, token))
                s.now = max(s.now, t)
                note(s.handle(api.TimerFired(token)))
            else:
                s.now = max(s.now, to)
                return

    for i, (step, value) in enumerate(steps):
        if step == "ask":
            name = f"r{i}"
            cls[name], out[name] = value % len(CLASSES), []
            deadline[name] = s.now + 100.0 + value % 3000
            note(s.handle(api.Arrival(name, cls[name], value % 3, deadline[name])))
        elif step == "end":
            live = [(n, k) for n, v in out.items() for k, a in enumerate(v) if a[2] is None]
            if live:
                name, index = live[value % len(live)]
                status = [Status.OK, *DEFINITE, *UNSURE][value % 6]
                resolve(name, index, status if name not in answered else Status.CANCELLED)
        elif step == "time":
            pass_time(s.now + value % 700)
        elif step == "list":
            n = "abcdef"[value % 6]
            state = EndpointState(value // 6 % 3)
            (ready.add if state == EndpointState.READY else ready.discard)(n)
            row = Endpoint(n, zones[n][0], 0, zones[n][1], state, 1.0, s.now if value % 5 == 0 else 0.0)
            s.discover([row], MembershipKind.DELTA)
        elif step == "gone":
            waiting = [n for n in out if n not in answered]
            if waiting:
                name = waiting[value % len(waiting)]
                answered[name] = 1
                note(s.handle(api.ClientGone(name)))
        else:
            bad = [float("nan"), -1.0, 1e308][value % 3]
            note(s.handle(api.ProbeResult("abcdef"[value % 6], Status(value % 8), bad, {"in_flight": bad})))
            note(s.handle(api.Outcome(f"r{value % 80}", Status.OK, bad, 7, True, "zz", {"queued": bad})))
    pass_time(s.now + 10000.0)
    assert set(answered) == set(out)  # no request is lost


def test_an_attempt_on_a_connection_that_fell_silent_goes_elsewhere_though_its_server_answers() -> None:
    s = harness(SAFE, "abcdefgh")
    for i in range(200):  # with quick answers, twenty deviations pass soon
        s.advance_to(i * 10.0)
        for x in sends(s.ask(str(i))):
            s.now += 5.0
            s.end(str(i), Status.OK, x.endpoint)
    (lost,) = sends(s.ask("lost"))
    s.node.servers[lost.endpoint].last_response_at = s.now + 1.0
    s.advance_to(s.now + 600.0)
    assert api.Cancel("lost", 0) in s.log and not s.node.outlier_detector.ejected
