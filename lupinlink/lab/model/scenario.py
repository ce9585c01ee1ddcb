"""What a scenario says: one schema for both drives. ``_ms`` are milliseconds, ``_s`` seconds."""

from __future__ import annotations

from typing import Annotated, Any, Literal, get_args

import msgspec
from msgspec import Meta, Struct, field

from lupinlink.lab.model.flaws import Flaw as Flaw
from lupinlink.lab.model.flaws import ScenarioError as ScenarioError

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
Times = Annotated[float, Meta(ge=1.0, le=1000.0)]
Span = Annotated[float, Meta(gt=0.0, le=86400.0)]
Instant = Annotated[float, Meta(ge=0.0, le=86400.0)]


class Part(Struct, frozen=True, forbid_unknown_fields=True):
    """A table of a scenario: what it doesn't know is refused."""


class Load(Part, frozen=True):
    """First tries, drawn ahead of the run: a slow answer delays no later one."""

    rate: Positive = 200.0  # a second, all user agents together
    shape: Literal["poisson", "bursty"] = "poisson"
    burst_factor: Times = 3.0  # bursty: rate while a burst lasts, over the mean
    burst_ms: Positive = 400.0  # mean length of a burst
    burst_share: Annotated[float, Meta(gt=0.0, lt=1.0)] = 0.15  # of the time that is in bursts
    keys: Annotated[int, Meta(ge=1, le=10_000_000)] = 500
    key_skew: Annotated[float, Meta(ge=0.0, le=5.0)] = 0.8  # Zipf exponent
    zone_skew: Share = 0.0  # share of all first tries that is moved to the first zone
    work_noise: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.0  # log deviation of one attempt's work
    proxy_skew: Annotated[float, Meta(ge=0.0, le=3.0)] = 0.0  # log deviation of a proxy's share in its zone


class ClassSpec(Part, frozen=True):
    """A class of requests."""

    share: Positive
    work_ms: Positive
    aim_ms: Positive
    give_up_ms: Positive
    wait_ms: Amount = 0.0  # on others, beside the work: mean
    spread: Literal["fixed", "exponential", "lognormal"] = "exponential"
    cv: Annotated[float, Meta(gt=0.0, le=10.0)] = 1.0  # of a lognormal
    worth: Positive = 1.0
    late_worth: Share = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "cell"] = "all"
    window_ms: Amount = 0.0


class Member(Part, frozen=True):
    """A member (tenant) and its share."""

    share: Positive
    quota_per_s: Amount = 0.0  # 0: none


class Clients(Part, frozen=True):
    """What user agents do beyond asking."""

    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff_ms: Positive = 200.0  # before the first retry, doubled each time, drawn from half of it on
    honours: Share = 0.85  # of Retry-After
    try_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.7  # of the give-up time that one try may last
    leaves: Share = 0.0  # of tries that are left halfway through their time
    hurried: Share = 0.0  # of requests whose tries, all but the last, wait for hurried_ms only
    hurried_ms: Positive = 45.0
    marks_retries: bool = True
    once: Share = 0.0  # of connections that carry one request and then rest; only sockets know of these
    rest_ms: Positive = 1600.0  # until their user agent closes them


class Kind(Part, frozen=True):
    """A kind of machine; see ``servers.Machine`` for the meaning of each figure."""

    share: Positive = 1.0
    cores: Annotated[int, Meta(ge=1, le=1024)] = 2
    speed: Positive = 1.0
    speed_cv: Annotated[float, Meta(ge=0.0, le=2.0)] = 0.0  # log deviation from machine to machine
    slots: Annotated[int, Meta(ge=1, le=100_000)] = 32
    room: Annotated[int, Meta(ge=0, le=1_000_000)] = 40
    crowd_from: Positive = 1e9
    crowd_loss: Amount = 0.0
    cold_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.2
    cold_ms: Amount = 15000.0
    warm_by_work: bool = True
    key_gain: Annotated[float, Meta(ge=0.0, lt=1.0)] = 0.0
    key_ms: Amount = 0.0
    key_count: Annotated[int, Meta(ge=0, le=10_000_000)] = 0
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 1500
    connection_work_ms: Amount = 0.0
    probe_work_ms: Amount = 0.5
    error_rate: Share = 0.0
    drops_cancelled: bool = True
    drops_overdue: bool = True
    report_period_ms: Positive = 200.0
    report_delay_ms: Amount = 50.0
    report_noise: Annotated[float, Meta(ge=0.0, le=2.0)] = 0.1


class Farm(Part, frozen=True):
    """The application servers at the start."""

    servers: Annotated[int, Meta(ge=0, le=100_000)] = 8
    cell_size: Annotated[int, Meta(ge=1, le=10_000)] = 4
    cold: Annotated[int, Meta(ge=0)] = 0  # of them start cold with the run


class Proxies(Part, frozen=True):
    """The bank of proxies."""

    count: Annotated[int, Meta(ge=1, le=10_000)] = 2
    sockets: Annotated[int, Meta(ge=64, le=1024)] = 1024
    memory_mb: Annotated[float, Meta(ge=32.0, le=65536.0)] = 192.0
    ready_s: Span = 30.0  # of a fleet: user agents arrive once all are ready, or after so long


class Network(Part, frozen=True):
    """One-way delays and what goes wrong on the way."""

    zones: Annotated[tuple[str, ...], Meta(min_length=1, max_length=64)] = ("a", "b")
    same_ms: Amount = 0.2
    cross_ms: Amount = 5.0
    client_ms: Amount = 0.5
    jitter: Annotated[float, Meta(ge=0.0, le=2.0)] = 0.2  # log deviation of each way
    dial_timeout_ms: Positive = 200.0
    idle_close_ms: Positive = 10000.0


class RosterSpec(Part, frozen=True):
    """The node roster: it answers when asked, late, one call after the other."""

    add_ms: Amount = 800.0  # until a started server is listed ready
    notice_ms: Amount = 1500.0  # until a planned change is listed
    silent_notice_ms: Amount = 6000.0  # until a server that vanished is listed gone
    spread_ms: Amount = 50.0  # on the way to each watch
    calls_per_s: Positive = 5.0
    timeout_ms: Positive = 2000.0  # a call that waits longer fails


class Rules(Part, frozen=True):
    """The figures of the four rules."""

    answer_slack_ms: Amount = 20.0
    drain_grace_ms: Amount = 250.0
    fall_multiple: Times = 3.0
    fall_ms: Positive = 3000.0
    attempts: Annotated[int, Meta(ge=1, le=100)] = 5
    may_cancel: bool = True
    may_probe: bool = True
    reports: bool = True  # in every answer
    max_retry_after_ms: Amount = 2000.0
    must_ask_ms: Positive = 10000.0


class Goal(Part, frozen=True):
    """How service is counted: weights that add up to 1, and prices in points."""

    whole: Share = 0.6
    worst_window: Share = 0.1
    worst_class: Share = 0.2
    worst_member: Share = 0.1
    window_s: Positive = 10.0
    over_quota_worth: Share = 0.1
    cross_zone_price: Amount = 0.01
    waste_price: Amount = 0.2
    late_fail_price: Amount = 0.1
    handshake_price: Amount = 0.02
    probe_price: Amount = 0.0076


FAULTS: dict[str, tuple[str, ...]] = {  # what each kind needs beside its time
    "surge": ("size",),
    "member_surge": ("size", "member"),
    "hot_proxy": ("share", "proxy"),
    "shrink": ("share",),
    "grow": ("count",),
    "crash": ("count",),
    "restart": ("count",),
    "hang": ("count",),
    "slow": ("count", "size"),
    "vanish": ("count",),
    "reset": ("count", "share"),
    "spoil": ("count", "share"),
    "errors": ("count", "share"),
    "zone_lost": ("zone",),
    "roster_down": (),
    "roster_stale": (),
    "flood": ("count",),
    "lost": ("count", "share"),
    "delay": ("ms",),
    "zone_shift": ("zone", "share"),
    "roster_busy": ("size",),
    "proxies_killed": ("share",),
    "proxies_rolled": ("share",),
    "proxies_stopped": ("share",),
    "proxies_reloaded": ("share",),
    "cut": ("zone",),
    "power_loss": ("order",),
}
PARTS = ("size", "share", "count", "member", "zone", "proxy", "ms", "order", "lag_s", "spread_s")
MAY = {"power_loss": ("share", "lag_s", "spread_s")}  # what a kind takes beside what it needs
PROXY_KINDS = ("proxies_killed", "proxies_rolled", "proxies_stopped", "proxies_reloaded")
FLEET_ONLY = (*PROXY_KINDS, "cut", "power_loss")  # need a fleet of processes behind relays
ORDERS = ("together", "discovery_last", "servers_first", "half_first")  # of a fleet's return


class Fault(Part, frozen=True):
    """Something that goes wrong for a while. Which servers it meets is drawn from the seed."""

    kind: Literal[
        "surge", "member_surge", "hot_proxy", "shrink", "grow", "crash", "restart", "hang", "slow", "vanish",
        "reset", "spoil", "errors", "zone_lost", "roster_down", "roster_stale", "flood", "lost", "delay",
        "zone_shift", "roster_busy", "proxies_killed", "proxies_rolled", "proxies_stopped",
        "proxies_reloaded", "cut", "power_loss",
    ]  # fmt: skip
    at_s: Instant
    for_s: Span = 1.0
    size: Times | None = None  # times: the load, or how much slower
    share: Annotated[float, Meta(gt=0.0, le=1.0)] | None = None
    count: Annotated[int, Meta(ge=1, le=100_000)] | None = None
    member: str | None = None
    zone: str | None = None
    proxy: Annotated[int, Meta(ge=0)] | None = None
    ms: Positive | None = None  # more on every way between two zones
    order: Literal["together", "discovery_last", "servers_first", "half_first", "drawn"] | None = None
    spread_s: Span | None = None  # over which what gets its power back at one moment starts
    lag_s: Span | None = None  # until the last part of it is back, after the first


class Scenario(Part, frozen=True):
    """One world and what befalls it."""

    name: str
    seconds: Span
    classes: dict[str, ClassSpec]
    about: str = ""
    load: Load = Load()
    members: dict[str, Member] = field(default_factory=lambda: {"all": Member(1.0)})
    clients: Clients = Clients()
    kinds: dict[str, Kind] = field(default_factory=lambda: {"standard": Kind()})
    farm: Farm = Farm()
    proxies: Proxies = Proxies()
    network: Network = Network()
    roster: RosterSpec = RosterSpec()
    rules: Rules = Rules()
    goal: Goal = Goal()
    faults: dict[str, Fault] = field(default_factory=dict)


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
        meets_farm = fault.kind in (
            "crash", "restart", "hang", "slow", "vanish", "reset", "spoil", "errors", "lost",
        )  # fmt: skip
        beyond = meets_farm and fault.count is not None and fault.count > scenario.farm.servers
        say(beyond, f"{at}.count", f"is over farm.servers ({scenario.farm.servers})")
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


SCHEMA_EFFECT = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


def settings(scenario: Scenario, zone: int, rank: int) -> dict[str, Any]:
    """What one proxy is told at its start: the object that ``settings.read_settings`` reads."""
    rules, net, goal = scenario.rules, scenario.network, scenario.goal
    kinds = scenario.kinds.values()
    shares = sum(member.share for member in scenario.members.values())
    return {
        "Classes": [
            {"Name": name, "AimMs": c.aim_ms, "HardLimitMs": c.give_up_ms, "Importance": c.worth,
             "LateWorth": c.late_worth, "Effect": SCHEMA_EFFECT[c.effect], "Group": c.scope,
             "MemorySpanMs": c.window_ms}
            for name, c in scenario.classes.items()
        ],
        "Tenants": [
            {"Name": name, "QuotaPerS": m.quota_per_s, "Fraction": m.share / shares}
            for name, m in scenario.members.items()
        ],
        "MyZone": zone,
        "Rank": rank,
        "PeersTotal": scenario.proxies.count,
        "MembershipMode": "subscribe",
        "OverShareWorth": goal.over_quota_worth,
        "Prices": {"CrossZone": goal.cross_zone_price, "Handshake": goal.handshake_price,
                   "LateFail": goal.late_fail_price, "Probe": goal.probe_price, "Waste": goal.waste_price},
        "Invariants": {"AnswerSlackMs": rules.answer_slack_ms, "DrainGraceMs": rules.drain_grace_ms,
                       "FallMs": rules.fall_ms, "FallMultiple": rules.fall_multiple,
                       "MustAskInMs": rules.must_ask_ms, "ColdMs": max(k.cold_ms for k in kinds),
                       "ColdShare": min(k.cold_share for k in kinds)},
        "Limits": {"AttemptsCap": rules.attempts, "Cancel": rules.may_cancel, "Probes": rules.may_probe,
                   "RetryAfter": rules.max_retry_after_ms > 0.0, "MaxRetryAfterMs": rules.max_retry_after_ms,
                   "DialTimeoutMs": net.dial_timeout_ms, "IdleCloseMs": net.idle_close_ms,
                   "SecondCopies": False},
        "Report": {"How": "answers" if rules.reports else "none", "Fields": ["util", "qps"]},
        "ClientHabits": {"MarksRetry": scenario.clients.marks_retries},
        "FamilyInfo": {"WarmKeys": any(k.key_gain > 0.0 for k in kinds)},
        "Zones": list(net.zones),
        "MachineTypes": list(scenario.kinds),
    }  # fmt: skip
