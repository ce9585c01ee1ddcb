"""What share of the arrivals the servers that are left can bear, before any delay shows it. Pure.

The utilization law (Denning and Buzen, "The Operational Analysis of Queueing Network Models", 1978): the use
that servers report, times their number, over the share of arrivals that was let in, is how many servers all
arrivals would keep busy. When the list or the connections say that fewer are left, the bound on admission
follows at once. It only ever narrows what the module admits.
"""

from __future__ import annotations

MAX_UTILIZATION = 0.85  # reported use up to which what is left may be filled
GAIN = 0.4  # of one period's figure
SHARE_GAIN = 0.5  # of one period's share let in: reports tell of the last second, not of the last period
FALL = 0.2  # so great a share of the servers lost at once is a fall, less is one server that comes and goes
STALE_PERIODS = 1  # after it: what is reported is of before
COLD_KEY_OVERHEAD = (
    0.5  # more work where keys have lost the server that knew them: this share for all that are lost
)
MIN_SHARE = 0.1  # the least share that is ever foreseen, as of admission itself


class CapacityBound:
    """Learns once a period; asked whenever the farm has changed."""

    def __init__(self, warm_keys: bool = False) -> None:
        """``warm_keys``: a server needs less work for a key it met lately."""
        self._cold_keys = COLD_KEY_OVERHEAD if warm_keys else 0.0
        self.needed_servers = (
            0.0  # servers that all arrivals would keep busy; 0: not known, nothing is bounded
        )
        self._servers, self._let_in = 0.0, 1.0
        self._stale = 0  # periods that say nothing yet

    def observe_period(self, busy: float | None, servers: float, admitted_share: float) -> None:
        """Take a period's mean reported use (0 to 1), the servers at its end, and the share let in (0 to 1).

        None: too few reports came to say anything.
        """
        # Danger: reports are older than what is let in. Held against the share of just now, a use from before
        # makes the need look small when more is let in, and large when less is.
        self._let_in += SHARE_GAIN * (admitted_share - self._let_in)
        self._stale -= 1
        if busy is None or self._stale >= 0:
            return
        needed_servers = busy * max(servers, self._servers) / max(self._let_in, MIN_SHARE)
        self.needed_servers += (GAIN if self.needed_servers else 1.0) * (needed_servers - self.needed_servers)
        self._servers = servers

    def update(self, servers: float) -> float:
        """The share that so many servers bear; a fall since it last learnt or looked counts for more need:
        the keys that the lost ones knew are met anew.
        """
        lost = 1.0 - servers / self._servers if self._servers > 0.0 else 0.0
        if lost >= FALL:
            self.needed_servers *= 1.0 + self._cold_keys * lost
            self._servers, self._stale = servers, STALE_PERIODS
        return self.admissible_share(servers)

    def admissible_share(self, servers: float) -> float:
        """The share of arrivals, ``LEAST`` to 1, that so many servers bear."""
        return (
            min(max(MAX_UTILIZATION * servers / self.needed_servers, MIN_SHARE), 1.0)
            if self.needed_servers > 0.0
            else 1.0
        )
