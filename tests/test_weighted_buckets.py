"""Weighted draws in buckets, against plain sums: by chance, by key, and as items come and go."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lupinlink.spread.key_affinity import hash_key, salt
from lupinlink.spread.weighted_buckets import MAX_MEAN_BUCKET_SIZE, WeightedBuckets

MANY = 3200


def filled(count: int, weight_of: dict[int, float] | None = None) -> WeightedBuckets[int]:
    buckets: WeightedBuckets[int] = WeightedBuckets()
    for item in range(count):
        buckets.add(item, salt(f"s-{item}"), (weight_of or {}).get(item, 1.0))
    return buckets


STEPS = st.lists(st.tuples(st.sampled_from(["add", "remove", "set"]), st.integers(0, 2000)), max_size=40)


@hypothesis_settings(deadline=None)
@given(STEPS, st.sampled_from([1, 200, 700, 1500]), st.floats(0.0, 1.0, exclude_max=True))
def test_whoever_comes_and_goes_the_draw_is_of_those_that_are_here(
    steps: list[tuple[str, int]], count: int, share: float
) -> None:
    buckets, here = filled(count), set(range(count))
    for step, item in steps:
        if step == "add" and item not in here:
            buckets.add(item, salt(f"s-{item}"), 2.0)
            here.add(item)
        elif step == "remove":
            buckets.remove(item)
            here.discard(item)
        elif step == "set" and item in here:
            buckets.set(item, 3.0)
    assert set(buckets) == here and len(buckets) == len(here)
    if here:
        assert buckets.draw(share) in here
        assert set(buckets.preferred(hash_key("k"), 1, 8, share)) <= here


def test_items_are_drawn_by_their_weights_among_thousands() -> None:
    rng, heavy = Random(1), {item: 9.0 for item in range(0, MANY, 2)}
    buckets = filled(MANY, heavy)
    drawn = Counter(buckets.draw(rng.random()) % 2 for _ in range(20000))
    assert abs(drawn[0] / 20000 - 0.9) < 0.02
    first = Counter(buckets.preferred(hash_key(f"key-{i}"), 1, 8, 0.0)[0] % 2 for i in range(8000))
    assert abs(first[0] / 8000 - 0.9) < 0.03


def test_a_lost_item_moves_few_keys_but_its_own() -> None:
    buckets = filled(MANY)
    before = [buckets.preferred(hash_key(f"key-{i}"), 1, 8, 0.0)[0] for i in range(8000)]
    buckets.remove(7)
    after = [buckets.preferred(hash_key(f"key-{i}"), 1, 8, 0.0)[0] for i in range(8000)]
    moved = [i for i in range(8000) if before[i] != after[i]]
    assert 7 not in after and len(moved) < 5 * 8000 / MANY


def test_processes_that_met_the_items_in_another_order_agree_on_a_keys_home() -> None:
    one, other = filled(MANY), WeightedBuckets[int]()
    for item in Random(1).sample(range(MANY), MANY):
        other.add(item, salt(f"s-{item}"), 1.0)
    for i in range(300):
        assert one.preferred(hash_key(f"key-{i}"), 3, 8, 0.4) == other.preferred(
            hash_key(f"key-{i}"), 3, 8, 0.4
        )


# Guards against a key that is asked for so often that one bucket's servers would bear it all.
def test_a_hot_keys_homes_lie_in_several_buckets() -> None:
    buckets, rng = filled(MANY), Random(1)
    homes = {buckets.preferred(hash_key("hot"), 640, 8, rng.random())[0] for _ in range(20000)}
    assert 0.9 * 640 < len(homes) < 1.2 * 640


def test_a_bucket_is_bounded() -> None:
    buckets = filled(MANY)
    in_turn = [buckets.bucket_items(turn) for turn in range(MANY // MAX_MEAN_BUCKET_SIZE + 4)]
    assert max(map(len, in_turn)) < 2 * MAX_MEAN_BUCKET_SIZE
    assert set().union(*in_turn) == set(range(MANY))
