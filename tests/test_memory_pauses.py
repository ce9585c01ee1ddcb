"""Reading of a client's connection stops while memory is short, and goes on (incident 693c92)."""

from __future__ import annotations

import unittest
from collections import Counter
from types import SimpleNamespace
from typing import Any

from lupinlink.limits.memory_account import Holding, MemoryAccount, MemoryKind, MemoryLevel
from lupinlink.net.bodies import Body
from lupinlink.net.body_budget import BodyBudget
from lupinlink.net.clients.requests import Http1ClientConnection
from lupinlink.net.request_types import ClientRequest
from tests.test_upload_time import connected_sockets

LIMIT = 1_000_000
REQUEST = b"GET /look/1 HTTP/1.1\r\nX-Trace-Id: r\r\n\r\n"
LONG_REQUEST = REQUEST[:-2] + b"X-Long: " + b"x" * 5_000 + b"\r\n\r\n"


class Pauses(unittest.TestCase):
    def setUp(self) -> None:
        self.calls: list[str] = []
        sender, receiver = connected_sockets()
        for end in (sender, receiver):
            self.addCleanup(end.close)
            end.setblocking(False)
        account = MemoryAccount(LIMIT)
        budget = BodyBudget(1 << 30, account)
        self.holding = Holding(account, MemoryKind.CLIENTS)
        owner: Any = SimpleNamespace(
            clock=SimpleNamespace(now=lambda: 0.0), counters=Counter(), account=account, budget=budget,
            uploading={}, streaming={}, unsent={}, keeps_open=lambda client: True,
            proxy=SimpleNamespace(submit=lambda request, responder: 1),
            set_phase=lambda client, phase, anew=False: None,
        )  # fmt: skip
        owner.read_request = lambda message, path: ClientRequest(
            "id", 0, 0, 1000.0, False, "GET", path, [], Body(budget, None)
        )
        self.connection = Http1ClientConnection(owner)
        transport: Any = SimpleNamespace(
            getHandle=lambda: receiver, dataBuffer=b"", offset=0, _tempDataLen=0,
            pauseProducing=lambda: self.calls.append("pause"),
            resumeProducing=lambda: self.calls.append("resume"),
        )  # fmt: skip
        self.connection.transport = transport
        self.holding.set(LIMIT * 7 // 10)
        assert account.level is MemoryLevel.REFUSE

    # Guards against: a client whose bytes were used is not read while others keep memory short (as case 7).
    def test_a_client_is_read_on_once_the_requests_behind_its_open_one_are_taken(self) -> None:
        self.connection.dataReceived(REQUEST + LONG_REQUEST)
        self.assertEqual(self.calls, ["pause"])
        self.connection.refused(0.0)
        self.assertEqual(self.calls, ["pause", "resume"])

    # Guards against: as above, where the memory is free again before the rest of a head has come.
    def test_a_client_is_read_on_as_soon_as_memory_is_less_short(self) -> None:
        self.connection.dataReceived(LONG_REQUEST[:-4])
        self.assertEqual(self.calls, ["pause"])
        self.holding.set(0)
        self.connection.reading_allowed()
        self.connection.dataReceived(LONG_REQUEST[-4:])
        self.assertEqual(self.calls, ["pause", "resume"])
