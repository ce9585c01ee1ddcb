"""Weighted selection from buckets: at random, by key, and while items are added and removed."""

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
def test_only_present_items_are_drawn_while_items_come_and_go(
    steps: list[tuple[str, int]], count: int, share: float
) -> None:
    buckets, present = filled(count), set(range(count))
    for step, item in steps:
        if step == "add" and item not in present:
            buckets.add(item, salt(f"s-{item}"), 2.0)
            present.add(item)
        elif step == "remove":
            buckets.remove(item)
            present.discard(item)
        elif step == "set" and item in present:
            buckets.set(item, 3.0)
    assert set(buckets) == present and len(buckets) == len(present)
    if present:
        assert buckets.draw(share) in present
        assert set(buckets.preferred(hash_key("k"), 1, 8, share)) <= present


def test_items_are_drawn_by_their_weights_among_thousands() -> None:
    rng, heavy = Random(1), {item: 9.0 for item in range(0, MANY, 2)}
    buckets = filled(MANY, heavy)
    drawn = Counter(buckets.draw(rng.random()) % 2 for _ in range(20000))
    assert abs(drawn[0] / 20000 - 0.9) < 0.02
    first = Counter(buckets.preferred(hash_key(f"key-{i}"), 1, 8, 0.0)[0] % 2 for i in range(8000))
    assert abs(first[0] / 8000 - 0.9) < 0.03


def test_a_removed_item_moves_few_keys_besides_its_own() -> None:
    buckets = filled(MANY)
    before = [buckets.preferred(hash_key(f"key-{i}"), 1, 8, 0.0)[0] for i in range(8000)]
    buckets.remove(7)
    after = [buckets.preferred(hash_key(f"key-{i}"), 1, 8, 0.0)[0] for i in range(8000)]
    moved = [i for i in range(8000) if before[i] != after[i]]
    assert 7 not in after and len(moved) < 5 * 8000 / MANY


def test_the_items_of_a_key_do_not_depend_on_the_order_of_insertion() -> None:
    one, other = filled(MANY), WeightedBuckets[int]()
    for item in Random(1).sample(range(MANY), MANY):
        other.add(item, salt(f"s-{item}"), 1.0)
    for i in range(300):
        assert one.preferred(hash_key(f"key-{i}"), 3, 8, 0.4) == other.preferred(
            hash_key(f"key-{i}"), 3, 8, 0.4
        )


# If all servers of a very popular key were in one bucket, they would have to take all of its requests.
def test_the_items_of_a_popular_key_are_in_several_buckets() -> None:
    buckets, rng = filled(MANY), Random(1)
    preferred = {buckets.preferred(hash_key("hot"), 640, 8, rng.random())[0] for _ in range(20000)}
    assert 0.9 * 640 < len(preferred) < 1.2 * 640


def test_the_size_of_a_bucket_is_bounded() -> None:
    buckets = filled(MANY)
    buckets_in_turn = [buckets.bucket_items(turn) for turn in range(MANY // MAX_MEAN_BUCKET_SIZE + 4)]
    assert max(map(len, buckets_in_turn)) < 2 * MAX_MEAN_BUCKET_SIZE
    assert set().union(*buckets_in_turn) == set(range(MANY))
