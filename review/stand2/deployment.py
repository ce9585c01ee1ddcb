"""The configuration of a small deployment, after the sample in the wire page, and its start."""

from __future__ import annotations

from typing import Any

from review.stand2.parts import HOST, Backend, Discovery, Record
from review.stand2.proxy import Proxy


def settings(*classes: dict[str, Any], **more: Any) -> dict[str, Any]:
    """The settings, with these classes beside one that is safe to repeat."""
    look = {"Name": "look", "AimMs": 800.0, "HardLimitMs": 4000.0, "Effect": "pure", "Group": "all",
            "MemorySpanMs": 5000.0, "Importance": 1.0, "LateWorth": 0.2, "Stream": False}  # fmt: skip
    return {
        "Classes": [look, *classes],
        "ClientHabits": {"MarksRetry": True},
        "Family": "proxy",
        "Invariants": {"AnswerSlackMs": 20.0, "ColdMs": 22000.0, "ColdShare": 0.13, "DrainGraceMs": 250.0,
                       "FallMs": 3000.0, "FallMultiple": 3.0, "MustAskInMs": 10000.0},
        "Limits": {"AttemptsCap": 5, "Cancel": True, "DialTimeoutMs": 200.0, "IdleCloseMs": 10000.0,
                   "MaxRetryAfterMs": 2000.0, "MayTell": False, "MostHeld": 20000, "Probes": False,
                   "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 1},
        "MachineTypes": ["m"], "MembershipMode": "subscribe", "MyZone": 0, "PeersTotal": 2, "Rank": 0,
        "Report": {"Fields": [], "How": "none"},
        "Tenants": [{"Fraction": 1.0, "Name": "acme", "QuotaPerS": 500.0}],
        "TickMs": 5.0, "Tier": 0, "Tiers": ["t"], "ValueBy": "request", "Weights": "none",
        "Zones": ["a", "b"],
        **more,
    }  # fmt: skip


async def deploy(
    folder: str, record: Record, backends: list[Backend], told: dict[str, Any], **more: Any
) -> tuple[Proxy, Discovery]:
    """Start the servers, their discovery and one proxy; returns once /up says yes."""
    for one in backends:
        await one.start()
    discovery = Discovery(backends)
    await discovery.start()
    config = {"name": "n1", "listen": f"{HOST}:0", "discovery": f"{HOST}:{discovery.port}",
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
              "known": discovery.listing(), "settings": told, **more}  # fmt: skip
    proxy = Proxy(config, folder, record)
    await proxy.start()
    await proxy.up()
    return proxy, discovery
