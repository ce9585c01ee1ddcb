"""Ids that come again at real processes: picture (d) of incident 5e36ff, requests that ran twice."""

from __future__ import annotations

import socket
import tempfile
import threading
import time
from functools import partial
from typing import Any, ClassVar

from tests.proxy_process import NEVER_RAN, ProxyProcessTest, row
from tests.scripted_peers import Answered, Exchange, Script, ScriptedServer, answer, ask, request

WORK_S, WAIT_S, LONG_WORK_S = 0.3, 2.0, 1.5
REPEATED = 409  # neither a refusal, which would promise that nothing ran, nor served


def work(seconds: float, exchange: Exchange) -> None:
    exchange.read_body()
    time.sleep(seconds)
    exchange.send(answer(exchange.identity.encode()))


def turn_away(exchange: Exchange) -> None:
    exchange.read_body()
    exchange.send(NEVER_RAN)


SCRIPTS: dict[str, Script] = {
    "work": partial(work, WORK_S),
    "long": partial(work, LONG_WORK_S),
    "never-ran": turn_away,
}
CLASSES = [
    {"Name": "look", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "pure"},
    {"Name": "scan", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "token", "Group": "cell",
     "MemorySpanMs": 200.0},
    {"Name": "note", "AimMs": 400.0, "HardLimitMs": 2000.0, "Effect": "side_effect"},
]  # fmt: skip


class RepeatedIds(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {"Classes": CLASSES}

    def setUp(self) -> None:
        super().setUp()
        self.server = self.peer(ScriptedServer(SCRIPTS))

    def serve(self) -> None:
        self.start(*(row(f"s-{number}", self.server) for number in range(3)))
        self.await_up()

    def leave(self, cls: str, identity: str, after_s: float) -> None:
        """A client sends a request and leaves."""
        with socket.create_connection(("127.0.0.1", self.port)) as client:
            client.sendall(request(f"/{cls}/work", identity, WAIT_S))
            time.sleep(after_s)

    def again(self, cls: str, identity: str, script: str = "work") -> Answered:
        return ask(self.port, request(f"/{cls}/{script}", identity, WAIT_S))

    # Guards against: an id runs twice when it comes again after its client has left.
    def test_an_id_does_not_run_again_after_its_client_has_left(self) -> None:
        self.serve()
        for cls in ("note", "scan"):
            for left_s in (0.005, 0.1, 0.28):
                for later_s in (0.0, 0.1, 0.6):
                    identity = f"{cls}-{left_s}-{later_s}"
                    self.leave(cls, identity, left_s)
                    time.sleep(later_s)
                    status = self.again(cls, identity).status
                    with self.subTest(identity=identity):
                        self.assertLessEqual(self.server.runs[identity], 1)
                        self.assertIn(
                            status, (REPEATED, 200) if not later_s and left_s < 0.1 else (REPEATED,)
                        )

    # Guards against: as above, once the first request has its answer.
    def test_an_id_does_not_run_again_after_its_answer(self) -> None:
        self.serve()
        for cls in ("note", "scan", "look"):
            self.assertEqual(self.again(cls, cls).status, 200)
            time.sleep(0.1)
            status = self.again(cls, cls).status
            with self.subTest(cls=cls):  # a class that is safe to repeat may run again
                self.assertEqual(
                    (status, self.server.runs[cls]), (200, 2) if cls == "look" else (REPEATED, 1)
                )

    # Guards against: an id is refused for good though its request never ran.
    def test_an_id_that_never_ran_may_come_again(self) -> None:
        self.serve()
        self.assertEqual(self.again("note", "note", "never-ran").status, 503)
        self.assertEqual(self.again("note", "note").status, 200)

    # Guards against: an id runs at the old process of an upgrade and at the new one, both at once.
    def test_an_id_does_not_run_at_both_processes_of_an_upgrade(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        env = {"TMPDIR": folder.name}
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        config = {**self.config(row("s-1", self.server), row("s-2", self.server)),
                  "listen": f"127.0.0.1:{port}"}  # fmt: skip
        self.process, self.log = self.launch(config, env)
        self.port = int(self.line("msg=serving").rsplit("port=", 1)[1])
        self.await_up()
        self.assertEqual(self.again("note", "before").status, 200)
        _, new_log = self.launch(config, env)
        self.line('msg="listener offered to successor"')
        found: list[Answered] = []
        old = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(old.close)
        old.sendall(request("/note/long", "open", WAIT_S))
        first = threading.Thread(
            target=lambda: found.append(ask(self.port, request("/note/long", "late", WAIT_S)))
        )
        first.start()
        self.line("msg=serving", new_log)
        time.sleep(0.05)
        statuses = {identity: self.again("note", identity).status for identity in ("before", "open", "late")}
        first.join()
        self.assertEqual(statuses, dict.fromkeys(statuses, REPEATED))
        self.assertEqual([self.server.runs[identity] for identity in statuses], [1, 1, 1])
        self.assertEqual([one.status for one in found], [200])
