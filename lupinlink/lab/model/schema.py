"""What every table of a scenario is made of. ``_ms`` are milliseconds, ``_s`` seconds."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
Times = Annotated[float, Meta(ge=1.0, le=1000.0)]
Span = Annotated[float, Meta(gt=0.0, le=86400.0)]
Instant = Annotated[float, Meta(ge=0.0, le=86400.0)]


class Part(Struct, frozen=True, forbid_unknown_fields=True):
    """A table of a scenario: what it doesn't know is refused."""
