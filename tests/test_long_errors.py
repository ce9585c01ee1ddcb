"""Real processes and answers of servers that nobody is passed on: picture (b) of incident 5e36ff."""

from __future__ import annotations

from functools import partial
from pathlib import Path
from typing import Any, ClassVar

from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import Exchange, Script, ScriptedServer, all_at_once, answer, ask, paced, request

CLIENTS, LENGTH = 120, 3_000_000
PACE_PER_S = 2_500_000.0  # an answer takes over a second
LIMIT_MB = 96
BODY = b"e" * LENGTH


def give_up_slowly(status: int, more: str, exchange: Exchange) -> None:
    exchange.read_body()
    exchange.send(*paced(answer(BODY, status, more), PACE_PER_S))


SCRIPTS: dict[str, Script] = {
    "500": partial(give_up_slowly, 500, ""),
    "404": partial(give_up_slowly, 404, ""),
    "never-ran": partial(give_up_slowly, 503, "X-Never-Ran: 1\r\n"),
}


class LongErrors(ProxyProcessTest):
    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": LIMIT_MB, "sockets": 1024}
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "note", "AimMs": 400.0, "HardLimitMs": 3000.0, "Effect": "side_effect"}],
    }

    def peak_mb(self) -> float:
        """The most memory that the process has had resident."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024.0
        raise AssertionError("no VmHWM")

    # Guards against: answers of a status other than 200 are collected whole and fill the memory.
    def test_long_answers_of_another_status_do_not_fill_the_memory(self) -> None:
        servers = [self.peer(ScriptedServer(SCRIPTS)) for _ in range(3)]
        self.start(*(row(f"s-{number}", server) for number, server in enumerate(servers)))
        self.await_up()
        names = [name for name in SCRIPTS for _ in range(CLIENTS // len(SCRIPTS))]
        asked = [partial(ask, self.port, request(f"/note/{n}", f"{i}", 3.0)) for i, n in enumerate(names)]
        found = all_at_once(*asked)
        self.assertLessEqual({answered.status for answered in found}, {502, 503, 504})
        self.assertLess(max(answered.last_s for answered in found), 3.3)
        self.assertLess(self.peak_mb(), LIMIT_MB)
