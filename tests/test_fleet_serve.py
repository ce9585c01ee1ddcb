"""The serve command with and without a fleet file, as real processes with the emulated agreement service."""

from __future__ import annotations

import http.client
import json
import tempfile
from base64 import b64decode
from contextlib import redirect_stderr
from io import StringIO
from pathlib import Path
from typing import Any, ClassVar

from lupinlink.commands import serve
from tests.agreements import ConsulStandIn
from tests.proxy_process import WAIT, ApplicationServer, ProxyProcessTest, row


class Fleet(ProxyProcessTest):
    module: ClassVar[str] = "tests.loaded_modules"

    @classmethod
    def tearDownClass(cls) -> None:
        ConsulStandIn.end()

    def setUp(self) -> None:
        super().setUp()
        self.service = ConsulStandIn()
        self.addCleanup(self.service.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Path(folder.name) / "fleet.toml"
        self.prefix = f"{self.id().rsplit('.', 1)[1]}/"
        self.key = f"{self.prefix}alive/n1"
        self.write(f"""
            [agreement]
            address = "127.0.0.1:{self.service.port}"
            prefix = "{self.prefix}"
            lease_s = 1.0
            call_ms = 300.0
            lock_delay_s = 0.1
            [member]
            version = "v7"
            """)

    def write(self, text: str) -> None:
        self.fleet.write_text(text)

    def serve(self, fleet: bool = True) -> None:
        self.server = self.peer(ApplicationServer())
        env = {"LB_MGMT": "127.0.0.1:0", **({"LB_FLEET": str(self.fleet)} if fleet else {})}
        self.start(row("s-1", self.server), env=env)

    def joined(self) -> dict[str, Any]:
        found = self.service.until(self.prefix, lambda rows: bool(rows.get(self.key, {}).get("Session")))
        member: dict[str, Any] = json.loads(b64decode(found[self.key]["Value"]))
        return member

    def state(self) -> str:
        connection = http.client.HTTPConnection("127.0.0.1", self.door, timeout=WAIT)
        self.addCleanup(connection.close)
        connection.request("GET", "/control/fleet")
        return connection.getresponse().read().decode()

    def test_serving_without_a_fleet_file_loads_no_fleet_modules(self) -> None:
        self.serve(fleet=False)
        self.assertEqual(self.ask().read(), b"ok")
        self.assertEqual(self.stop(), 0)
        self.assertEqual(self.line("msg=loaded").rsplit("fleet=", 1)[1], "\n")

    def test_a_killed_process_is_unlocked_once_its_lease_has_ended(self) -> None:
        self.serve()
        self.assertEqual(self.joined(), {"name": "n1", "zone": "a", "version": "v7", "pool": ""})
        self.line("msg=joined")
        output = self.state()
        self.assertIn("joined     yes\n", output)
        self.assertRegex(output, r"lease      held, believed for \d\.\d s more\n")
        self.assertEqual(self.ask().read(), b"ok")
        self.process.kill()
        self.service.until(self.prefix, lambda rows: "Session" not in rows[self.key])

    def test_a_process_that_stops_in_order_leaves_no_record(self) -> None:
        self.serve()
        self.joined()
        self.line("msg=joined")
        self.assertEqual(self.stop(), 0)
        self.assertIn("lupinlink.coordination.consul", self.line("msg=loaded"))
        self.service.until(self.prefix, lambda rows: not rows)
        self.assertFalse(self.service.call("records", "GET")["sessions"])

    def test_it_serves_without_the_agreement_service_and_joins_later(self) -> None:
        self.service.gone()
        self.serve()
        self.line("LL101")
        self.assertEqual(self.ask().read(), b"ok")
        self.assertIn("lease      none: LL101 ", self.state())
        self.service.gone(False)
        self.joined()

    def test_an_invalid_fleet_file_ends_the_start_with_one_line(self) -> None:
        self.write("[agreement]\nlease = 3\n")
        config = self.fleet.with_name("config.json")
        config.write_text(json.dumps(self.config()))
        with redirect_stderr(StringIO()) as output:
            self.assertEqual(serve.main(["serve", f"--config={config}", f"--fleet={self.fleet}"]), 2)
        line = (
            r"^lupinlink: LL501 [^\n]*/fleet.toml: agreement.lease: there is no such key; allowed: [^\n]*\n$"
        )
        self.assertRegex(output.getvalue(), line)

    def test_a_fleet_of_one_uses_the_service_in_memory(self) -> None:
        self.write('[agreement]\nform = "memory"\n')
        self.serve()
        self.line("msg=joined")
        self.assertIn("agreement  memory\n", self.state())
        self.assertEqual(self.stop(), 0)
        self.assertNotIn("treq", self.line("msg=loaded"))
