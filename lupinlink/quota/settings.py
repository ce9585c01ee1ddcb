"""What the fleet file says of quotas: the ``[quota]`` table, read and bounded by msgspec."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class QuotaSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Off unless the fleet file has the table; ``slack_ms`` must be under half of ``slice_ms``."""

    policy: str  # the file of the policy; a path that is not absolute begins at the fleet file's folder
    gateways: Annotated[int, Meta(ge=1, le=10000)] = 200  # at a time, at most: the floor is dealt for so many
    slice_ms: Annotated[float, Meta(ge=500.0, le=60000.0)] = 3000.0  # how long a slice may be spent
    slack_ms: Annotated[float, Meta(ge=50.0, le=10000.0)] = 500.0  # after it, before it is dealt again
    floor_share: Share = 0.2  # of each quota, kept back for when the agreement service is gone

    def __post_init__(self) -> None:
        """Raises ValueError, which msgspec gives on with the table's name."""
        if self.slack_ms * 2.0 > self.slice_ms:
            raise ValueError(f"slack_ms {self.slack_ms:g} is over half of slice_ms {self.slice_ms:g}")
