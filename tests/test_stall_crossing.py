"""The rest of an answer that has arrived, unread, as its time-out for lack of progress fires."""

from __future__ import annotations

import time
import unittest

from lupinlink.interface import Status
from lupinlink.net.application_servers.connection import STREAM_STALL_MS
from lupinlink.net.bodies import SMALL_BODY_BYTES
from tests.manual_reactor import ManualReactorTest
from tests.proxy_process import OK

CUT = 20  # bytes of the answer that come first
TIME_OUT_MS, LATE_S = 300.0, 0.05


class HeldUpDuringAnAnswer(ManualReactorTest):
    # Guards against an answer thrown away as stalled though its rest had come while the process was held up.
    def test_the_rest_of_an_answer_precedes_its_time_out(self) -> None:
        server, connection = self.loop.idle_connection()
        attempt, ends = self.loop.attempt()
        self.loop.receive_request(server)
        attempt.set_deadline(self.loop.clock.now() + TIME_OUT_MS)
        server.sendall(OK[:CUT])
        self.loop.iterate_until(lambda: connection._parser.started())
        server.sendall(OK[CUT:])
        time.sleep(TIME_OUT_MS / 1000.0 + LATE_S)
        self.until_ended(ends)
        self.assertEqual(ends[0].status, Status.OK)

    # Guards against the same of an answer that is streamed.
    def test_more_of_a_streamed_answer_precedes_its_time_out(self) -> None:
        server, connection = self.loop.idle_connection()
        _, ends = self.loop.attempt()
        self.loop.receive_request(server)
        body = b"x" * (2 * SMALL_BODY_BYTES)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        server.sendall(answer[: SMALL_BODY_BYTES // 2])
        self.until_ended(ends)
        assert ends[0].reply is not None and ends[0].reply.stream is not None
        stream, broke = ends[0].reply.stream, list[bool]()
        received = bytearray(ends[0].reply.body)
        stream.on_data, stream.on_error = received.extend, lambda: broke.append(True)
        stream.on_end = lambda: None
        server.sendall(answer[SMALL_BODY_BYTES // 2 :])
        connection._last_data_at -= STREAM_STALL_MS + 1.0
        connection._check_stream(connection._stream)
        self.loop.iterate_until(lambda: broke or len(received) == len(body))
        self.assertEqual((broke, len(received)), ([], len(body)))


if __name__ == "__main__":
    unittest.main()
