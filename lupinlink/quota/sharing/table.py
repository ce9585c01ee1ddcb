"""What the state call shows: read by a person at night."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lupinlink.quota.sharing.agent import QuotaAgent


def state(agent: QuotaAgent, now: float, last: str) -> str:
    return ""
