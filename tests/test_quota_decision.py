"""The compiled decision against the reference implementation, and invariants for any order of requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from lupinlink.quota import limit_lookup
from lupinlink.quota.compiled_policy import MAX_RECENT_PLANS, CompiledPolicy, decide_all_versions
from lupinlink.quota.language.reading import read_policy
from lupinlink.quota.local_token_store import LocalTokenStore
from lupinlink.quota.model import Charge, Policy, QuotaRequest
from tests.quota_reference import ReferenceDecision, policies, requests

RequestSequence = list[tuple[int, QuotaRequest, int]]
request_sequences = st.lists(
    st.tuples(st.sampled_from((0, 0, 7, 60, 400, 9000)), requests, st.sampled_from((1, 4, 12))), max_size=25
)
TOLERANCE = 1e-6


def parse_policy(text: str) -> Policy:
    policy, findings = read_policy('policy "t"\n' + text)
    assert not findings, findings
    return policy


def timed_requests(asked: RequestSequence) -> Iterator[tuple[int, QuotaRequest]]:
    """Each request with its time in ms."""
    now = 0
    for span, one, times in asked:
        now += span
        yield from ((now, one) for _ in range(times))


def compile_with_store(policy: Policy) -> tuple[CompiledPolicy, LocalTokenStore]:
    return CompiledPolicy(policy.limits, 1e9), LocalTokenStore(policy.limits)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(policies(), request_sequences, st.sampled_from((0, limit_lookup.MAX_LINEAR_SEARCH)))
def test_decides_as_the_naive_interpreter(policy: Policy, asked: RequestSequence, few: int) -> None:
    compiled, store = compile_with_store(policy)
    reference = ReferenceDecision(policy)
    with patch.object(limit_lookup, "MAX_LINEAR_SEARCH", few):  # 0: always uses the lookup tables
        for now, one in timed_requests(asked):
            verdict = compiled.decide(one, now, store)
            assert (verdict.allowed, bool(verdict.shadowed)) == reference.decide(one, now)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(policies(), request_sequences)
def test_no_window_admits_more_than_rate_and_burst(policy: Policy, asked: RequestSequence) -> None:
    compiled, store = compile_with_store(policy)
    admitted: dict[Charge, list[int]] = defaultdict(list)
    for now, one in timed_requests(asked):
        if compiled.decide(one, now, store).allowed:
            for charge in compiled.charges_for(one)[0]:
                admitted[charge].append(now)
        assert all(
            len(table) <= limit.max_values for limit, table in zip(policy.limits, store._tables, strict=True)
        )
    for charge, times in admitted.items():
        limit = policy.limits[charge.limit]
        for i, first in enumerate(times):
            for k, last in enumerate(times[i:], 1):
                assert k <= limit.rate_per_s * (last - first) / 1000.0 + limit.burst + TOLERANCE


@settings(max_examples=60, deadline=None, derandomize=True)
@given(policies(), request_sequences)
def test_a_refusal_charges_nothing_and_says_when_to_come_back(policy: Policy, asked: RequestSequence) -> None:
    compiled, store = compile_with_store(policy)
    waited = 0.0
    for at, one in timed_requests(asked):
        now = at + waited
        before = {id(b): b.tokens for table in store._tables for b in table.values() if b.updated_ms == now}
        verdict = compiled.decide(one, now, store)
        if not verdict.allowed:
            assert verdict.retry_after_ms > 0.0
            after = {id(b): b.tokens for table in store._tables for b in table.values()}
            assert all(after.get(key, tokens) == tokens for key, tokens in before.items())
            waited += verdict.retry_after_ms + TOLERANCE
            assert compiled.decide(one, at + waited, store).allowed


def test_an_evicted_value_does_not_start_with_a_full_bucket() -> None:
    compiled, store = compile_with_store(parse_policy("quota q { rate 1/s burst 5 by key most 2 }"))

    def admitted_count(key: str, times: int, now: float) -> int:
        return sum(compiled.decide(QuotaRequest("look", key=key), now, store).allowed for _ in range(times))

    assert [admitted_count(key, 3, 0.0) for key in "ab"] == [3, 3]
    assert [admitted_count(key, 9, 0.0) for key in "cd"] == [5, 0]  # both share one bucket
    assert admitted_count("a", 1, 1000.0) == 1  # b is now the least recently charged, and is full at 3 s
    assert admitted_count("c", 9, 3000.0) == 3  # its own bucket starts with the tokens of the shared one
    assert admitted_count("b", 9, 3000.0) == 3  # a is not evicted before it is full again


def test_lowering_max_values_keeps_what_dropped_values_spent() -> None:
    both = [parse_policy(f"quota q {{ rate 1/s burst 5 by key most {most} }}") for most in (3, 1)]
    store = LocalTokenStore(both[0].limits)
    for key in "abb":
        assert store.take([Charge(0, key)], 0.0) is None
    store.renew(both[1].limits, 0.0)
    assert [sum(store.take([Charge(0, key)], 0.0) is None for _ in range(9)) for key in "ba"] == [3, 4]


def test_shadow_refuses_nothing_and_is_charged_like_the_rest() -> None:
    compiled, store = compile_with_store(
        parse_policy("""quota f { rate 9/s quota s { match class look rate 2/s shadow } }
        quota g { rate 1/s burst 4 shadow }""")
    )
    said = [compiled.decide(QuotaRequest("look"), 0.0, store) for _ in range(10)]
    assert [one.allowed for one in said] == [True] * 9 + [False]
    assert [one.shadowed for one in said] == [""] * 2 + ["f/s"] * 7 + [""]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.booleans(), max_size=300), st.sampled_from((1.0, 3.0)))
def test_a_guaranteed_child_gets_its_tokens_whatever_its_siblings_ask(
    others: list[bool], worth: float
) -> None:
    policy = parse_policy(f"""quota f {{ rate 100/s burst 20
        quota g {{ match class look guaranteed 50/s }}
        quota h {{ match class scan worth {worth} }} }}""")
    compiled, store = compile_with_store(policy)
    now = 0.0
    for flood in others:
        now += 20.0  # 50/s
        for _ in range(10 if flood else 0):
            compiled.decide(QuotaRequest("scan"), now, store)
        assert compiled.decide(QuotaRequest("look"), now, store).allowed


def test_unused_tokens_are_lent_and_higher_worth_goes_first() -> None:
    text = """quota f { rate 100/s burst 21
        quota g { match tenant acme guaranteed 40/s }
        quota h { match class look worth 5 }
        quota l { match class scan worth 1 } }"""
    share = {}
    for mix in (("scan",), ("look", "scan"), ("look", "scan", "acme")):
        compiled, store = compile_with_store(parse_policy(text))
        admitted: dict[str, int] = defaultdict(int)
        for ms in range(20_000):
            for one in mix:
                asked = QuotaRequest("scan", "acme") if one == "acme" else QuotaRequest(one)
                admitted[one] += compiled.decide(asked, float(ms), store).allowed
        share[mix] = {one: round(number / 20) for one, number in admitted.items()}  # per second
    assert abs(share["scan",]["scan"] - 100) <= 2  # everything that idle siblings leave
    assert share["look", "scan"]["look"] >= 98
    assert share["look", "scan"]["scan"] <= 2
    assert abs(share["look", "scan", "acme"]["acme"] - 40) <= 3
    assert abs(share["look", "scan", "acme"]["look"] - 60) <= 3


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.sampled_from((0, 9, 90, 700)), st.sampled_from("ghx"), st.booleans()), max_size=60)
)
def test_a_refunded_take_leaves_no_trace(asked: list[tuple[int, str, bool]]) -> None:
    limits = parse_policy("""quota f { rate 2/s burst 12 quota g { match class g guaranteed 1/s worth 2 }
        quota h { match class h guaranteed 0.5/s } quota x { match class x } }""").limits
    one, other, now = LocalTokenStore(limits), LocalTokenStore(limits), 0.0
    for span, part, refunded in asked:
        now += span
        charges = [Charge(0), Charge(1 + "ghx".index(part))]
        let_in = one.take(charges, now) is None
        if not refunded:
            assert let_in == (other.take(charges, now) is None)
        elif let_in:
            one.refund(charges, now)
            one.refund(charges, now)  # does nothing


def test_with_two_versions_both_must_allow_and_neither_is_charged_alone() -> None:
    wide = compile_with_store(
        parse_policy("quota f { rate 10/s burst 10 quota g { match class look guaranteed 5/s } }")
    )
    tight = compile_with_store(parse_policy("quota f { rate 10/s burst 3 }"))
    said = [decide_all_versions((wide, tight), QuotaRequest("look"), 0.0) for _ in range(8)]
    assert [one.allowed for one in said] == [True] * 3 + [False] * 5
    # The five refused requests took nothing from the wide policy. Of its burst of 10 one token stays, since
    # the reserve of 2.5 still holds half a token.
    assert sum(wide[0].decide(QuotaRequest("look"), 0.0, wide[1]).allowed for _ in range(20)) == 6


def test_changing_rates_adds_no_tokens() -> None:
    text = "schedule s: from 12-01 to 12-24 quota f { rate 10/s burst 10 during s { rate 20/s burst 20 } }"
    policy = parse_policy(text)
    store = LocalTokenStore(policy.limits)
    assert sum(store.take([Charge(0)], 0.0) is None for _ in range(20)) == 10
    store.renew(policy.limits_during(frozenset("s")), 0.0)
    assert store.take([Charge(0)], 0.0) is not None
    assert sum(store.take([Charge(0)], 5000.0) is None for _ in range(40)) == 20
    store.renew(policy.limits_during(frozenset()), 5000.0)
    assert store.take([Charge(0)], 5000.0) is not None
    assert sum(store.take([Charge(0)], 9000.0) is None for _ in range(40)) == 10


def test_retry_after_follows_the_settings_and_the_limit() -> None:
    text = "quota f { match class look rate 1/s } quota g { match class scan rate 1/s retry-after no }"
    for most, expected_wait_ms in ((0.0, 0.0), (500.0, 500.0), (1e9, 1000.0)):
        compiled, store = (
            CompiledPolicy(parse_policy(text).limits, most),
            LocalTokenStore(parse_policy(text).limits),
        )
        said = {
            one: [compiled.decide(QuotaRequest(one), 0.0, store) for _ in "12"][1] for one in ("look", "scan")
        }
        assert (said["look"].refused_by, said["look"].retry_after_ms) == ("f", expected_wait_ms)
        assert (said["scan"].refused_by, said["scan"].retry_after_ms) == ("g", 0.0)


def test_the_first_matching_child_is_chosen_by_any_lookup() -> None:
    quotas = (
        "address 10.0.0.0/8",
        'key "k/1"',
        "key k",
        "address 10.1.0.0/16",
        "key m match address ::/0",
        "key m",
    )
    text = " ".join(f"quota q{i} {{ match {said} }}" for i, said in enumerate(quotas))
    compiled, _ = compile_with_store(parse_policy(f"quota f {{ rate 9/s {text} }}"))
    for key, address, index in (
        ("k/12", "10.1.2.3", 0), ("k/12", "::1", 1), ("k/2", "10.1.2.3", 0), ("k", "", 2),
        ("", "::ffff:10.1.2.3", 0),
        ("m", "192.0.2.1", 5), ("m", "2001:db8::1%eth0", 4), ("m", "none", 5), ("x", "010.1.2.3", -1),
    ):  # fmt: skip
        charges, _ = compiled.charges_for(QuotaRequest("look", key=key, address=address))
        assert [charge.limit for charge in charges[1:]] == ([index + 1] if index >= 0 else [])


def test_names_chosen_by_clients_use_bounded_memory() -> None:
    compiled, store = compile_with_store(
        parse_policy("quota f { rate 9/s by tenant quota a { match tenant acme } }")
    )
    for i in range(MAX_RECENT_PLANS + 9):
        compiled.decide(QuotaRequest("look", f"t{i}", address=f"10.0.0.{i}"), 0.0, store)
    assert len(compiled._recent_plans) <= MAX_RECENT_PLANS
    assert len(compiled._plans) == 1
    assert len(store) <= 1000
