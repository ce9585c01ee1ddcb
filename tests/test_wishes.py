"""Who wants a proxy out: in service only while nobody does, in any order of wishes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lupinlink.net.wishes import Wishes

WHO = st.sampled_from(["operator", "release", "migration"])


@given(st.lists(st.tuples(WHO, st.booleans()), max_size=30))
def test_it_serves_only_while_nobody_wants_it_out(asked: list[tuple[str, bool]]) -> None:
    turns: list[str] = []
    wishes = Wishes(lambda: turns.append("out"), lambda: bool(turns.append("in")) or True)
    wanted: set[str] = set()
    for who, out in asked:
        (wanted.add if out else wanted.discard)(who)
        wishes.want(who, out)
        assert (turns[-1:] == ["out"]) == bool(wanted)
        assert wishes.only(who) == (wanted == {who})
    assert all(one != other for one, other in zip(turns, turns[1:], strict=False))  # and is told once
