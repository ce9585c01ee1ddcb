"""The compiled decision against the naive interpreter, and what no order of requests may break."""

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
from tests.quota_reference import Reference, asks, policies

Steps = list[tuple[int, QuotaRequest, int]]
steps = st.lists(
    st.tuples(st.sampled_from((0, 0, 7, 60, 400, 9000)), asks, st.sampled_from((1, 4, 12))), max_size=25
)
SOON = 1e-6


def policy_of(text: str) -> Policy:
    policy, findings = read_policy('policy "t"\n' + text)
    assert not findings, findings
    return policy


def moments(asked: Steps) -> Iterator[tuple[int, QuotaRequest]]:
    """Each request with its time."""
    now = 0
    for span, one, times in asked:
        now += span
        yield from ((now, one) for _ in range(times))


def compiled_of(policy: Policy) -> tuple[CompiledPolicy, LocalTokenStore]:
    return CompiledPolicy(policy.limits, 1e9), LocalTokenStore(policy.limits)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(policies(), steps, st.sampled_from((0, limit_lookup.MAX_LINEAR_SEARCH)))
def test_decides_as_the_naive_interpreter(policy: Policy, asked: Steps, few: int) -> None:
    compiled, store = compiled_of(policy)
    reference = Reference(policy)
    with patch.object(limit_lookup, "MAX_LINEAR_SEARCH", few):  # 0: all parts are found by tables
        for now, one in moments(asked):
            verdict = compiled.decide(one, now, store)
            assert (verdict.allowed, bool(verdict.shadowed)) == reference.decide(one, now)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(policies(), steps)
def test_no_window_holds_more_than_its_rate_and_burst(policy: Policy, asked: Steps) -> None:
    compiled, store = compiled_of(policy)
    admitted: dict[Charge, list[int]] = defaultdict(list)
    for now, one in moments(asked):
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
                assert k <= limit.rate_per_s * (last - first) / 1000.0 + limit.burst + SOON


@settings(max_examples=60, deadline=None, derandomize=True)
@given(policies(), steps)
def test_a_refusal_charges_nothing_and_says_when_to_come_back(policy: Policy, asked: Steps) -> None:
    compiled, store = compiled_of(policy)
    waited = 0.0
    for at, one in moments(asked):
        now = at + waited
        before = {id(b): b.tokens for table in store._tables for b in table.values() if b.updated_ms == now}
        verdict = compiled.decide(one, now, store)
        if not verdict.allowed:
            assert verdict.retry_after_ms > 0.0
            after = {id(b): b.tokens for table in store._tables for b in table.values()}
            assert all(after.get(key, tokens) == tokens for key, tokens in before.items())
            waited += verdict.retry_after_ms + SOON
            assert compiled.decide(one, at + waited, store).allowed


def test_a_value_that_was_forgotten_does_not_begin_anew() -> None:
    compiled, store = compiled_of(policy_of("quota q { rate 1/s burst 5 by key most 2 }"))

    def come(key: str, times: int, now: float) -> int:
        return sum(compiled.decide(QuotaRequest("look", key=key), now, store).allowed for _ in range(times))

    assert [come(key, 3, 0.0) for key in "ab"] == [3, 3]
    assert [come(key, 9, 0.0) for key in "cd"] == [5, 0]  # both of one bucket
    assert come("a", 1, 1000.0) == 1  # b was charged longest ago, and is full at 3 s
    assert come("c", 9, 3000.0) == 3  # its own bucket begins as the shared one stands
    assert come("b", 9, 3000.0) == 3  # and a is not forgotten before it is full again


def test_a_policy_that_holds_fewer_values_forgets_none_of_what_they_spent() -> None:
    both = [policy_of(f"quota q {{ rate 1/s burst 5 by key most {most} }}") for most in (3, 1)]
    store = LocalTokenStore(both[0].limits)
    for key in "abb":
        assert store.take([Charge(0, key)], 0.0) is None
    store.renew(both[1].limits, 0.0)
    assert [sum(store.take([Charge(0, key)], 0.0) is None for _ in range(9)) for key in "ba"] == [3, 4]


def test_shadow_refuses_nothing_and_is_charged_like_the_rest() -> None:
    compiled, store = compiled_of(
        policy_of("""quota f { rate 9/s quota s { match class look rate 2/s shadow } }
        quota g { rate 1/s burst 4 shadow }""")
    )
    said = [compiled.decide(QuotaRequest("look"), 0.0, store) for _ in range(10)]
    assert [one.allowed for one in said] == [True] * 9 + [False]
    assert [one.shadowed for one in said] == [""] * 2 + ["f/s"] * 7 + [""]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.booleans(), max_size=300), st.sampled_from((1.0, 3.0)))
def test_a_guaranteed_part_gets_its_tokens_whatever_the_others_ask(others: list[bool], worth: float) -> None:
    policy = policy_of(f"""quota f {{ rate 100/s burst 20
        quota g {{ match class look guaranteed 50/s }}
        quota h {{ match class scan worth {worth} }} }}""")
    compiled, store = compiled_of(policy)
    now = 0.0
    for flood in others:
        now += 20.0  # 50/s
        for _ in range(10 if flood else 0):
            compiled.decide(QuotaRequest("scan"), now, store)
        assert compiled.decide(QuotaRequest("look"), now, store).allowed


def test_idle_parts_lend_and_worth_goes_first() -> None:
    text = """quota f { rate 100/s burst 21
        quota g { match tenant acme guaranteed 40/s }
        quota h { match class look worth 5 }
        quota l { match class scan worth 1 } }"""
    share = {}
    for mix in (("scan",), ("look", "scan"), ("look", "scan", "acme")):
        compiled, store = compiled_of(policy_of(text))
        admitted: dict[str, int] = defaultdict(int)
        for ms in range(20_000):
            for one in mix:
                asked = QuotaRequest("scan", "acme") if one == "acme" else QuotaRequest(one)
                admitted[one] += compiled.decide(asked, float(ms), store).allowed
        share[mix] = {one: round(number / 20) for one, number in admitted.items()}  # a second
    assert abs(share["scan",]["scan"] - 100) <= 2  # all that idle ones leave
    assert share["look", "scan"]["look"] >= 98
    assert share["look", "scan"]["scan"] <= 2
    assert abs(share["look", "scan", "acme"]["acme"] - 40) <= 3
    assert abs(share["look", "scan", "acme"]["look"] - 60) <= 3


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.tuples(st.sampled_from((0, 9, 90, 700)), st.sampled_from("ghx"), st.booleans()), max_size=60)
)
def test_what_is_refunded_was_never_taken(asked: list[tuple[int, str, bool]]) -> None:
    limits = policy_of("""quota f { rate 2/s burst 12 quota g { match class g guaranteed 1/s worth 2 }
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
            one.refund(charges, now)  # finds nothing to undo


def test_while_two_versions_are_in_force_the_lesser_holds_and_none_is_charged_alone() -> None:
    wide = compiled_of(
        policy_of("quota f { rate 10/s burst 10 quota g { match class look guaranteed 5/s } }")
    )
    tight = compiled_of(policy_of("quota f { rate 10/s burst 3 }"))
    said = [decide_all_versions((wide, tight), QuotaRequest("look"), 0.0) for _ in range(8)]
    assert [one.allowed for one in said] == [True] * 3 + [False] * 5
    # What the refused five would have taken of the wide one is still there; of its burst of 10 the last one
    # stays, as its reserve of 2.5 has half a token left.
    assert sum(wide[0].decide(QuotaRequest("look"), 0.0, wide[1]).allowed for _ in range(20)) == 6


def test_other_figures_bring_no_token_of_their_own() -> None:
    text = "schedule s: from 12-01 to 12-24 quota f { rate 10/s burst 10 during s { rate 20/s burst 20 } }"
    policy = policy_of(text)
    store = LocalTokenStore(policy.limits)
    assert sum(store.take([Charge(0)], 0.0) is None for _ in range(20)) == 10
    store.renew(policy.limits_during(frozenset("s")), 0.0)
    assert store.take([Charge(0)], 0.0) is not None
    assert sum(store.take([Charge(0)], 5000.0) is None for _ in range(40)) == 20
    store.renew(policy.limits_during(frozenset()), 5000.0)
    assert store.take([Charge(0)], 5000.0) is not None
    assert sum(store.take([Charge(0)], 9000.0) is None for _ in range(40)) == 10


def test_a_refusal_says_when_only_as_the_settings_and_the_limit_have_it() -> None:
    text = "quota f { match class look rate 1/s } quota g { match class scan rate 1/s retry-after no }"
    for most, told in ((0.0, 0.0), (500.0, 500.0), (1e9, 1000.0)):
        compiled, store = (
            CompiledPolicy(policy_of(text).limits, most),
            LocalTokenStore(policy_of(text).limits),
        )
        said = {
            one: [compiled.decide(QuotaRequest(one), 0.0, store) for _ in "12"][1] for one in ("look", "scan")
        }
        assert (said["look"].refused_by, said["look"].retry_after_ms) == ("f", told)
        assert (said["scan"].refused_by, said["scan"].retry_after_ms) == ("g", 0.0)


def test_the_first_part_that_fits_has_a_request_however_it_is_found() -> None:
    quotas = (
        "address 10.0.0.0/8",
        'key "k/1"',
        "key k",
        "address 10.1.0.0/16",
        "key m match address ::/0",
        "key m",
    )
    text = " ".join(f"quota q{i} {{ match {said} }}" for i, said in enumerate(quotas))
    compiled, _ = compiled_of(policy_of(f"quota f {{ rate 9/s {text} }}"))
    for key, address, index in (
        ("k/12", "10.1.2.3", 0), ("k/12", "::1", 1), ("k/2", "10.1.2.3", 0), ("k", "", 2),
        ("", "::ffff:10.1.2.3", 0),
        ("m", "192.0.2.1", 5), ("m", "2001:db8::1%eth0", 4), ("m", "none", 5), ("x", "010.1.2.3", -1),
    ):  # fmt: skip
        charges, _ = compiled.charges_for(QuotaRequest("look", key=key, address=address))
        assert [charge.limit for charge in charges[1:]] == ([index + 1] if index >= 0 else [])


def test_names_from_outside_fill_no_memory() -> None:
    compiled, store = compiled_of(policy_of("quota f { rate 9/s by tenant quota a { match tenant acme } }"))
    for i in range(MAX_RECENT_PLANS + 9):
        compiled.decide(QuotaRequest("look", f"t{i}", address=f"10.0.0.{i}"), 0.0, store)
    assert len(compiled._recent_plans) <= MAX_RECENT_PLANS
    assert len(compiled._plans) == 1
    assert len(store) <= 1000
