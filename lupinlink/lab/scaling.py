"""How the virtual drive's cost grows with servers, proxies and requests: three sizes of each."""

from __future__ import annotations

import io
import resource
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from lupinlink.lab import library
from lupinlink.lab.results import versions, write_whole
from lupinlink.lab.virtual import VirtualDrive

SECONDS = 8.0
# What is varied, the keys that follow it, and its sizes; the rest stays as at the middle one of each.
BASE: dict[str, Any] = {"load.rate": 2000.0, "farm.servers": 160, "proxies.count": 20}
SIZES: dict[str, tuple[float, ...]] = {
    "farm.servers": (80, 160, 320),
    "proxies.count": (10, 20, 40),
    "load.rate": (1000.0, 2000.0, 4000.0),
}


class Cost(Struct, frozen=True):
    """What one run cost. ``us_a_request``: processor time a try, microseconds."""

    varied: str
    size: float
    keys: bool
    tries: int
    cpu_s: float
    us_a_request: float
    peak_memory_mb: float


def measure(varied: str, size: float, keys: bool) -> Cost:
    """Play the calm scenario at that size in a process of its own."""
    sets = {**BASE, varied: size, "seconds": SECONDS, "roster.calls_per_s": 100.0, "load.keys": 20000}
    for member in ("north", "south", "islands"):
        sets[f"members.{member}.quota_per_s"] = 0.0
    if not keys:
        sets["kinds.standard.key_gain"] = 0.0
    drive = VirtualDrive(library.load("calm", sets).scenario, 1)
    began = time.process_time()
    tries = drive.run().referee.tally.tries
    spent = time.process_time() - began
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return Cost(varied, size, keys, tries, round(spent, 3), round(spent / tries * 1e6, 1), round(peak, 1))


def scale(jobs: int) -> list[Cost]:
    """Every size, each in a new process: peak memory is a process's own."""
    asked = [(v, s, keys) for keys in (True, False) for v, sizes in SIZES.items() for s in sizes]
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn"), max_tasks_per_child=1) as pool:
        return list(pool.map(measure, *zip(*asked, strict=True)))


def write(folder: Path, costs: list[Cost]) -> None:
    """scaling.json and scaling.svg."""
    folder.mkdir(parents=True, exist_ok=True)
    held = {"versions": versions(), "base": BASE, "seconds": SECONDS, "costs": costs}
    write_whole(folder / "scaling.json", msgspec.json.format(msgspec.json.encode(held)) + b"\n")
    write_whole(folder / "scaling.svg", plot(costs))


def plot(costs: list[Cost]) -> bytes:
    """One plot: processor time a request against each figure's size over its smallest."""
    from lupinlink.lab import page  # it sets how plots are drawn

    plt = page.plt

    figure, axes = plt.subplots(figsize=(7.0, 3.6))
    colors = {"farm.servers": "#37a", "proxies.count": "#d90", "load.rate": "#2a6"}
    for varied in SIZES:
        for keys in (True, False):
            rows = [c for c in costs if c.varied == varied and c.keys == keys]
            least = rows[0].size
            axes.plot(
                [c.size / least for c in rows], [c.us_a_request for c in rows], marker="o",
                color=colors[varied], linestyle="-" if keys else ":",
                label=f"{varied} from {least:g}" + ("" if keys else ", no key memory"),
            )  # fmt: skip
    axes.set_xscale("log", base=2)
    axes.set_xticks([1, 2, 4], ["1", "2", "4"])
    axes.set_xlabel("times the smallest")
    axes.set_ylabel("µs of processor a request")
    axes.set_ylim(bottom=0)
    axes.spines[["top", "right"]].set_visible(False)
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    return text.getvalue().encode()
