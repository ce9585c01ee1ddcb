"""A proxy is in service only while nobody has a reason to drain it, whatever the order of the calls."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from lupinlink.net.drain_reasons import DrainReasons

WHO = st.sampled_from(["operator", "release", "migration"])


@given(st.lists(st.tuples(WHO, st.booleans()), max_size=30))
def test_it_serves_only_while_nobody_wants_it_out(asked: list[tuple[str, bool]]) -> None:
    turns: list[str] = []

    def back() -> bool:
        turns.append("in")
        return True

    reasons = DrainReasons(lambda: turns.append("out"), back)
    wanted: set[str] = set()
    for who, out in asked:
        (wanted.add if out else wanted.discard)(who)
        reasons.want(who, out)
        assert (turns[-1:] == ["out"]) == bool(wanted)
        assert reasons.only(who) == (wanted == {who})
    assert all(one != other for one, other in pairwise(turns))  # each change is notified once
