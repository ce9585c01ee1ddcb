"""The fleet rig at the command line: what is played, and its figures for people."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from lupinlink.lab import library, results
from lupinlink.lab.desk import WrongError, load_scenario, play, told
from lupinlink.lab.fleet import processes, rig, size
from lupinlink.lab.sockets import DriveError

FAULTS = library.FOLDER / "base-faults.toml"
AGREED = (  # what people read first of a fleet that agrees
    ("proxies out at once by choice", "proxies_out_most", "proxies_out_allowed"),
    ("servers out at once by choice", "servers_out_most", "servers_out_allowed"),
)


def named_faults(names: str) -> dict[str, Any]:
    """The faults of these names, with commas between, as a scenario's keys; raises WrongError."""
    known: dict[str, Any] = tomllib.loads(FAULTS.read_text(encoding="utf-8"))
    found: dict[str, Any] = {}
    for name in filter(None, names.split(",")):
        if name not in known:
            raise WrongError(f"--fault: {name!r} is none of {', '.join(known)}", 2)
        found[f"faults.{name}"] = known[name]
    return found


def fleet(
    name: str, program: str | None, seed: int, out: str | None, logs: str | None, sets: dict[str, Any],
    faults: str, as_json: bool,
) -> int:  # fmt: skip
    """Play a scenario on a fleet of real processes; ``faults``: names of further ones."""
    loaded = load_scenario(name, {**named_faults(faults), **sets})
    try:
        size.check_size(loaded.scenario)
        chosen = processes.program(program)
    except DriveError as exc:
        raise WrongError(exc.line(), 2) from exc
    found = play(
        loaded,
        "fleet",
        seed,
        Path(out) if out else None,
        lambda loop, ended: rig.FleetDrive(
            loaded.scenario, seed, loop, ended, program=chosen, logs=Path(logs) if logs else None
        ),
    )
    crashes = found.fleet.get("crashes", [])
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(found)).decode())
    elif found.complete or found.tally["firsts"]:
        print(told(found))
        print("\n".join(_told_of_fleet(found)))
    return 0 if found.complete and not any(found.rules_broken.values()) and not crashes else 1


def _told_of_fleet(found: results.Summary) -> list[str]:
    """A fleet's figures for people."""
    if "spread" not in found.fleet:
        return []
    even, costs = found.fleet["spread"], found.fleet["costs"]
    calls = ", ".join(
        f"{costs[name]:.0f} {word}"
        for name, word in (
            ("calls", "in all"),
            ("calls_per_s_max", "a second at most"),
            ("calls_failed", "failed"),
        )
    )
    lines = [
        f"in flight, max/mean of servers: {even['max_over_mean_p50']:.2f} (p50), "
        f"{even['max_over_mean_p99']:.2f} (p99); cv {even['cv_p50']:.2f} (random dealing: "
        f"{even['random_cv_p50']:.2f}); idle beside busy ones {even['idle_share']:.2%}",
        f"new connections {costs['new_connections_per_s']:.1f}/s, probes {costs['probes_per_s']:.1f}/s, "
        f"at most {costs['connections_a_server_max']:.0f} connections a server; calls to discovery: {calls}",
    ]
    for back in found.fleet["returns"]:
        after = back["back_after_s"]
        lines.append(
            f"{back['fault']} ({back['order']}): "
            + (f"95% in time {after:g} s after power came back" if after is not None else "never back to 95%")
            + f"; discovery back after {back['discovery_s']:g} s; {back['fallen']} cold servers pushed over, "
            f"{back['refused']} refused, "
            f"{back['calls']:.0f} calls, {back['calls_failed']:.0f} failed"
        )
    lines += _told_of_agreement(found.fleet.get("agreed"))
    if found.fleet["never_ready"]:
        lines.append(f"never ready: proxies {', '.join(map(str, found.fleet['never_ready'][:20]))}")
    return [*lines, *found.fleet["crashes"][:10]]


def _told_of_agreement(agreed: dict[str, Any] | None) -> list[str]:
    """What a fleet agreed on, for people."""
    if agreed is None:
        return []
    lines = [f"{what}: {agreed[most]} at most, {agreed[allowed]} allowed" for what, most, allowed in AGREED]
    used = agreed["quota_used_share"]
    if used is not None:
        lines.append(f"quota: {used:.1%} used, {agreed['quota_over']:g} let on beyond it in the worst window")
    lines.append(
        f"migrations settled {agreed['migrations_settled']}, two owners {agreed['two_owners']}, connections "
        f"lost {agreed['connections_lost']}; {agreed['calls_a_process_s']:.2f} calls a second and process, "
        f"{agreed['calls_a_process_s_most']:.2f} of the busiest"
    )
    for order in agreed["orders"]:
        first = order["text"].splitlines()[0] if order["text"] else ""
        lines.append(f"{order['at_s']:7.1f} s  {order['call']} at {order['to']}: {order['status']} {first}")
    return lines
