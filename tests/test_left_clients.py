"""Clients that leave with much still unread: picture (d) of incident 5e36ff, requests sent on afterwards."""

from __future__ import annotations

import json
import socket
import time
from typing import Any, ClassVar

from tests.loopback_servers import LoopbackServer
from tests.proxy_process import NEVER_RAN, ProxyProcessTest, chunk, listing, row
from tests.scripted_peers import Exchange, ScriptedServer, request

BODY = b"b" * 430_000
REFUSED_AFTER_S, LEFT_AFTER_S, SENT_AFTER_LEFT_S = 0.5, 0.1, 0.1


def turn_away_late(exchange: Exchange) -> None:
    time.sleep(REFUSED_AFTER_S)
    exchange.send(NEVER_RAN)


class SilentServer(LoopbackServer):
    """A machine that completes no connection."""

    def _accept(self) -> None:
        """Accept none: what the kernel completes is filled by the test."""


class LeftClients(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "note", "AimMs": 400.0, "HardLimitMs": 3000.0, "Effect": "side_effect"}],
        "Limits": {"AttemptsCap": 3, "Cancel": True, "RetryAfter": True, "DialTimeoutMs": 600.0},
    }

    # Guards against: an attempt begins for a client that has closed its connection behind unread data.
    def test_no_attempt_begins_after_a_close_that_stands_behind_an_unread_body(self) -> None:
        silent = self.peer(SilentServer())
        silent.listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", silent.port))
        server = self.peer(ScriptedServer({"x": turn_away_late}))
        self.start(row("s-silent", silent))
        watch = self.discovery.watch()
        self.await_up()
        client = self.connect()
        client.sendall(request("/note/x", "left", 3.0, BODY))
        time.sleep(LEFT_AFTER_S)
        client.close()
        self.tell(watch, row("s-1", server))
        time.sleep(1.5)
        self.assertEqual(server.runs["left"], 0)

    def tell(self, watch: socket.socket, *rows: dict[str, Any]) -> None:
        watch.sendall(chunk(json.dumps(listing(42, False, *rows)) + "\n"))
