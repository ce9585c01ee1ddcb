"""First tries, drawn ahead of the run: who asks what and when, surges included."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import pairwise

import numpy as np
from numpy.typing import NDArray

from lupinlink.lab.model.fault_kinds import Fault
from lupinlink.lab.model.scenario import ClassSpec, Load, Scenario
from lupinlink.lab.model.streams import Streams

Floats = NDArray[np.float64]
Ints = NDArray[np.int64]


@dataclass(slots=True, frozen=True)
class Arrivals:
    """Arrays of one length, in order of time. Times are milliseconds from the start."""

    at: Floats
    class_index: Ints
    member: Ints
    key: Ints
    zone: Ints
    work: Floats  # milliseconds of one standard core
    wait: Floats
    over_quota: NDArray[np.bool_]  # beyond its member's share
    number: Ints  # of the first try within the whole run

    def __len__(self) -> int:
        return len(self.at)

    def of_zone(self, zone: int) -> Arrivals:
        """Those of one zone's clients, under the numbers that they have in the whole."""
        mine = self.zone == zone
        return Arrivals(
            self.at[mine], self.class_index[mine], self.member[mine], self.key[mine], self.zone[mine],
            self.work[mine], self.wait[mine], self.over_quota[mine], self.number[mine],
        )  # fmt: skip


def draw(scenario: Scenario, streams: Streams) -> Arrivals:
    """Every first try of a run; each member and each figure has a stream of its own."""
    load, zones = scenario.load, len(scenario.network.zones)
    total = sum(m.share for m in scenario.members.values())
    bursts = _bursts(load, scenario.seconds * 1000.0, streams)
    times, members, over = [], [], []
    for index, (name, member) in enumerate(scenario.members.items()):
        at = _times(scenario, name, load.rate * member.share / total, bursts, streams)
        times.append(at)
        members.append(np.full(len(at), index, dtype=np.int64))
        over.append(_over(at, member.quota_per_s))
    at = np.concatenate(times)
    order = np.argsort(at, kind="stable")
    count = len(at)
    classes = list(scenario.classes.values())
    shares = np.array([c.share for c in classes])
    class_index = streams.generator("class").choice(len(classes), size=count, p=shares / shares.sum())
    work, wait = np.empty(count), np.empty(count)
    for index, cls in enumerate(classes):
        mine = class_index == index
        number = int(mine.sum())
        work[mine] = _amounts(cls, cls.work_ms, number, streams, f"work {index}")
        wait[mine] = _amounts(cls, cls.wait_ms, number, streams, f"wait {index}")
    ranks = np.arange(1, load.keys + 1, dtype=float) ** -load.key_skew
    key = np.searchsorted(np.cumsum(ranks / ranks.sum()), streams.generator("key").random(count))
    even = (1.0 - load.zone_skew) / zones
    zone_shares = np.full(zones, even)
    zone_shares[0] += load.zone_skew
    zone = streams.generator("zone").choice(zones, size=count, p=zone_shares)
    for name, fault in scenario.faults.items():
        if fault.kind == "zone_shift":
            start, end = _span(fault)
            moved = streams.generator(f"shift {name}").random(count) < (fault.share or 0.0)
            zone[moved & (at[order] >= start) & (at[order] < end)] = scenario.network.zones.index(
                fault.zone or ""
            )
    return Arrivals(
        at[order], class_index.astype(np.int64), np.concatenate(members)[order], key.astype(np.int64),
        zone.astype(np.int64), work, wait, np.concatenate(over)[order], np.arange(count),
    )  # fmt: skip


def _amounts(cls: ClassSpec, mean: float, count: int, streams: Streams, name: str) -> Floats:
    if mean <= 0.0 or cls.spread == "fixed":
        return np.full(count, mean)
    generator = streams.generator(name)
    if cls.spread == "exponential":
        return generator.exponential(mean, count)
    variance = np.log1p(cls.cv**2)  # of the logarithm, so that the mean and the cv come out as asked
    return generator.lognormal(np.log(mean) - variance / 2.0, np.sqrt(variance), count)


def _bursts(load: Load, length_ms: float, streams: Streams) -> list[tuple[float, float]]:
    """When all members burst together: a two-state Markov-modulated Poisson process."""
    if load.shape != "bursty":
        return []
    generator, at = streams.generator("bursts"), 0.0
    found: list[tuple[float, float]] = []
    calm_ms = load.burst_ms * (1.0 - load.burst_share) / load.burst_share
    while True:
        at += generator.exponential(calm_ms)
        if at >= length_ms:
            return found
        end = at + generator.exponential(load.burst_ms)
        found.append((at, min(end, length_ms)))
        at = end


def _times(
    scenario: Scenario, member: str, rate: float, bursts: list[tuple[float, float]], streams: Streams
) -> Floats:
    """A Poisson process whose rate is constant between the marks at which anything changes."""
    length, load = scenario.seconds * 1000.0, scenario.load
    surges = [
        f
        for f in scenario.faults.values()
        if f.kind == "surge" or (f.kind == "member_surge" and f.member == member)
    ]
    marks = {0.0, length}
    for start, end in [*bursts, *(_span(f) for f in surges)]:
        marks |= {min(start, length), min(end, length)}
    edges = sorted(marks)
    calm = 1.0
    if bursts:
        calm = (1.0 - load.burst_factor * load.burst_share) / (1.0 - load.burst_share)
    generator = streams.generator(f"arrivals {member}")
    found = []
    for start, end in pairwise(edges):
        middle = (start + end) / 2.0
        factor = calm if bursts else 1.0
        if any(a <= middle < b for a, b in bursts):
            factor = load.burst_factor
        for fault in surges:
            a, b = _span(fault)
            if a <= middle < b:
                factor *= fault.size or 1.0
        count = int(generator.poisson(rate * factor * (end - start) / 1000.0))
        found.append(np.sort(generator.uniform(start, end, count)))
    return np.concatenate(found) if found else np.empty(0)


def _span(fault: Fault) -> tuple[float, float]:
    return fault.at_s * 1000.0, (fault.at_s + fault.for_s) * 1000.0


def _over(at: Floats, quota_per_s: float) -> NDArray[np.bool_]:
    """Which lie beyond a quota: a bucket that holds one second of it."""
    over = np.zeros(len(at), dtype=bool)
    if quota_per_s <= 0.0:
        return over
    tokens, last = quota_per_s, 0.0
    for i, time in enumerate(at.tolist()):
        tokens = min(quota_per_s, tokens + (time - last) * quota_per_s / 1000.0)
        last = time
        if tokens >= 1.0:
            tokens -= 1.0
        else:
            over[i] = True
    return over
