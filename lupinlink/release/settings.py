"""What an operator may set for drains and releases: the fleet file's ``[release]`` table."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from lupinlink.release.errors import ReleaseSettingsError

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Second = Annotated[float, Meta(ge=1000.0, le=600_000.0)]  # milliseconds
Hour = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]  # milliseconds


class BoundSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How many may be out at once, with or without a permit; the least of all that is set holds."""

    number: Count | None = None  # in all; not set: no bound by number
    share: Share = 0.1  # of all, rounded down, but never less than one
    zone_number: Count | None = None  # in one zone; not set: no bound by number
    zone_share: Share = 0.2  # of one zone, rounded down, but never less than one
    bears: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.75  # the use up to which those left may be filled


class GateSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the new ones must show beside the old ones, over the same time, before the next wave."""

    soak_ms: Hour = 30_000.0  # so long both are watched once the wave is back
    soak_most_ms: Hour = 300_000.0  # so long it is waited for samples; then it halts
    least_samples: Annotated[int, Meta(ge=1, le=10_000_000)] = 200  # requests that ended, on each side
    in_time_drop: Share = 0.01  # so much lower may the share served in time be, beyond chance
    refused_rise: Share = 0.01  # so much higher may the share refused be, beyond chance
    crashes_most: Annotated[int, Meta(ge=0, le=1000)] = 0  # new ones that ended unasked in the soak


class ReleaseSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All of it. Times in milliseconds."""

    proxies: BoundSettings = msgspec.field(default_factory=BoundSettings)
    servers: BoundSettings = msgspec.field(default_factory=BoundSettings)
    gates: GateSettings = msgspec.field(default_factory=GateSettings)
    report_ms: Annotated[float, Meta(ge=2000.0, le=60_000.0)] = 4000.0  # a proxy reports so often
    silent_ms: Second = 14_000.0  # who has not reported for so long counts as out; over 3 x report_ms
    step_ms: Second = 2000.0  # the lead looks and acts so often while anything is asked for or out
    idle_ms: Second = 5000.0  # and so often otherwise
    wave_growth: Annotated[float, Meta(ge=1.0, le=10.0)] = (
        2.0  # each wave to the one before; the first is one
    )
    wave_most: Count = 50  # members of one wave at most
    permit_ms: Second = 30_000.0  # a permit that nobody begins to use is withdrawn after so long
    drain_ms: Annotated[float, Meta(ge=500.0, le=3_600_000.0)] = 8000.0  # then a proxy ends with who is left
    back_ms: Annotated[float, Meta(ge=1000.0, le=3_600_000.0)] = (
        120_000.0  # beginning to back; then it failed
    )
    gone_ms: Hour = 60_000.0  # a server that left the list counts as out for so long, then as removed
    lost_most: Annotated[int, Meta(ge=0, le=100_000)] = 1  # out without a permit; more of them is a halt,
    lost_share: Share = 0.02  # unless this share of all is more than that
    deaf_ms: Second = 15_000.0  # a release whose lead did not hear the service for so long is halted

    def check(self) -> None:
        """Fails with ReleaseSettingsError: keys that contradict each other."""
        if self.silent_ms <= 3.0 * self.report_ms:
            raise ReleaseSettingsError(
                f"silent_ms = {self.silent_ms:g}, but must be over 3 x report_ms = {3 * self.report_ms:g}"
            )
        if self.gates.soak_most_ms < self.gates.soak_ms:
            raise ReleaseSettingsError(
                f"gates.soak_most_ms = {self.gates.soak_most_ms:g}, but must be at least gates.soak_ms "
                f"= {self.gates.soak_ms:g}"
            )
        if self.back_ms <= self.drain_ms:
            raise ReleaseSettingsError(
                f"back_ms = {self.back_ms:g}, but must be over drain_ms = {self.drain_ms:g}"
            )
        if self.idle_ms < self.step_ms:
            raise ReleaseSettingsError(
                f"idle_ms = {self.idle_ms:g}, but must be at least step_ms = {self.step_ms:g}"
            )
