"""Bounds the admitted share of arrivals by the remaining capacity as soon as backends are lost.

The utilization law (Denning and Buzen, "The Operational Analysis of Queueing Network Models", 1978) gives the
number of servers that all arrivals would keep busy: the utilization that servers report, times their number,
over the share of arrivals that was admitted. When the list or failed connections show that fewer servers are
left, the bound applies at once, before any delay shows the overload. It only ever narrows what the admission
control admits. Performs no I/O.
"""

from __future__ import annotations

MAX_UTILIZATION = 0.85  # reported utilization up to which the remaining servers may be loaded
GAIN = 0.4  # weight of one period in the estimate
SHARE_GAIN = 0.5  # weight of one period in the admitted share: reports cover the last second, not the period
MIN_LOST_SHARE = 0.2  # smaller losses count as single servers that come and go
STALE_PERIODS = 1  # after a loss: reports of these periods still describe the time before it
# Share of extra work, if all servers were lost, for keys that are new to the remaining servers.
COLD_KEY_OVERHEAD = 0.5
MIN_SHARE = 0.1  # lower bound of the admitted share, as in the admission control itself


class CapacityBound:
    """The largest share of arrivals to admit: learnt once a period, applied whenever the capacity changes."""

    def __init__(self, warm_keys: bool = False) -> None:
        """``warm_keys``: a server needs less work for a key that it processed recently."""
        self._cold_key_overhead = COLD_KEY_OVERHEAD if warm_keys else 0.0
        self.needed_servers = 0.0  # that all arrivals would keep busy; 0: unknown, so nothing is bounded
        self._servers, self._admitted_share = 0.0, 1.0
        self._stale_periods = 0  # remaining periods whose reports are ignored

    def observe_period(self, utilization: float | None, servers: float, admitted_share: float) -> None:
        """Record one period: mean reported utilization, servers at its end, admitted share (0 to 1).

        ``utilization``: 0 to 1, or None if there were too few reports.
        """
        # Reports are older than the current admitted share. Divided by that share, a utilization from before
        # gives too small an estimate while the share rises and too large a one while it falls.
        self._admitted_share += SHARE_GAIN * (admitted_share - self._admitted_share)
        self._stale_periods -= 1
        if utilization is None or self._stale_periods >= 0:
            return
        needed_servers = utilization * max(servers, self._servers) / max(self._admitted_share, MIN_SHARE)
        self.needed_servers += (GAIN if self.needed_servers else 1.0) * (needed_servers - self.needed_servers)
        self._servers = servers

    def update(self, servers: float) -> float:
        """Record the present capacity, in servers, and return the admissible share.

        A loss since the last call or period raises the estimated need, as the keys that the lost servers had
        processed are new to the remaining ones.
        """
        lost_share = 1.0 - servers / self._servers if self._servers > 0.0 else 0.0
        if lost_share >= MIN_LOST_SHARE:
            self.needed_servers *= 1.0 + self._cold_key_overhead * lost_share
            self._servers, self._stale_periods = servers, STALE_PERIODS
        return self.admissible_share(servers)

    def admissible_share(self, servers: float) -> float:
        """The share of arrivals, MIN_SHARE to 1, that this many servers can bear."""
        return (
            min(max(MAX_UTILIZATION * servers / self.needed_servers, MIN_SHARE), 1.0)
            if self.needed_servers > 0.0
            else 1.0
        )
