"""What a scenario's proxies are told of the world at their start."""

from __future__ import annotations

from typing import Any

from lupinlink.lab.model.scenario import Scenario

SCHEMA_EFFECT = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}


def settings(scenario: Scenario, zone: int, rank: int) -> dict[str, Any]:
    """What one proxy is told at its start: the object that ``settings.read_settings`` reads."""
    rules, net, goal = scenario.rules, scenario.network, scenario.goal
    kinds = scenario.kinds.values()
    shares = sum(member.share for member in scenario.members.values())
    return {
        "Classes": [
            {"Name": name, "AimMs": c.aim_ms, "HardLimitMs": c.give_up_ms, "Importance": c.worth,
             "LateWorth": c.late_worth, "Effect": SCHEMA_EFFECT[c.effect], "Group": c.scope,
             "MemorySpanMs": c.window_ms}
            for name, c in scenario.classes.items()
        ],
        "Tenants": [
            {"Name": name, "QuotaPerS": m.quota_per_s, "Fraction": m.share / shares}
            for name, m in scenario.members.items()
        ],
        "MyZone": zone,
        "Rank": rank,
        "PeersTotal": scenario.proxies.count,
        "MembershipMode": "subscribe",
        "OverShareWorth": goal.over_quota_worth,
        "Prices": {"CrossZone": goal.cross_zone_price, "Handshake": goal.handshake_price,
                   "LateFail": goal.late_fail_price, "Probe": goal.probe_price, "Waste": goal.waste_price},
        "Invariants": {"AnswerSlackMs": rules.answer_slack_ms, "DrainGraceMs": rules.drain_grace_ms,
                       "FallMs": rules.fall_ms, "FallMultiple": rules.fall_multiple,
                       "MustAskInMs": rules.must_ask_ms, "ColdMs": max(k.cold_ms for k in kinds),
                       "ColdShare": min(k.cold_share for k in kinds)},
        "Limits": {"AttemptsCap": rules.attempts, "Cancel": rules.may_cancel, "Probes": rules.may_probe,
                   "RetryAfter": rules.max_retry_after_ms > 0.0, "MaxRetryAfterMs": rules.max_retry_after_ms,
                   "DialTimeoutMs": net.dial_timeout_ms, "IdleCloseMs": net.idle_close_ms,
                   "SecondCopies": False},
        "Report": {"How": "answers" if rules.reports else "none", "Fields": ["util", "qps"]},
        "ClientHabits": {"MarksRetry": scenario.clients.marks_retries},
        "FamilyInfo": {"WarmKeys": any(k.key_gain > 0.0 for k in kinds)},
        "Zones": list(net.zones),
        "MachineTypes": list(scenario.kinds),
    }  # fmt: skip
