"""Runs set side by side: differences with bootstrap intervals over seeds, and whether they are noise."""

from __future__ import annotations

from pathlib import Path

import numpy as np
from msgspec import Struct

from lupinlink.lab.model.streams import Streams
from lupinlink.lab.results import ResultsError, Summary, read_summary

RESAMPLES = 10_000
LEVEL = 0.95
FIGURES = ("G", "whole", "worst_window", "worst_class", "worst_member")
FLEET_FIGURES = {  # of a fleet's summary, by its part: less is better
    "spread": ("max_over_mean_p50", "max_over_mean_p99", "cv_p50", "idle_share"),
    "costs": (
        "new_connections_per_s", "probes_per_s", "connections_a_server_max", "calls_per_s_max",
        "calls_failed",
    ),
}  # fmt: skip


class Difference(Struct, frozen=True):
    """One figure of one folder against the base, over the seeds that both have."""

    scenario: str
    figure: str
    base: float
    other: float
    seeds: int
    low: float  # of the interval of the mean difference
    high: float
    verdict: str  # better, worse, noise, one seed


def runs(folder: Path) -> dict[tuple[str, str, int], Summary]:
    """Every run at or under a folder, by its step's name, scenario and seed."""
    paths = sorted(folder.rglob("summary.json")) if folder.is_dir() else []
    found = {}
    for path in paths:
        summary = read_summary(path.parent)
        step = str(path.parent.relative_to(folder).parent)
        found[step, summary.scenario, summary.seed] = summary
    if not found:
        raise ResultsError(f"{folder}: holds no run (no summary.json at or under it)")
    return found


def interval(differences: np.ndarray, seed: int = 0) -> tuple[float, float]:
    """Bootstrap interval of a mean (Efron's percentile method); draws follow from ``seed``."""
    generator = Streams(seed).generator("bootstrap")
    picks = generator.integers(0, len(differences), (RESAMPLES, len(differences)))
    means = differences[picks].mean(axis=1)
    edge = 100.0 * (1.0 - LEVEL) / 2.0
    return float(np.percentile(means, edge)), float(np.percentile(means, 100.0 - edge))


def figures(summary: Summary) -> dict[str, float]:
    """What two runs are compared by; a return that never came counts as the whole run."""
    found = {name: summary.service[name] for name in FIGURES}
    for part, names in FLEET_FIGURES.items():
        found |= {name: summary.fleet[part][name] for name in names if part in summary.fleet}
    for back in summary.fleet.get("returns", []):
        after = back["back_after_s"]
        found[f"{back['fault']} back_after_s"] = summary.seconds if after is None else after
    return found


def verdict(differences: np.ndarray, low: float, high: float) -> str:
    """Whether a difference is more than noise."""
    if len(differences) < 2:
        return "same" if not differences.any() else "one seed"
    if low > 0.0:
        return "better"
    return "worse" if high < 0.0 else "noise"


def compare(base: Path, other: Path) -> list[Difference]:
    """Each figure of ``other`` against ``base``, scenario by scenario and step by step, paired by seed."""
    ours, theirs = runs(base), runs(other)
    shared = sorted(set(ours) & set(theirs))
    if not shared:
        raise ResultsError(f"{other}: shares no scenario and seed with {base}")
    found = []
    for step, scenario in sorted({key[:2] for key in shared}):
        seeds = [seed for s, name, seed in shared if (s, name) == (step, scenario)]
        before = [figures(ours[step, scenario, seed]) for seed in seeds]
        after = [figures(theirs[step, scenario, seed]) for seed in seeds]
        for figure in before[0]:
            if not all(figure in found for found in (*before, *after)):
                continue  # one of them was not played on a fleet
            a, b = (np.array([found[figure] for found in side]) for side in (before, after))
            low, high = interval(b - a)
            sign = 1.0 if figure in FIGURES else -1.0
            name = scenario if step == "." else f"{scenario} {step}"
            found.append(
                Difference(
                    name,
                    figure,
                    float(a.mean()),
                    float(b.mean()),
                    len(seeds),
                    low,
                    high,
                    verdict(sign * (b - a), *sorted((sign * low, sign * high))),
                )  # fmt: skip
            )
    return found
