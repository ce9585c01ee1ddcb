"""Reads a scenario from its tables and says what is wrong with it, by key and reason."""

from __future__ import annotations

from typing import Any, get_args

import msgspec

from lupinlink.lab.model.fault_kinds import AGREEMENT_KINDS, FAULTS, FLEET_ONLY, MAY, MEETS_SERVERS, PARTS
from lupinlink.lab.model.flaws import Flaw as Flaw
from lupinlink.lab.model.flaws import ScenarioError as ScenarioError
from lupinlink.lab.model.scenario import Scenario


def read(raw: dict[str, Any]) -> Scenario:
    """A scenario from its tables; raises ScenarioError with each flaw's key and reason."""
    flaws = []
    # The decoder stops at its first flaw, so each table is read by itself first.
    for part in msgspec.structs.fields(Scenario):
        if part.encode_name in raw:
            flaws += _flaws(part.encode_name, raw[part.encode_name], part.type)
    if not flaws:
        flaws = _flaws("", raw, Scenario)
    if flaws:
        raise ScenarioError(flaws)
    scenario = msgspec.convert(raw, Scenario, strict=True)
    flaws = check(scenario)
    if flaws:
        raise ScenarioError(flaws)
    return scenario


def _flaws(key: str, value: Any, kind: Any) -> list[Flaw]:
    """What the schema has against a value."""
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as exc:
        text, _, path = str(exc).partition(" - at `")
        below = path.rstrip("`").removeprefix("$").lstrip(".")
        if isinstance(value, dict) and "[...]" in below:
            # Which entry of the table it was: the decoder doesn't say.
            inner = get_args(kind)[-1]
            return [f for name, entry in value.items() for f in _flaws(f"{key}.{name}", entry, inner)]
        return [Flaw(".".join(filter(None, (key, below))), text[:1].lower() + text[1:])]
    return []


def check(scenario: Scenario) -> list[Flaw]:
    """What the types alone cannot say."""
    flaws: list[Flaw] = []

    def say(bad: bool, key: str, why: str) -> None:
        if bad:
            flaws.append(Flaw(key, why))

    say(not scenario.name.strip(), "name", "must not be empty")
    for key in ("classes", "members", "kinds"):
        say(not getattr(scenario, key), key, "names none; at least one is needed")
    for name, cls in scenario.classes.items():
        at = f"classes.{name}"
        say(cls.give_up_ms < cls.aim_ms, f"{at}.give_up_ms", f"is under aim_ms ({cls.aim_ms:g})")
        keyed = cls.effect == "keyed"
        say(keyed and cls.window_ms <= 0.0, f"{at}.window_ms", "a keyed class needs a window over 0")
        say(not keyed and cls.window_ms > 0.0, f"{at}.window_ms", "only a keyed class has a window")
        say("/" in name or not name.isascii() or not name.isprintable() or " " in name, at,
            "a class is a part of a path: plain letters without / and spaces")  # fmt: skip
    say(len(set(scenario.network.zones)) < len(scenario.network.zones), "network.zones", "names one twice")
    say(
        scenario.farm.cold > scenario.farm.servers,
        "farm.cold",
        f"is over farm.servers ({scenario.farm.servers})",
    )
    goal = scenario.goal
    total = goal.whole + goal.worst_window + goal.worst_class + goal.worst_member
    say(abs(total - 1.0) > 1e-6, "goal", f"weights add up to {total:g}, not 1")
    load = scenario.load
    over = load.shape == "bursty" and load.burst_factor * load.burst_share >= 1.0
    say(
        over,
        "load.burst_factor",
        "times load.burst_share must stay under 1: nothing would be left between bursts",
    )
    for name, fault in scenario.faults.items():
        at = f"faults.{name}"
        needs = FAULTS[fault.kind]
        may = (*needs, *MAY.get(fault.kind, ()))
        for part in PARTS:
            given = getattr(fault, part) is not None
            say(part in needs and not given, f"{at}.{part}", f"{fault.kind} needs it")
            say(given and part not in may, f"{at}.{part}", f"{fault.kind} does not take it")
        say(fault.at_s >= scenario.seconds, f"{at}.at_s", f"is not before the end ({scenario.seconds:g} s)")
        members, zones = list(scenario.members), list(scenario.network.zones)
        say(
            fault.member is not None and fault.member not in members,
            f"{at}.member",
            f"is none of {', '.join(members)}",
        )
        say(
            fault.zone is not None and fault.zone not in zones, f"{at}.zone", f"is none of {', '.join(zones)}"
        )
        count = scenario.proxies.count
        say(
            fault.proxy is not None and fault.proxy >= count,
            f"{at}.proxy",
            f"is not under proxies.count ({count})",
        )
        beyond = (
            fault.kind in MEETS_SERVERS and fault.count is not None and fault.count > scenario.farm.servers
        )
        say(beyond, f"{at}.count", f"is over farm.servers ({scenario.farm.servers})")
        aimed = fault.kind in ("proxies_killed", "proxies_stopped")
        both = (fault.share is None) == (fault.whom is None)
        say(aimed and both, f"{at}.share", f"{fault.kind} needs either a share or whom")
        agrees = fault.kind in AGREEMENT_KINDS or fault.whom is not None or fault.when is not None
        say(agrees and scenario.agreement is None, f"{at}.kind", "needs the table agreement")
        late = fault.save_at_s is not None and fault.save_at_s >= fault.at_s
        say(late, f"{at}.save_at_s", f"is not before at_s ({fault.at_s:g})")
    return flaws + _of_agreement(scenario)


def _of_agreement(scenario: Scenario) -> list[Flaw]:
    flaws: list[Flaw] = []
    for name, quota in scenario.quotas.items():
        for key, value, known in (("of_class", quota.of_class, scenario.classes),
                                  ("member", quota.member, scenario.members)):  # fmt: skip
            if value and value not in known:
                flaws.append(Flaw(f"quotas.{name}.{key}", f"is none of {', '.join(known)}"))
    names = {f"n{i}" for i in range(scenario.proxies.count)} | {"any"}
    for name, call in scenario.orders.items():
        method, _, path = call.call.partition(" ")
        if not method.isalpha() or not path.startswith("/"):
            flaws.append(Flaw(f"orders.{name}.call", "is not METHOD /path"))
        if call.to not in names:
            flaws.append(Flaw(f"orders.{name}.to", "is neither any nor a proxy's name, as n0"))
    return flaws


def unplayable(scenario: Scenario, drive: str) -> list[Flaw]:
    """Faults that a drive cannot play."""
    lacks: dict[str, tuple[str, ...]] = {
        "virtual": (*FLEET_ONLY, "lost"), "sockets": FLEET_ONLY, "fleet": ("flood",),
    }  # fmt: skip
    return [
        Flaw(f"faults.{name}.kind", f"{fault.kind} is not played by the {drive} drive")
        for name, fault in scenario.faults.items()
        if fault.kind in lacks[drive]
    ]
