"""The stand-in agreement service's state by itself: indexes rise, what is rolled back leaves nothing."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lupinlink.lab.fleet.consul_state import State, Step

STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(
            ["set", "cas", "delete", "delete-cas", "delete-tree", "check-index", "lock", "unlock"]
        ),
        st.sampled_from(["a", "ab", "b"]),
        st.sampled_from([b"1", b"2"]),
        index=st.integers(0, 6),
        session=st.sampled_from(["one", "two"]),
    ),
    max_size=5,
)


class Pure(unittest.TestCase):
    @given(st.lists(STEPS, max_size=8))
    def test_what_is_rolled_back_leaves_nothing_and_indexes_only_rise(
        self, all_steps: list[list[Step]]
    ) -> None:
        state = State()
        name = state.create(0.0, "", 0.0, 0.0, False)
        for steps in all_steps:
            before, index = state.view(), state.index
            newest = {prefix: state.records.index(prefix, False) for prefix in ("", "a", "b")}
            named = [
                Step(s.verb, s.key, s.value, 0, s.index, name if s.session == "one" else "") for s in steps
            ]
            rows, errors = state.transact(0.0, named)
            if errors:
                self.assertEqual((rows, state.records.rows, state.index), ([], before.rows, index))
                self.assertEqual(state.records.graves, before.graves)
            for prefix, was in newest.items():
                self.assertGreaterEqual(state.records.index(prefix, False), was)
