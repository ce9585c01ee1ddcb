"""What the rig saw of the fleet's agreement while it played, for the figures under ``agreed``."""

from __future__ import annotations

from typing import Any

from lupinlink.lab.fleet.fleet_file import bound, pools_of
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.model.agreed import Outs, Owners, calls_a_second
from lupinlink.lab.model.agreed_quota import QuotaSeen, spans
from lupinlink.lab.model.agreed_servers import server_outs
from lupinlink.lab.model.agreement import Agreement, Call
from lupinlink.lab.model.referee import Try
from lupinlink.lab.model.windows import FleetSecond

QUOTA_SLACK_MS = 50.0  # between what a client wrote and what its gateway read


class Seen:
    """Eyes on a fleet that agrees. What comes before the first client counts for nothing."""

    def __init__(self, ground: Ground, spec: Agreement) -> None:
        scenario, count = ground.scenario, ground.scenario.proxies.count
        self._ground, self._spec = ground, spec
        zones = dict(enumerate(ground.world.agents.front.zone_of))
        self._zones = {name: place.zone for name, place in ground.world.farm.places.items()}
        notice_ms = spec.notice_s * 1000.0
        self._proxies = Outs(zones, bound(spec, "proxies"), notice_ms)
        self._owners = Owners(pools_of(spec, count), spec.settled_s * 1000.0)
        self._servers_bound = bound(spec, "servers")
        self._quotas = [
            QuotaSeen(quota, list(scenario.classes), list(scenario.members), QUOTA_SLACK_MS)
            for quota in scenario.quotas.values()
        ]
        self._idle: set[int] = set()  # proxies of pools that do not serve yet: out, and by nobody's choice

    def begin(self, up: set[int]) -> None:
        """Clients come from now on; ``up``: the proxies that their fronts find up."""
        pools = pools_of(self._spec, self._ground.scenario.proxies.count)
        first = next(iter(self._spec.pools), "")
        for proxy, pool in pools.items():
            if proxy in up:
                self._owners.up(proxy, 0.0, True)
            elif pool != first:
                self._idle.add(proxy)
            else:
                self._proxies.out(proxy, self._now(), chosen=False)

    def _now(self) -> float:
        return self._ground.clock.now()

    @property
    def _begun(self) -> bool:
        return self._ground.world.began > 0.0 and self._now() >= self._ground.world.began

    def up(self, proxy: int, up: bool, at: float, chosen: bool) -> None:
        """Its front finds it up, or no more; ``chosen``: it said so itself."""
        if not self._begun:
            return
        self._owners.up(proxy, at, up)
        if up:
            self._idle.discard(proxy)
            self._proxies.back(proxy, at)
        elif proxy not in self._idle:
            self._proxies.out(proxy, at, chosen)

    def hurt(self, proxy: int) -> None:
        """Something befell it: it is out by nobody's choice."""
        if self._begun and proxy not in self._idle:
            self._proxies.out(proxy, self._now(), chosen=False)

    def ended(self, proxy: int) -> None:
        """Its process has ended by itself, in order."""
        if self._begun and proxy not in self._idle:
            self._proxies.out(proxy, self._now(), chosen=True)

    def called(self, call: Call) -> None:
        """An operator's call was answered with yes."""
        if "/migration/" in call.call or call.call.endswith("/migration"):
            self._owners.ordered(self._now())

    def take(self, one: Try) -> None:
        """A try has ended."""
        for quota in self._quotas:
            quota.take(one)

    def sums(
        self, seconds: list[FleetSecond], calls: list[tuple[str, int]], faults_s: list[float], lost: int
    ) -> dict[str, Any]:
        """The figures; ``faults_s``: when something began or ended, in seconds of the run."""
        spec, ground = self._spec, self._ground
        length, count = ground.scenario.seconds, ground.scenario.proxies.count
        servers = server_outs(
            seconds, self._zones, self._servers_bound, spec.notice_s * 1000.0, spec.idle_s, spec.idle_least
        )
        self._owners.look(self._now())
        steady = spans(spec.steady_from_s, length, faults_s, spec.steady_after_s)
        used = [quota.used(ground.world.began, steady) for quota in self._quotas]
        possible = sum(could for _, could in used)
        return {
            **self._proxies.sums("proxies"), **servers.sums("servers"),
            "quota_over": round(max((quota.over for quota in self._quotas), default=0.0), 2),
            "quota_used_share": round(sum(done for done, _ in used) / possible, 4) if possible else None,
            "migrations_settled": self._owners.settled, "two_owners": self._owners.two_owners,
            "connections_lost": lost, **calls_a_second(calls, count, length),
        }  # fmt: skip
