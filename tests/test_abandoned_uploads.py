"""Uploads whose clients have closed their connections, and uploads in tiny chunks, beside sound requests."""

from __future__ import annotations

import time
from typing import Any, ClassVar

from tests.loopback_servers import WAIT
from tests.proxy_process import ProxyProcessTest, row
from tests.scripted_peers import ScriptedServer, default_script, request

CHUNKS = b"1\r\nx\r\n" * 10_000


class AbandonedUploads(ProxyProcessTest):
    settings: ClassVar[dict[str, Any]] = {
        "Classes": [{"Name": "look", "AimMs": 2000.0, "HardLimitMs": 8000.0, "Effect": "pure"}],
    }

    # Guards against: an upload whose client has left is read to its end first, and holds up all others.
    def test_an_upload_whose_client_has_left_is_dropped_at_once(self) -> None:
        server = self.peer(ScriptedServer({"1": default_script}))
        self.start(row("s-1", server))
        self.await_up()
        head = request("/look/1", "chunks", 8.0, b"", chunked=True)[:-5].replace(b"GET", b"POST")
        uploads = [self.connect(head.replace(b"chunks", b"chunks-%d" % n)) for n in range(200)]
        for upload in uploads:
            upload.settimeout(WAIT)
            upload.sendall(CHUNKS)
            upload.close()
        begin = time.monotonic()
        self.settle(clients_open=0, clients_body=0)
        self.assertLess(time.monotonic() - begin, 1.0)
        self.assertEqual(self.ask().status, 200)
