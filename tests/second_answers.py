"""One real proxy under load while bytes follow its backends' answers.

By hand: ``python -m tests.second_answers KIND SHARE DELAY_MS SECONDS [SEED [CLIENTS]]``, such as
``SAME 0.02 30 10``; KIND is a name of ``faulty_answers.Extra``, DELAY_MS the longest delay, which is drawn.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any, ClassVar

from tests.answer_referee import CLASSES, Clients, Findings, judge
from tests.faulty_answers import CELL_SIZE, AnswerFault, Extra, Farm
from tests.proxy_process import ProxyProcessTest

BACKENDS = 6


class SecondAnswersStage(ProxyProcessTest):
    """A proxy, six backends in three cells, and clients that keep their connections."""

    settings: ClassVar[dict[str, Any]] = {
        "Classes": CLASSES,
        "Tenants": [{"Name": "acme", "QuotaPerS": 10000.0}],
    }

    def play(self, fault: AnswerFault, seconds: float, seed: int = 1, clients: int = 12) -> Findings:
        """Play one fault; returns the broken rules."""
        self.farm = Farm(BACKENDS, fault, seed)
        self.addCleanup(self.farm.close)
        rows = [
            {"uid": f"s-{number}", "endpoint": f"127.0.0.1:{port}", "az": "a", "model": "m",
             "pod_group": number // CELL_SIZE, "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0}
            for number, port in enumerate(self.farm.ports)
        ]  # fmt: skip
        self.start(*rows)
        load = Clients(self.port, clients, seed)
        asyncio.run(self._serve_and_load(load, seconds))
        return judge(self.farm, load.answers)

    async def _serve_and_load(self, load: Clients, seconds: float) -> None:
        await self.farm.serve()
        await load.play(seconds)


def main(words: list[str]) -> int:
    """Play one fault; returns 1 if a rule was broken."""
    if not 4 <= len(words) <= 6 or words[0] not in Extra.__members__:
        print(__doc__, file=sys.stderr)
        return 2
    share, delay_ms, seconds = map(float, words[1:4])
    seed, clients = [*map(int, words[4:]), *(1, 12)[len(words) - 4 :]]
    stage = SecondAnswersStage()
    stage.setUp()
    try:
        fault = AnswerFault(Extra[words[0]], share, (0.0, delay_ms / 1000.0))
        findings = stage.play(fault, seconds, seed, clients)
        print(
            f"{' '.join(words)}: extras={stage.farm.extras} connections={stage.farm.connections} {findings}"
        )
        return int(bool(findings.broken))
    finally:
        stage.doCleanups()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
