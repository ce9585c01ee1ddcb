"""What a scenario says: one schema for all drives. ``_ms`` are milliseconds, ``_s`` seconds."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, field

from lupinlink.lab.model.agreement import Agreement, Call, Quota
from lupinlink.lab.model.fault_kinds import Fault
from lupinlink.lab.model.schema import Amount, Part, Positive, Share, Span, Times


class Load(Part, frozen=True):
    """First tries, drawn ahead of the run: a slow answer delays no later one."""

    rate: Positive = 200.0  # a second, all clients together
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
    """What clients do beyond asking."""

    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    backoff_ms: Positive = 200.0  # before the first retry, doubled each time, drawn from half of it on
    honours: Share = 0.85  # of Retry-After
    try_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.7  # of the give-up time that one try may last
    leaves: Share = 0.0  # of tries that are left halfway through their time
    hurried: Share = 0.0  # of requests whose tries, all but the last, wait for hurried_ms only
    hurried_ms: Positive = 45.0
    marks_retries: bool = True
    once: Share = 0.0  # of connections that carry one request and then rest; only sockets know of these
    rest_ms: Positive = 1600.0  # until their client closes them


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
    ready_s: Span = 30.0  # of a fleet: clients arrive once all are ready, or after so long


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
    agreement: Agreement | None = None  # of a fleet only
    quotas: dict[str, Quota] = field(default_factory=dict)
    orders: dict[str, Call] = field(default_factory=dict)  # by name, so that another file may replace one
