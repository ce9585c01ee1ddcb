"""Reload of the configuration, and the move of the discovery watch that follows."""

from __future__ import annotations

import json
import signal
import time
from pathlib import Path
from typing import Any, ClassVar

from tests.proxy_process import WAIT, ApplicationServer, Discovery, ProxyProcessTest, chunk, listing, row


class Moving(ProxyProcessTest):
    """A proxy that watches one discovery server, and a second one to move to."""

    def setUp(self) -> None:
        super().setUp()
        self.old, self.new = self.peer(ApplicationServer()), self.peer(ApplicationServer())
        self.later = self.peer(Discovery())
        self.later.list = listing(3, True, row("s-2", self.new))
        self.start(row("s-1", self.old), env={"LB_DISCOVERY": f"127.0.0.1:{self.discovery.port}"})
        self.watch = self.discovery.watch()

    def replace(self, text: str | None = None, **changes: Any) -> None:
        config = {**self.config(), "discovery": f"127.0.0.1:{self.later.port}", **changes}
        Path(self.file).write_text(json.dumps(config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)


class Reload(Moving):
    def test_the_discovery_of_the_file_replaces_the_first_one_and_its_list(self) -> None:
        # The new discovery counts its own versions (3 follows 41); servers that it does not list are removed.
        self.replace(limits={**self.limits, "sockets": 300})
        self.assertIn("needs_restart=sockets", self.line("msg=reloaded"))
        self.assertEqual(self.later.asked.get(timeout=WAIT), "GET /discovery/hosts HTTP/1.1")
        self.assertIn("from=3 ", self.later.asked.get(timeout=WAIT))
        self.discovery.ends.get(timeout=WAIT)  # the old watch
        self.old.seen.queue.clear()
        for _ in range(10):
            self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual((self.old.seen.qsize(), self.new.seen.qsize()), (0, 10))

    def test_the_old_watch_is_used_until_the_new_one_answers(self) -> None:
        self.later.list = None  # silent
        self.replace()
        self.later.asked.get(timeout=WAIT)
        self.ask().read()
        told = listing(42, False, row("s-1", self.old, "terminating"), row("s-2", self.new))
        self.watch.sendall(chunk(json.dumps(told) + "\n"))
        self.old.ends.get(timeout=WAIT)
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual(self.new.seen.qsize(), 1)
        self.later.list = listing(3, True, row("s-2", self.new))
        self.discovery.ends.get(
            timeout=WAIT
        )  # the new discovery answers when it is asked again, and the old watch ends

    def test_a_bad_file_changes_nothing_and_signals_may_repeat(self) -> None:
        for bad in ("{", "", '{"listen":"127.0.0.1:1","discovery":"nowhere"}'):
            self.replace(bad)
            self.line('msg="reload failed"')
            self.assertEqual(self.ask().read(), b"ok")
        for _ in range(20):
            self.process.send_signal(signal.SIGHUP)
        self.replace()
        self.line("msg=reloaded")
        self.discovery.ends.get(timeout=WAIT)
        self.process.send_signal(signal.SIGTERM)
        self.process.send_signal(signal.SIGHUP)
        self.assertEqual(self.process.wait(WAIT), 0)


class LeastMemory(ProxyProcessTest):
    limits: ClassVar[dict[str, Any]] = {"cores": 1.0, "memory_mb": 32, "sockets": 256}

    def test_a_proxy_serves_within_the_least_memory(self) -> None:
        # Guards against a start that needs 64 MB and otherwise exits at once.
        server = self.peer(ApplicationServer())
        self.start(row("s-1", server))
        clients = [self.client() for _ in range(80)]
        for client in clients:
            self.assertEqual(self.ask(client).read(), b"ok")
        until = time.monotonic() + WAIT
        anonymous = 99.0
        while anonymous > 30.0 and time.monotonic() < until:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            anonymous = int(status.split("RssAnon:")[1].split()[0]) / 1024.0
        self.assertLess(anonymous, 30.0)
