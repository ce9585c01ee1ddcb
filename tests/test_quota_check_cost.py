"""The work for a policy that an operator sends is in proportion to its length."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from lupinlink.quota.loading import check_text
from lupinlink.quota.reachability import KnownNames
from tests.work_growth import MAX_GROWTH, work_growth

KNOWN = KnownNames(("look",), (), ("a",), 2000.0, True)
KEY_BYTES = 7
POLICY_BYTES = 7000  # the larger one is near the limit of a call


def checking(size: int) -> Callable[[], object]:
    """The check of a policy of about this size, whose two quotas name the same keys."""
    keys = ", ".join(f"k{i:04}" for i in range(size // (2 * KEY_BYTES)))
    inner = f"quota inner {{ rate 1/s burst 2 match key {keys} }}"
    text = f'policy "v" quota outer {{ rate 9/s burst 9 retry-after yes match key {keys} {inner} }}'
    return lambda: check_text(text, KNOWN)


class PolicyCost(unittest.TestCase):
    def test_a_policy_with_many_keys_does_not_hold_up_the_event_loop(self) -> None:
        # Guards against a hang by an operator's call: each key is compared with each key of the parent.
        self.assertLess(work_growth(checking, POLICY_BYTES), MAX_GROWTH)


if __name__ == "__main__":
    unittest.main()
