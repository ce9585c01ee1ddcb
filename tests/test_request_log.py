"""What the log says, at level info, of requests that get no answer of a server."""

from __future__ import annotations

from tests.proxy_process import ApplicationServer, ProxyProcessTest, row


class RequestLog(ProxyProcessTest):
    # Guards against: no line names the request, its server and the bound that ended its attempt (5e36ff).
    def test_a_failure_has_its_reason_and_how_its_last_attempt_ended(self) -> None:
        self.start(row("s-1", self.peer(ApplicationServer(None))))
        self.await_up()
        self.ask(ms=300).read()
        given_up = self.line('msg="attempt given up"')
        for part in ("id=t1", "server=s-1", 'why="given up"', "written=True", "answer_begun=False"):
            self.assertIn(part, given_up)
        refused = self.line("id=t1")
        self.assertIn("events=1", refused)
