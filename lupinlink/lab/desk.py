"""What the lab's commands do: results on standard output, all else on standard error."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from lupinlink.lab import library, results
from lupinlink.lab.fleet.rig import FleetDrive
from lupinlink.lab.library import LibraryError, Loaded
from lupinlink.lab.model.referee import Try
from lupinlink.lab.model.scenario_check import unplayable
from lupinlink.lab.results import ResultsError
from lupinlink.lab.sockets import DriveError, SocketsDrive
from lupinlink.lab.virtual import VirtualDrive

DRIVES = ("virtual", "sockets")
LATE_MS = 50.0  # lateness of the emulator that is worth a line
SAVE_MS = 5000.0  # of the run's time: what is known so far is written this often


class WrongError(Exception):
    """A command that cannot be done; ``code`` is its exit code, the text a line a reason."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.code = code


def scenarios(as_json: bool) -> int:
    """List what is shipped."""
    found = []
    for path in library.shipped():
        s = library.load(str(path)).scenario
        found.append({"name": s.name, "about": s.about, "seconds": s.seconds, "rate": s.load.rate,
                      "servers": s.farm.servers, "proxies": s.proxies.count,
                      "faults": [f.kind for f in s.faults.values()]})  # fmt: skip
    if as_json:
        print(json.dumps(found, indent=1))
    else:
        for row in found:
            print(f"{row['name']:16} {row['seconds']:5g} s {row['rate']:7g}/s {row['servers']:5} servers "
                  f"{row['proxies']:4} proxies  {row['about']}")  # fmt: skip
    return 0


def check(names: list[str], as_json: bool) -> int:
    """Say what is wrong with scenario files."""
    bad = []
    for name in names:
        try:
            loaded = library.load(name)
        except LibraryError as exc:
            bad.append({"file": name, "flaws": exc.lines})
            if not as_json:
                print("\n".join(exc.lines))
        else:
            if not as_json:
                s = loaded.scenario
                print(f"{name}: good: {s.name}, {s.seconds:g} s, {len(s.faults)} faults")
    if as_json:
        print(json.dumps(bad, indent=1))
    return 1 if bad else 0


def load_scenario(name: str, sets: dict[str, Any]) -> Loaded:
    """A scenario by name or file; raises WrongError."""
    try:
        return library.load(name, sets)
    except LibraryError as exc:
        raise WrongError("\n".join(exc.lines), 1) from exc


def _drive(name: str) -> str:
    if name not in DRIVES:
        raise WrongError(f"--drive: {name!r} is none of {', '.join(DRIVES)}", 2)
    return name


def run(name: str, drive: str, seed: int, out: str | None, sets: dict[str, Any], as_json: bool) -> int:
    """Play a scenario once."""
    found = play(load_scenario(name, sets), _drive(drive), seed, Path(out) if out else None)
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(found)).decode())
    else:
        print(told(found))
    return 0 if found.complete and not any(found.rules_broken.values()) else 1


Machine = VirtualDrive | SocketsDrive | FleetDrive
Build = Callable[[asyncio.AbstractEventLoop, Callable[[Try], None]], FleetDrive]


def play(
    loaded: Loaded, drive: str, seed: int, folder: Path | None, build: Build | None = None
) -> results.Summary:
    """Play a scenario on a drive; what is known so far is on disk all the while. ``build``: of a fleet."""
    scenario = loaded.scenario
    flaws = unplayable(scenario, drive)
    if flaws:
        raise WrongError("\n".join(map(str, flaws)), 2)
    started_at = datetime.now(UTC).isoformat(timespec="seconds")
    began = time.monotonic()
    keeper: results.Keeper

    def ended(request: Try) -> None:
        keeper.began = world.began
        keeper.ended(request)

    loop: asyncio.AbstractEventLoop | None = None
    machine: Machine
    if build is not None:
        loop = asyncio.new_event_loop()
        machine = build(loop, ended)
    elif drive == "sockets":
        loop = asyncio.new_event_loop()
        machine = SocketsDrive(scenario, seed, loop, ended)
    else:
        machine = VirtualDrive(scenario, seed, ended)
    world = machine.world
    try:
        keeper = results.Keeper(scenario, folder, world.began)
    except OSError as exc:
        raise WrongError(f"{folder}: {exc.strerror or exc}", 2) from exc

    def figures(complete: bool) -> results.Summary:
        wall = time.monotonic() - began
        tries = world.referee.tally.tries
        usage = {
            "calls": float(machine.clock.made),
            "requests_per_s": tries / max(wall, 1e-9),
            "peak_memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
        }
        if not isinstance(machine, VirtualDrive):
            usage |= machine.figures
        of_fleet = machine.fleet if isinstance(machine, FleetDrive) else {}
        return results.summary(world, keeper, drive, seed, started_at, wall, complete, usage, of_fleet)

    def save() -> None:
        if folder is not None:
            keeper.flush()
            files = results.contents(world, keeper, figures(False))
            if loop is None:
                results.write(folder, files)
            else:
                # A disk that takes its time must not make the emulator late.
                loop.run_in_executor(None, results.write, folder, files)
        _progress(
            f"{scenario.name}: {(machine.clock.now() - world.began) / 1000.0:.0f} of {scenario.seconds:g} s"
        )
        machine.clock.at(machine.clock.now() + SAVE_MS, save)

    machine.clock.at(machine.clock.now(), save)

    numbers = (signal.SIGTERM, signal.SIGINT)
    before = [signal.signal(number, lambda *_: machine.stop()) for number in numbers]
    complete = False
    try:
        if not isinstance(machine, VirtualDrive):
            assert loop is not None
            loop.run_until_complete(machine.run())
        else:
            machine.run()
        complete = not machine.stopped
        if not complete:
            print("lupinlink: stopped before its end", file=sys.stderr)
    except DriveError as exc:
        print(f"lupinlink: {exc.line()}", file=sys.stderr)
    finally:
        for number, handler in zip(numbers, before, strict=True):
            signal.signal(number, handler)
        found = figures(complete)
        if folder is not None:
            files = results.contents(world, keeper, found)
            if isinstance(machine, FleetDrive):
                files[results.SERVERS] = results.lines(machine.seconds)
            results.write(folder, files)
        keeper.close()
        if loop is not None:
            loop.run_until_complete(loop.shutdown_default_executor())
            loop.close()
        _progress("")
    return found


def _progress(text: str) -> None:
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)


def told(found: results.Summary) -> str:
    """A summary for people."""
    service, tally = found.service, found.tally
    head = f"{found.scenario} seed {found.seed} ({found.drive}): G {service['G']:.4f}"
    if not found.complete:
        head += "  INCOMPLETE: figures so far"
    lines = [
        head,
        "  ".join(f"{n} {service[n]:.4f}" for n in ("whole", "worst_window", "worst_class", "worst_member")),
        "prices: " + ", ".join(f"{n[6:]} {v:.4f}" for n, v in service.items() if n.startswith("price_")),
        f"{tally['firsts']:.0f} first tries, {tally['tries']:.0f} tries, {tally['attempts']:.0f} attempts; "
        f"served {tally['served']:.0f}, refused {tally['refused']:.0f}, failed {tally['failed']:.0f}",
    ]
    for name, figures in found.latencies.items():
        if figures.count:
            quantiles = "  ".join(f"{q} {ms:.0f}" for q, ms in figures.quantiles_ms.items())
            lines.append(f"{name:18} {figures.count:7} served  mean {figures.mean_ms:.0f}  {quantiles} ms")
    if any(found.rules_broken.values()):
        counts = ", ".join(f"rule {rule}: {count}" for rule, count in found.rules_broken.items() if count)
        lines.append(f"RULES BROKEN: {counts}")
        for broken in found.broken[:5]:
            lines.append(
                f"  rule {broken['rule']} at {broken['at_s']:.3f} s: {broken['what']} {broken['request']}"
            )
            lines += [f"    {step}" for step in broken["story"]]
    else:
        lines.append("rules kept")
    rate = found.drive_figures.get("requests_per_s", 0.0)
    late = found.drive_figures.get("late_worst_ms", 0.0)
    if late > LATE_MS:
        lines.append(f"the emulator itself ran up to {late:.0f} ms late: figures of that moment are its own")
    lines.append(f"played in {found.wall_s:.1f} s, {rate:.0f} requests a second")
    return "\n".join(lines)


def sweep(
    name: str, key: str, steps: list[float], out: str, seeds: int, drive: str, sets: dict[str, Any]
) -> int:
    """Play a scenario with one figure varied; a folder for each step, in it one for each seed."""
    _drive(drive)
    kept = True
    # Every step is checked before the first is played.
    loaded = [(step, load_scenario(name, {**sets, key: _plain(step)})) for step in steps]
    print(f"{key:>16}  seed  G       whole   worst class  refused  failed  p99 ms  rules")
    for step, scenario in loaded:
        for seed in range(1, seeds + 1):
            folder = Path(out) / f"{key}={step:g}" / f"seed-{seed}"
            found = play(scenario, drive, seed, folder)
            kept = kept and found.complete and not any(found.rules_broken.values())
            tally, service = found.tally, found.service
            slowest = max((f.quantiles_ms.get("p99", 0.0) for f in found.latencies.values()), default=0.0)
            rules = "kept" if not any(found.rules_broken.values()) else "BROKEN"
            print(
                f"{step:16g}  {seed:4}  {service['G']:.4f}  {service['whole']:.4f}  "
                f"{service['worst_class']:.4f}       {tally['refused']:7.0f}  "
                f"{tally['failed']:6.0f}  {slowest:6.0f}  {rules}",
                flush=True,
            )
            if not found.complete:
                return 1
    return 0 if kept else 1


def _plain(step: float) -> float | int:
    """A whole step is a whole number, so that counts can be varied too."""
    return int(step) if step == int(step) else step


def compare(folders: list[str], as_json: bool) -> int:
    """Set runs side by side, the first being the base."""
    from lupinlink.lab import comparing

    if len(folders) < 2:
        raise WrongError("compare: two folders at least", 2)
    found = {}
    try:
        for other in folders[1:]:
            found[other] = comparing.compare(Path(folders[0]), Path(other))
    except ResultsError as exc:
        raise WrongError(exc.line(), 1) from exc
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(found)).decode())
        return 0
    for other, rows in found.items():
        print(f"{other} against {folders[0]}")
        for row in rows:
            print(
                f"  {row.scenario:24} {row.figure:13} {row.base:.4f} -> {row.other:.4f}  "
                f"{row.other - row.base:+.4f} [{row.low:+.4f}, {row.high:+.4f}]  "
                f"{row.seeds} seeds  {row.verdict}"
            )
    return 0


def report(folder: str) -> int:
    """Write a run's page."""
    from lupinlink.lab import page

    try:
        print(page.write(Path(folder)))
    except ResultsError as exc:
        raise WrongError(exc.line(), 1) from exc
    except OSError as exc:
        raise WrongError(f"{exc.filename}: {exc.strerror}", 1) from exc
    return 0


def load(
    target: str, rate: float, seconds: float, path: str, give_up_ms: float, connections: int, seed: int,
    as_json: bool,
) -> int:  # fmt: skip
    """Put a load on an address."""
    from lupinlink.lab import load as tool

    try:
        found = tool.load(target, rate, seconds, path, give_up_ms, connections, seed)
    except ValueError as exc:
        raise WrongError(str(exc), 2) from exc
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(found)).decode())
        return 0

    def row(name: str, figures: results.Latencies) -> str:
        quantiles = "  ".join(f"{q} {ms:.2f}" for q, ms in figures.quantiles_ms.items())
        return f"{name:10} mean {figures.mean_ms:.2f}  {quantiles} ms"

    print(f"{found.sent} sent to {found.target} in {found.seconds:g} s over {found.connections} connections")
    print("answers: " + ", ".join(f"{status}: {count}" for status, count in found.answers.items()))
    print(row("latency", found.latency))
    print(row("sent late", found.send_error))
    print(f"own CPU {found.cpu_share:.2f} of a core")
    return 0


def herd(proxies: int, calls_per_s: float, seed: int, as_json: bool) -> int:
    """Start many proxies at once."""
    from lupinlink.lab import herd as tool

    if calls_per_s <= 0.0:
        raise WrongError(f"--calls: {calls_per_s:g} is not over 0", 2)
    print(told_plainly(tool.start(proxies, calls_per_s, seed), as_json))
    return 0


def told_plainly(found: msgspec.Struct, as_json: bool) -> str:
    """A line a figure, or JSON."""
    if as_json:
        return msgspec.json.format(msgspec.json.encode(found)).decode()
    return "\n".join(f"{name:22} {getattr(found, name)}" for name in found.__struct_fields__)


def operate(
    kind: str, times: int, rate: float, crowd: int, sockets: int, memory_mb: float, seed: int, as_json: bool
) -> int:
    """Drain, upgrade, restart a real proxy, or put large bodies through it."""
    from lupinlink.lab import operations
    from lupinlink.lab.sockets import DriveError

    if kind not in operations.KINDS:
        raise WrongError(f"{kind!r} is none of {', '.join(operations.KINDS)}", 2)
    try:
        found = operations.operate(kind, times, rate, crowd, sockets, memory_mb, seed)
    except DriveError as exc:
        raise WrongError(exc.line(), 1) from exc
    print(told_plainly(found, as_json))
    return 0 if found.sound else 1


def server(port: int, work_ms: float, cores: int, seed: int) -> int:
    """Stand as one emulated server."""
    from lupinlink.lab import load as tool
    from lupinlink.lab.model.servers import Machine

    def ready(number: int) -> None:
        print(f"listening on {tool.HOST}:{number}", flush=True)

    try:
        answered = tool.stand(port, work_ms, Machine(cores=cores, slots=512, room=2048), seed, ready)
    except OSError as exc:
        raise WrongError(f"--port: {port}: {exc.strerror}", 2) from exc
    print(f"{answered} requests")
    return 0


def variants(
    names: tuple[str, ...], seeds: int, jobs: int, against: dict[str, Any], sets: dict[str, Any]
) -> int:
    """Rank variants of the module."""
    from lupinlink.lab import ranking
    from lupinlink.lab.variants import VARIANTS

    if against and (
        set(against) != set(VARIANTS) or not all(isinstance(v, float | int) for v in against.values())
    ):
        raise WrongError(f"--against: needs a number for each of {', '.join(VARIANTS)}", 2)
    scenarios = names or ranking.TROUBLED
    for name in scenarios:
        load_scenario(name, sets)
    found = ranking.rank(scenarios, seeds, jobs, sets)
    means: dict[str, float] = {}
    print(f"{'':16}" + "".join(f"{variant:>13}" for variant in VARIANTS))
    for scenario in scenarios:
        row = f"{scenario:16}"
        for variant in VARIANTS:
            runs = [p for p in found if (p.variant, p.scenario) == (variant, scenario)]
            mean = sum(p.g for p in runs) / len(runs)
            means[variant] = means.get(variant, 0.0) + mean / len(scenarios)
            row += f"{mean:12.4f}{'!' if any(p.rules_broken for p in runs) else ' '}"
        print(row)
    print(f"{'mean G':16}" + "".join(f"{means[variant]:12.4f} " for variant in VARIANTS))
    if against:
        print(f"Kendall's tau against the other ranking: {ranking.kendall(means, against):+.2f}")
    return 0


def scaling(out: str, jobs: int) -> int:
    """Measure how the virtual drive's cost grows."""
    from lupinlink.lab import scaling as tool

    costs = tool.scale(jobs)
    try:
        tool.write(Path(out), costs)
    except OSError as exc:
        raise WrongError(f"{out}: {exc.strerror}", 2) from exc
    print("varied            size  keys    tries  us a request  peak MB")
    for cost in costs:
        keys = "yes" if cost.keys else "no"
        print(f"{cost.varied:14} {cost.size:7g}  {keys:4}  {cost.tries:7}  {cost.us_a_request:12.1f}  "
              f"{cost.peak_memory_mb:7.1f}")  # fmt: skip
    return 0
