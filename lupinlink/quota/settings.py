"""The ``[quota]`` table of the fleet file, decoded and validated by msgspec."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class QuotaSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Quotas are off without the table. ``slack_ms`` must not exceed half of ``slice_ms``."""

    policy: str  # policy file; a relative path starts at the fleet file's folder
    gateways: Annotated[int, Meta(ge=1, le=10000)] = 200  # most at a time; the floor is divided by this
    slice_ms: Annotated[float, Meta(ge=500.0, le=60000.0)] = 3000.0  # how long a slice may be spent
    slack_ms: Annotated[float, Meta(ge=50.0, le=10000.0)] = 500.0  # wait before it is assigned again
    floor_share: Share = 0.2  # of each quota, kept for outages of the agreement service

    def __post_init__(self) -> None:
        """Raises ValueError, to which msgspec adds the name of the table."""
        if self.slack_ms * 2.0 > self.slice_ms:
            raise ValueError(f"slack_ms {self.slack_ms:g} is over half of slice_ms {self.slice_ms:g}")
