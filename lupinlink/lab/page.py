"""report.html: one page that needs nothing else, with plots as SVG."""

from __future__ import annotations

import html
import io
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams.update({"svg.hashsalt": "lupinlink", "svg.fonttype": "none", "font.size": 9})
from matplotlib import pyplot as plt  # noqa: E402

from lupinlink.lab.model.windows import FleetSecond  # noqa: E402
from lupinlink.lab.results import (  # noqa: E402
    SecondRow,
    Summary,
    read_fleet,
    read_seconds,
    read_summary,
    write_whole,
)

__all__ = ["page", "plt", "write"]
MOST_LINES = 24  # servers or proxies drawn one by one; beyond, the middle and the outer ones
BAND = "#d0503018"
STYLE = """body{font:15px/1.5 system-ui,sans-serif;
max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child{text-align:left}pre{background:#f6f6f4;padding:.7em;overflow-x:auto}
svg{max-width:100%;height:auto}.bad{color:#a02010;font-weight:bold}"""


def write(folder: Path) -> Path:
    """Draw a run's page from its folder."""
    summary, seconds = read_summary(folder), read_seconds(folder)
    path = folder / "report.html"
    write_whole(path, page(summary, seconds, read_fleet(folder)).encode())
    return path


def page(summary: Summary, seconds: list[SecondRow], fleet: Sequence[FleetSecond] = ()) -> str:
    """The page's text."""
    parts = [
        f"<h1>{html.escape(summary.scenario)}, seed {summary.seed}</h1>",
        f"<p>{html.escape(summary.drive)} drive, {summary.seconds:g} s, "
        f"started {html.escape(summary.started_at)}, played in {summary.wall_s:.1f} s.</p>",
    ]
    if not summary.complete:
        parts.append('<p class="bad">This run did not come to its end; what it had is shown.</p>')
    parts += [_service(summary), _rules(summary), _shares(summary), _latencies(summary)]
    if seconds:
        parts += [
            _figure("Worth asked for and earned, by the second of the first try", _worth, summary, seconds),
            _figure("Latency of served requests", _quantiles, summary, seconds),
            _figure("What became of tries", _outcomes, summary, seconds),
            _figure("Held by each server", _held, summary, seconds),
            _figure("Tries taken by each proxy", _proxies, summary, seconds),
        ]
    if fleet:
        parts += [
            _fleet(summary),
            _figure("In flight at each server, mean of the second", _in_flight, summary, fleet),
            _figure("Proxies: handed connections, and watching discovery", _standing, summary, fleet),
            _figure("Calls to discovery", _calls, summary, fleet),
            _figure("New connections and probes at all servers", _asked_of_servers, summary, fleet),
        ]
    parts.append(_faults(summary))
    parts.append("<p>" + ", ".join(f"{n} {v}" for n, v in summary.versions.items()) + "</p>")
    title = html.escape(f"{summary.scenario}, seed {summary.seed}")
    return f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>\n" + "\n".join(
        parts
    )


def _table(head: list[str], rows: list[list[str]]) -> str:
    cells = ["<tr>" + "".join(f"<th>{html.escape(h)}</th>" for h in head) + "</tr>"]
    cells += ["<tr>" + "".join(f"<td>{html.escape(c)}</td>" for c in row) + "</tr>" for row in rows]
    return "<table>" + "".join(cells) + "</table>"


def _service(summary: Summary) -> str:
    rows = [[name.replace("_", " "), f"{value:.4f}"] for name, value in summary.service.items()]
    tally = [[name.replace("_", " "), f"{value:g}"] for name, value in summary.tally.items()]
    return "<h2>Service</h2>" + _table(["figure", ""], rows) + _table(["count", ""], tally)


def _rules(summary: Summary) -> str:
    if not any(summary.rules_broken.values()):
        return "<h2>Rules</h2><p>All four kept.</p>"
    counts = ", ".join(f"rule {rule}: {count}" for rule, count in summary.rules_broken.items() if count)
    parts = [f'<h2>Rules</h2><p class="bad">Broken: {counts}</p>']
    for broken in summary.broken[:20]:
        text = f"rule {broken['rule']} at {broken['at_s']:.3f} s: {broken['what']} {broken['request']}"
        story = "\n".join(broken["story"])
        parts.append(f"<p>{html.escape(text)}</p>" + (f"<pre>{html.escape(story)}</pre>" if story else ""))
    return "".join(parts)


def _shares(summary: Summary) -> str:
    rows = [[f"class {n}", f"{v:.4f}"] for n, v in summary.by_class.items()]
    rows += [[f"member {n}, within its share", f"{v:.4f}"] for n, v in summary.by_member.items()]
    return "<h2>Worth earned over worth asked for</h2>" + _table(["", "share"], rows)


def _latencies(summary: Summary) -> str:
    names = next((list(f.quantiles_ms) for f in summary.latencies.values() if f.count), [])
    rows = [
        [name, str(f.count), f"{f.mean_ms:.0f}", *(f"{f.quantiles_ms[q]:.0f}" for q in names)]
        for name, f in summary.latencies.items()
        if f.count
    ]
    return "<h2>Latency, ms</h2>" + _table(["", "served", "mean", *names], rows)


def _faults(summary: Summary) -> str:
    if not summary.faults:
        return ""
    rows = [
        [f["name"], f["kind"], f"{f['start_s']:g}", f"{f['end_s']:g}", " ".join(f["targets"][:12])
         + (f" and {len(f['targets']) - 12} more" if len(f["targets"]) > 12 else "")]
        for f in summary.faults
    ]  # fmt: skip
    return "<h2>Faults</h2>" + _table(["fault", "kind", "from s", "to s", "met"], rows)


def _fleet(summary: Summary) -> str:
    rows = [
        [name.replace("_", " "), f"{value:g}"]
        for part in ("spread", "costs")
        for name, value in summary.fleet.get(part, {}).items()
    ]
    found = "<h2>The fleet</h2>" + _table(["figure", ""], rows)
    backs = summary.fleet.get("returns", [])
    if backs:
        names = (
            "fault",
            "order",
            "power_s",
            "discovery_s",
            "back_after_s",
            "fallen",
            "refused",
            "calls",
            "calls_failed",
        )
        found += _table([n.replace("_", " ") for n in names], [[str(b[n]) for n in names] for b in backs])
    return found


def _figure(title: str, draw: Any, summary: Summary, seconds: Sequence[Any]) -> str:
    figure, axes = plt.subplots(figsize=(9.0, 2.6))
    draw(axes, seconds)
    for fault in summary.faults:
        axes.axvspan(fault["start_s"], fault["end_s"], color=BAND, linewidth=0)
    axes.set_xlim(0, max(s.at_s for s in seconds) + 1)
    axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds")
    axes.spines[["top", "right"]].set_visible(False)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), frameon=False)
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    svg = text.getvalue()
    return f"<h2>{html.escape(title)}</h2>" + svg[svg.index("<svg") :]


def _worth(axes: Any, seconds: list[SecondRow]) -> None:
    at = [s.at_s for s in seconds]
    axes.step(at, [s.asked_worth for s in seconds], where="post", color="#999", label="asked for")
    axes.step(at, [s.earned_worth for s in seconds], where="post", color="#2a6", label="earned")
    axes.set_ylabel("worth a second")


def _quantiles(axes: Any, seconds: list[SecondRow]) -> None:
    for name, color in (("p50", "#7ab"), ("p90", "#37a"), ("p99", "#125")):
        rows = [(s.at_s, s.quantiles_ms[name]) for s in seconds if name in s.quantiles_ms]
        if rows:
            axes.plot(*zip(*rows, strict=True), color=color, label=name)
    axes.set_ylabel("ms")


def _outcomes(axes: Any, seconds: list[SecondRow]) -> None:
    at = [s.at_s for s in seconds]
    for name, color in (("served", "#2a6"), ("refused", "#d90"), ("failed", "#b31"), ("attempts", "#89a")):
        axes.step(at, [getattr(s, name) for s in seconds], where="post", color=color, label=name)
    axes.set_ylabel("a second")


def _held(axes: Any, seconds: list[SecondRow]) -> None:
    names = sorted({name for s in seconds for name in s.held})
    rows = [[s.held.get(name, 0) for s in seconds] for name in names]
    _lines(axes, [s.at_s for s in seconds], names, rows, "jobs")


def _proxies(axes: Any, seconds: list[SecondRow]) -> None:
    count = max(len(s.by_proxy) for s in seconds)
    rows = [[s.by_proxy[i] for s in seconds] for i in range(count)]
    _lines(axes, [s.at_s for s in seconds], [f"proxy {i}" for i in range(count)], rows, "tries")


def _in_flight(axes: Any, seconds: Sequence[FleetSecond]) -> None:
    names = sorted({name for s in seconds for name in s.servers})
    rows = [[s.servers[name].held if name in s.servers else 0.0 for s in seconds] for name in names]
    _lines(axes, [s.at_s for s in seconds], names, rows, "requests")


def _standing(axes: Any, seconds: Sequence[FleetSecond]) -> None:
    _steps(
        axes, seconds, {"up": [s.up for s in seconds], "watching": [s.watching for s in seconds]}, "proxies"
    )


def _calls(axes: Any, seconds: Sequence[FleetSecond]) -> None:
    found = {"calls": [s.calls for s in seconds], "failed": [s.calls_failed for s in seconds]}
    _steps(axes, seconds, found, "a second")


def _asked_of_servers(axes: Any, seconds: Sequence[FleetSecond]) -> None:
    found = {
        name: [sum(getattr(row, part) for row in s.servers.values()) for s in seconds]
        for name, part in (("connections", "shook"), ("probes", "probed"))
    }
    _steps(axes, seconds, found, "a second")


def _steps(axes: Any, seconds: Sequence[FleetSecond], found: dict[str, list[int]], unit: str) -> None:
    for (name, values), color in zip(found.items(), ("#37a", "#b31"), strict=True):
        axes.step([s.at_s for s in seconds], values, where="post", color=color, label=name)
    axes.set_ylabel(unit)


def _lines(axes: Any, at: list[int], names: list[str], rows: Sequence[Sequence[float]], unit: str) -> None:
    axes.set_ylabel(unit)
    if len(rows) <= MOST_LINES:
        for name, row in zip(names, rows, strict=True):
            axes.plot(at, row, linewidth=0.9, label=name if len(rows) <= 12 else None)
        return
    ordered = [sorted(row[i] for row in rows) for i in range(len(at))]
    last = len(rows) - 1
    for share, name in ((0.0, "least"), (0.1, "10%"), (0.5, "middle"), (0.9, "90%"), (1.0, "most")):
        axes.plot(at, [column[round(share * last)] for column in ordered], label=name)
