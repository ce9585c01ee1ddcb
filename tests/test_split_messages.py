"""Parsers, bodies and their progress, with messages that arrive in pieces of any size."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lupinlink.limits.body_progress import GRACE_MS, MIN_BYTES_PER_MS, STALL_TIMEOUT_MS, BodyProgress
from lupinlink.net import http1
from lupinlink.net.bodies import REPLAY_LIMIT_BYTES, SMALL_BODY_BYTES, Body
from lupinlink.net.body_budget import BodyBudget

FORMS = [
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b'3;a="b;c";d\r\nabc\r\n0004  \r\ndefg\r\n0;x\r\nX-Sum: 1\r\nX-More: ' + b"t" * 1000 + b"\r\n\r\n",
    b"\r\n\r\nGET http://host:80/a HTTP/1.0\r\n\r\n",
    b"POST /a HTTP/1.1\r\nContent-Length: 7, 7\r\n\r\nabcdefg",
    b"HEAD /a HTTP/1.1\r\n\r\n",
]


class Pieces(unittest.TestCase):
    @given(st.lists(st.sampled_from(FORMS), min_size=1, max_size=4), st.data())
    def test_any_split_parses_alike(self, forms: list[bytes], data: st.DataObject) -> None:
        whole = b"".join(forms)
        at = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=8)))
        parser, bodies, body = http1.RequestParser(), list[bytes](), b""
        for a, b in zip([0, *at], [*at, len(whole)], strict=True):
            parser.feed(whole[a:b])
            while (message := parser.next()) is not None:
                bodies.append(body + message.body)
                body = b""
                self.assertEqual(message.target, "/a")
            body += parser.take_body() if parser.head is not None else b""
        self.assertEqual(bodies, [b"abcdefg" if form.startswith(b"POST") else b"" for form in forms])

    def test_the_answer_to_a_head_has_no_body_whatever_it_says(self) -> None:
        for framing in (b"Content-Length: 5", b"Transfer-Encoding: chunked", b"X: y"):
            parser = http1.ResponseParser()
            parser.for_head_request = True
            parser.feed(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
            message = parser.next()
            assert message is not None
            self.assertEqual(message.body, b"")

    @given(st.lists(st.binary(min_size=1, max_size=90_000), max_size=12), st.data())
    def test_a_body_is_read_as_received_and_leaves_nothing_in_the_budget(
        self, pieces: list[bytes], data: st.DataObject
    ) -> None:
        budget = BodyBudget(400_000)
        body, got, said = Body(budget, None), b"", list[bool]()
        body.on_discard = lambda: said.append(body.replayable)
        for piece in pieces:
            body.add(piece)
            if data.draw(st.booleans()):
                got += body.read(len(got), 64 * 1024)
                body.mark_sent(len(got))
            self.assertEqual(budget.held_bytes, len(body))
        while more := body.read(len(got), 64 * 1024):
            got += more
            body.mark_sent(len(got))
        self.assertEqual(got, b"".join(pieces))
        self.assertEqual((bool(said), any(said)), (not body.replayable, False))
        if len(got) <= SMALL_BODY_BYTES:
            self.assertTrue(body.replayable)
        if body.replayable:
            self.assertLessEqual(len(body), REPLAY_LIMIT_BYTES)
            self.assertEqual(body.read(0, len(got)), got)
        body.discard()
        self.assertEqual(budget.held_bytes, 0)

    def test_progress_is_a_rate_and_a_paused_sender_is_not_late(self) -> None:
        body = BodyProgress(0.0)
        self.assertFalse(body.timed_out(GRACE_MS))
        self.assertTrue(body.timed_out(GRACE_MS + 1.0))  # nothing was received
        body.received(int(MIN_BYTES_PER_MS * 3000.0), 10.0)
        self.assertEqual(
            [body.timed_out(10.0 + STALL_TIMEOUT_MS), body.timed_out(11.0 + STALL_TIMEOUT_MS)], [False, True]
        )
        body.pause(20.0)
        self.assertFalse(body.timed_out(1e9))
        body.resume(90_000.0)
        self.assertEqual(
            [body.timed_out(90_000.0 + t) for t in (STALL_TIMEOUT_MS, STALL_TIMEOUT_MS + 1.0)], [False, True]
        )


if __name__ == "__main__":
    unittest.main()
