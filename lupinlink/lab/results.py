"""A run's folder: what was played, what came of it, every request's record, whether it came to its end."""

from __future__ import annotations

import gzip
import os
import platform
import tempfile
from collections.abc import Iterable, Iterator
from dataclasses import asdict
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from msgspec import Struct, field

from lupinlink import __version__
from lupinlink.lab.errors import ResultsError as ResultsError
from lupinlink.lab.model.referee import Broken, Referee, Reply, Try
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.windows import FleetSecond
from lupinlink.lab.model.world import World

SERVERS = "servers.jsonl"  # of the fleet drive: a FleetSecond a line
FORMAT = 1  # of summary.json; a reader refuses what it does not know
MOST_US, DIGITS = 60_000_000, 3  # histograms: up to a minute, to three digits
QUANTILES = (50.0, 90.0, 99.0, 99.9)
PACKAGES = ("twisted", "numpy", "msgspec", "hdrhistogram", "matplotlib")


class Latencies(Struct, frozen=True):
    """Quantiles of served requests in milliseconds, from whole at the proxy to the answer's last byte."""

    count: int
    mean_ms: float
    quantiles_ms: dict[str, float]


class Summary(Struct, frozen=True):
    """summary.json: the figures of one run. The schema is documented in docs/operators/lab.md."""

    format: int
    complete: bool
    scenario: str
    drive: str
    seed: int
    seconds: float
    started_at: str
    wall_s: float
    service: dict[str, float]
    rules_broken: dict[str, int]
    tally: dict[str, float]
    open_tries: int  # that had not ended
    by_class: dict[str, float]
    by_member: dict[str, float]
    latencies: dict[str, Latencies]
    histograms: dict[str, str] = field(default_factory=dict)  # of microseconds, as HdrHistogram encodes them
    faults: list[dict[str, Any]] = field(default_factory=list)
    broken: list[dict[str, Any]] = field(default_factory=list)
    versions: dict[str, str] = field(default_factory=dict)
    drive_figures: dict[str, float] = field(default_factory=dict)
    fleet: dict[str, Any] = field(default_factory=dict)  # of the fleet drive: docs/operators/fleet-rig.md


class SecondRow(Struct, frozen=True):
    """A line of seconds.jsonl."""

    at_s: int
    offered: int
    served: int
    refused: int
    failed: int
    attempts: int
    open_tries: int
    asked_worth: float
    earned_worth: float
    quantiles_ms: dict[str, float]
    held: dict[str, int]
    by_proxy: list[int]


class Record(Struct, frozen=True, omit_defaults=True):
    """A line of requests.jsonl.gz: one try. Times are milliseconds from the run's start."""

    name: str
    first: int
    number: int
    proxy: int
    cls: int
    member: int
    at: float
    deadline: float
    answers: list[tuple[float, str]] = field(default_factory=list)
    sent: list[tuple[str, float, float | None, float | None, str | None]] = field(default_factory=list)
    left: float | None = None


def write_whole(path: Path, data: bytes) -> None:
    """Put a file in place whole: a temporary one beside it, fsync, rename."""
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(name, 0o644)
        os.replace(name, path)
    except BaseException:
        Path(name).unlink(missing_ok=True)
        raise


def versions() -> dict[str, str]:
    """What this was measured with."""
    found = {"lupinlink": __version__, "python": platform.python_version()}
    for name in PACKAGES:
        try:
            found[name] = version(name)
        except PackageNotFoundError:
            continue
    return found


class Keeper:
    """Takes every try as it ends: histograms, seconds, and its record on disk at once."""

    def __init__(self, scenario: Scenario, folder: Path | None, began: float) -> None:
        self.scenario, self.folder, self.began = scenario, folder, began
        self.by_class = [HdrHistogram(1, MOST_US, DIGITS) for _ in scenario.classes]
        self.by_member = [HdrHistogram(1, MOST_US, DIGITS) for _ in scenario.members]
        self.by_second: dict[int, HdrHistogram] = {}
        self.summed: dict[int, dict[str, float]] = {}  # quantiles of seconds that are long over
        self.records = 0
        self._encoder = msgspec.json.Encoder()
        self._file: gzip.GzipFile | None = None
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            # No time in the header: equal runs give equal files.
            self._raw = (folder / "requests.jsonl.gz").open("wb")
            self._file = gzip.GzipFile("", "wb", 5, self._raw, mtime=0)

    def ended(self, request: Try) -> None:
        """Nothing more can come of this try."""
        self.records += 1
        began = self.began
        if request.answers and request.answers[0][1] is Reply.SERVED:
            at = request.answers[0][0]
            latency = max(1, min(MOST_US, int((at - request.at) * 1000.0)))
            self.by_class[request.class_index].record_value(latency)
            self.by_member[request.member].record_value(latency)
            second = int((at - began) // 1000.0)
            histogram = self.by_second.get(second)
            if histogram is None:
                histogram = self.by_second[second] = HdrHistogram(1, MOST_US, 2)
            histogram.record_value(latency)
        if self._file is not None:
            self._file.write(self._encoder.encode(record(request, began)) + b"\n")

    def flush(self) -> None:
        """Let what is known so far be on disk."""
        if self._file is not None:
            self._file.flush()

    def close(self) -> None:
        """No more will come."""
        if self._file is not None:
            self._file.close()
            self._raw.close()
            self._file = None


def record(request: Try, began: float) -> Record:
    """A try as it is kept."""

    def at(time: float | None) -> float | None:
        return None if time is None else round(time - began, 3)

    sent = [
        (s.server, round(s.at - began, 3), at(s.arrived), at(s.ended), s.end.value if s.end else None)
        for s in request.sent
    ]
    answers = [(round(t - began, 3), what.value) for t, what, _ in request.answers]
    return Record(
        request.name, request.first, request.number, request.proxy, request.class_index, request.member,
        round(request.at - began, 3), round(request.deadline - began, 3), answers, sent, at(request.left),
    )  # fmt: skip


def latencies(histogram: Any) -> Latencies:
    """A histogram's figures."""
    count = int(histogram.get_total_count())
    if not count:
        return Latencies(0, 0.0, {})
    found = histogram.get_percentile_to_value_dict(list(QUANTILES))
    quantiles = {f"p{q:g}": found[q] / 1000.0 for q in QUANTILES}
    return Latencies(count, round(histogram.get_mean_value() / 1000.0, 3), quantiles)


def summary(
    world: World, keeper: Keeper, drive: str, seed: int, started_at: str, wall_s: float, complete: bool,
    drive_figures: dict[str, float], fleet: dict[str, Any] | None = None,
) -> Summary:  # fmt: skip
    """The figures of a run, at its end or so far; those so far lack the latencies, which take long to sum."""
    scenario, referee = world.scenario, world.referee
    classes, members = list(scenario.classes), list(scenario.members)
    named: dict[str, Any] = {}
    if complete:
        named |= {f"class {n}": h for n, h in zip(classes, keeper.by_class, strict=True)}
        named |= {f"member {n}": h for n, h in zip(members, keeper.by_member, strict=True)}
    return Summary(
        format=FORMAT,
        complete=complete,
        scenario=scenario.name,
        drive=drive,
        seed=seed,
        seconds=scenario.seconds,
        started_at=started_at,
        wall_s=round(wall_s, 3),
        service={name: round(value, 6) for name, value in referee.service().items()},
        rules_broken={str(rule): referee.counts[rule] for rule in range(1, 5)},
        tally={name: round(value, 3) for name, value in asdict(referee.tally).items()},
        open_tries=referee.open,
        by_class={n: round(s.share, 6) for n, s in zip(classes, referee.by_class, strict=True)},
        by_member={n: round(s.share, 6) for n, s in zip(members, referee.by_member, strict=True)},
        latencies={name: latencies(h) for name, h in named.items()},
        histograms={name: h.encode().decode() for name, h in named.items()},
        faults=[
            {"name": f.name, "kind": f.kind, "start_s": round((f.start_ms - world.began) / 1000.0, 3),
             "end_s": round((f.end_ms - world.began) / 1000.0, 3), "targets": f.targets}
            for f in world.script.happened
        ],
        broken=[_broken(b, world.began) for b in referee.broken],
        versions=versions(),
        drive_figures={name: round(value, 6) for name, value in drive_figures.items()},
        fleet=fleet or {},
    )  # fmt: skip


def _broken(broken: Broken, began: float) -> dict[str, Any]:
    return {"rule": broken.rule, "at_s": round((broken.at - began) / 1000.0, 4), "what": broken.what,
            "request": broken.request, "story": broken.story}  # fmt: skip


def second_rows(world: World, keeper: Keeper) -> Iterator[SecondRow]:
    """What each second was like."""
    referee: Referee = world.referee
    first = int(world.began // 1000.0)
    for s in world.seconds:
        quantiles = keeper.summed.get(s.at_s)
        if quantiles is None:
            histogram = keeper.by_second.get(s.at_s)
            quantiles = latencies(histogram).quantiles_ms if histogram is not None else {}
            if s.at_s + 1 < len(world.seconds):
                keeper.summed[s.at_s] = quantiles
        sums = referee.by_second.get(first + s.at_s)
        yield SecondRow(
            s.at_s, s.offered, s.served, s.refused, s.failed, s.attempts, s.open_tries,
            round(sums.asked, 3) if sums else 0.0, round(sums.earned, 3) if sums else 0.0,
            quantiles, s.held, s.by_proxy,
        )  # fmt: skip


def contents(world: World, keeper: Keeper, figures: Summary) -> dict[str, bytes]:
    """A run's files by name, all but the records, which are there already."""
    pretty = msgspec.json.format
    return {
        "scenario.json": pretty(msgspec.json.encode(world.scenario)) + b"\n",
        "seconds.jsonl": lines(second_rows(world, keeper)),
        "summary.json": pretty(msgspec.json.encode(figures)) + b"\n",
    }


def lines(structs: Iterable[Struct]) -> bytes:
    """Structs as JSON, a line each."""
    return b"".join(msgspec.json.encode(one) + b"\n" for one in structs)


def write(folder: Path, files: dict[str, bytes]) -> None:
    """Put files in place, each whole."""
    for name, data in files.items():
        write_whole(folder / name, data)


def read_summary(folder: Path) -> Summary:
    """A run's summary; raises ResultsError in one line."""
    path = folder / "summary.json"
    try:
        found: Summary = msgspec.json.decode(path.read_bytes(), type=Summary)
    except FileNotFoundError as exc:
        raise ResultsError(f"{folder}: holds no run (no summary.json)") from exc
    except (OSError, msgspec.MsgspecError) as exc:
        raise ResultsError(f"{path}: {' '.join(str(exc).split())}") from exc
    if found.format != FORMAT:
        raise ResultsError(f"{path}: format {found.format}, this program reads {FORMAT}")
    return found


def read_seconds(folder: Path) -> list[SecondRow]:
    """A run's seconds."""
    lines = (folder / "seconds.jsonl").read_bytes().splitlines()
    return [msgspec.json.decode(line, type=SecondRow) for line in lines]


def read_fleet(folder: Path) -> list[FleetSecond]:
    """A fleet's seconds by server; none of another drive's run."""
    path = folder / SERVERS
    found = path.read_bytes().splitlines() if path.exists() else []
    return [msgspec.json.decode(line, type=FleetSecond) for line in found]


def read_records(folder: Path) -> Iterator[Record]:
    """A run's records, as far as a run that was cut short wrote them."""
    decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)
    with gzip.open(folder / "requests.jsonl.gz", "rb") as file:
        try:
            for line in file:
                yield decoder.decode(line)
        except (EOFError, msgspec.DecodeError):
            return  # killed midway: what was flushed before stands
