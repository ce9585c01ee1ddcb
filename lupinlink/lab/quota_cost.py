"""What a decision by a policy of quotas costs: ``python -m lupinlink.lab.quota_cost [--limits=N] [--json]``.

Policies are made up, requests drawn from a seed before the clock runs. Told are microseconds a decision, of
this thread's time: of stretches of 500 decisions the median, the least, the lowest and the highest tenth (a
machine that others use shows in them), and the mean of the first round, where all is met for the first time.

Usage:
  quota_cost [--limits=N] [--rounds=N] [--seed=N] [--json]

Options:
  --limits=N  Limits of each policy [default: 100].
  --rounds=N  Rounds of 20,000 decisions each, after a first one [default: 5].
  --seed=N    Of the requests [default: 1].
  --json      Print JSON.
"""

from __future__ import annotations

import json
import sys
from random import Random
from statistics import mean, quantiles
from time import thread_time

from docopt import docopt

from lupinlink.quota.compiled_policy import CompiledPolicy
from lupinlink.quota.language.reading import read_policy
from lupinlink.quota.local_token_store import LocalTokenStore
from lupinlink.quota.model import Policy, QuotaRequest

DECISIONS, STRETCH = 20_000, 500  # of a round, and timed at once
KEYS, FEW_KEYS, ADDRESSES = 200_000, 30, 20_000  # that requests are drawn from


def _tenants(limits: int, body: str = "") -> str:
    """Nested: fleet, tenants with a guaranteed part each, and in each of them a class."""
    parts = [
        f"quota t{i} {{ match tenant t{i} rate 100/s burst 50 guaranteed 5/s {body} }}"
        for i in range(limits // 2)
    ]
    looks = "".join(part[:-1] + "quota look { match class look rate 50/s burst 20 } }\n" for part in parts)
    return f'policy "tenants"\nquota fleet {{ rate 1000000/s burst 100000\n{looks} }}\n'


def _prefixes(limits: int) -> str:
    parts = "\n".join(f'quota k{i} {{ match key "k{i}/" rate 500/s }}' for i in range(limits - 1))
    return f'policy "keys"\nquota fleet {{ rate 1000000/s burst 100000\n{parts} }}\n'


def _network(number: int) -> str:
    return f"{10 + number // 256}.{number % 256}"


def _ranges(limits: int) -> str:
    parts = "\n".join(
        f"quota n{i} {{ match address {_network(i)}.0.0/16 rate 500/s }}" for i in range(limits - 1)
    )
    return f'policy "addresses"\nquota fleet {{ rate 1000000/s burst 100000\n{parts} }}\n'


def _values(limits: int) -> str:
    return _tenants(limits, "by key most 50").replace("guaranteed 5/s", "")


def requests(random: Random, limits: int, keys: int) -> list[QuotaRequest]:
    """As many as a round has."""
    return [
        QuotaRequest(
            random.choice(("look", "order", "scan")),
            f"t{random.randrange(limits // 2)}",
            random.choice("abc"),
            f"k{(key := random.randrange(keys)) % limits}/{key}",
            f"{_network(random.randrange(limits))}.0.{random.randrange(1, ADDRESSES // limits)}",
            random.random() < 0.1,
        )
        for _ in range(DECISIONS)
    ]


def measure(policy: Policy, asked: list[QuotaRequest], rounds: int, step_ms: float) -> dict[str, float]:
    """Microseconds a decision; ``step_ms``: from one arrival to the next."""
    compiled, purse, now = CompiledPolicy(policy.limits, 2000.0), LocalTokenStore(policy.limits), 0.0
    costs: list[float] = []
    refused = 0
    for start in [*range(0, len(asked), STRETCH)] * (rounds + 1):
        began = thread_time()
        for one in asked[start : start + STRETCH]:
            now += step_ms
            refused += not compiled.decide(one, now, purse).allowed
        costs.append((thread_time() - began) / STRETCH * 1e6)
    first = len(asked) // STRETCH
    tenths = quantiles(costs[first:], n=10)
    return {
        "us": round(tenths[4], 2),
        "us_least": round(min(costs[first:]), 2),
        "us_tenth": round(tenths[0], 2),
        "us_nine_tenths": round(tenths[8], 2),
        "us_first": round(mean(costs[:first]), 2),
        "refused_share": round(refused / len(costs) / STRETCH, 3),
    }


def main(argv: list[str]) -> int:
    """Measure each policy with few and with many refusals; returns the exit code."""
    args = docopt(__doc__ or "", argv=argv)
    limits, rounds = int(args["--limits"]), int(args["--rounds"])
    found = {}
    for name, text, keys in (
        ("tenants", _tenants(limits), KEYS),
        ("keys", _prefixes(limits), KEYS),
        ("addresses", _ranges(limits), KEYS),
        ("by key, known", _values(limits), FEW_KEYS),
        ("by key, new", _values(limits), KEYS),
    ):
        policy, findings = read_policy(text)
        assert not findings, findings
        asked = requests(Random(int(args["--seed"])), limits, keys)
        for load, step_ms in (("calm", 1.0), ("short", 0.005)):
            found[f"{name}, {load}"] = measure(policy, asked, rounds, step_ms)
    if args["--json"]:
        print(json.dumps({"limits": limits, "decisions_a_round": DECISIONS, "cases": found}, indent=1))
        return 0
    for name, row in found.items():
        print(f"{name:21} " + "  ".join(f"{key} {value:g}" for key, value in row.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
