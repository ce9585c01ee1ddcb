"""The work for what a peer sends is in proportion to its length: one peer can't hold up the event loop."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from contextlib import suppress

from lupinlink.net import http1
from lupinlink.net.bodies import REPLAY_LIMIT_BYTES, Body
from lupinlink.net.body_budget import BodyBudget
from lupinlink.net.handover.messages import Reader
from lupinlink.net.list_format import ListError, ObjectSplitter
from tests.watch_test_case import split_objects
from tests.work_growth import MAX_GROWTH, SIZE_RATIO, Build, work_growth

HEAD_BYTES = http1.MAX_HEAD // 9  # with the larger size, eight times this, a head is still below its limit
REQUEST, ANSWER = b"GET /a HTTP/1.1\r\n", b"HTTP/1.1 200 OK\r\n"
CHUNK_LINE_BYTES = http1.MAX_CHUNK_LINE // 9
CHUNKED = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
LIST_BYTES = 4000  # of a list of discovery; the larger ones have eight and 64 times as many
LISTS: dict[str, tuple[bytes, bytes]] = {  # how an object begins, and the piece that follows again and again
    "a long string on one line": (b'{"a": "', b"aaaaaaaa"),
    "pieces that end in a brace": (b'{"targets": [{}', b',{"uid": "a"}'),
    "lines that end in a brace": (b'{"targets": [{}\n', b',{"uid": "a"}\n'),
    "lines with line ends inside each entry": (b'{"targets": [{}\n', b',{"uid":\n"a"}\n'),
    "an array on many lines": (b"[\n", b"{}\n,"),
    "braces that close too much": (b"{\n", b"}"),
    "escaped quotes": (b'{"a": "', b'\\"'),
    "backslashes": (b'{"a": "', b"\\"),
    "quotes": (b'{"a": ["', b'","'),
    "a brace within a string": (b'{"a": "', b"}"),
    "white space": (b'{"a": ', b"  "),
    "empty lines": (b"", b"\n"),
    "empty lines with spaces": (b"", b" \r\n"),
    "white space without a line end": (b"", b"   "),
    "deltas": (b"", b'{"rev": 1, "targets": []}\n'),
}
Fill = Callable[[int], bytes]  # a message, or its begin, with about so many bytes

# What may stand in a head, by name; ``n`` is its size in bytes.
HEAD_LINES: dict[str, Fill] = {
    "spaces, then a control character": lambda n: b"X:" + b" " * n + b"\x01\r\n\r\n",
    "tabs, then a control character": lambda n: b"X:" + b"\t" * n + b"\x01\r\n\r\n",
    "spaces and tabs only": lambda n: b"X:" + b" \t" * (n // 2) + b"\r\n\r\n",
    "spaces within a value": lambda n: b"X: a" + b" " * n + b"b\r\n\r\n",
    "spaces within a value, then a control character": lambda n: b"X: a" + b" " * n + b"b\x01\r\n\r\n",
    "words, then a control character": lambda n: b"X: " + b"a " * (n // 2) + b"\x01\r\n\r\n",
    "a name without a colon": lambda n: b"X" * n + b"\r\n\r\n",
    "spaces before a colon": lambda n: b"X" + b" " * n + b": a\r\n\r\n",
    "one field again and again": lambda n: (b"X: " + b"a" * (n // 90) + b"\r\n") * 90 + b"\r\n",
    "connection options": lambda n: b"Connection: " + b"a, " * (n // 3) + b"\r\n\r\n",
    "content lengths": lambda n: b"Content-Length: " + b"1," * (n // 2) + b"1\r\n\r\n",
    "digits of a content length": lambda n: b"Content-Length: " + b"0" * n + b"\r\n\r\n",
    "codings": lambda n: b"Transfer-Encoding: " + b"chunked, " * (n // 9) + b"\r\n\r\n",
}
FIRST_LINES: dict[str, Fill] = {
    "a method": lambda n: b"G" * n + b"\r\n\r\n",
    "spaces after the method": lambda n: b"GET " + b" " * n + b"/ HTTP/1.1\r\n\r\n",
    "a target": lambda n: b"GET /" + b"/" * n + b" HTTP/1.x\r\n\r\n",
    "an absolute target": lambda n: b"GET http://" + b"a" * n + b" HTTP/1.1\r\n\r\n",
    "many absolute targets": lambda n: b"GET " + b"http://" * (n // 7) + b"\r\n\r\n",
    "a reason": lambda n: b"HTTP/1.1 200 " + b" " * n + b"\x01\r\n\r\n",
    "empty lines": lambda n: b"\r\n" * (n // 2) + b"GET",
}


def run_of_a(size: int) -> bytes:
    """A text of this size."""
    return b"a" * size


def follow(first: bytes, fill: Fill) -> Fill:
    """A message that begins with ``first``."""
    return lambda size: first + fill(size)


def parse(parser: http1.Parser, data: bytes, piece: int) -> None:
    """Feed data in pieces of this size, and take the messages."""
    with suppress(http1.MessageError):
        for at in range(0, len(data), piece):
            parser.feed(data[at : at + piece])
            while parser.next() is not None:
                pass


def parsing(make: Callable[[], http1.Parser], fill: Fill, piece: int | None = None) -> Build:
    """The parsing of a message, whole by default, else in pieces of this size."""

    def build(size: int) -> Callable[[], None]:
        parser, data = make(), fill(size)
        return lambda: parse(parser, data, piece or len(data))

    return build


def splitting(begin: bytes, piece: bytes, whole: bool) -> Build:
    """The splitting of an object of discovery that comes in these pieces, or ``whole``."""

    def build(size: int) -> Callable[[], None]:
        pieces = [begin] + [piece] * (size // len(piece))
        return lambda: split([b"".join(pieces)] if whole else pieces)

    return build


def split(pieces: list[bytes]) -> None:
    """Feed the pieces, until one of them shows that it is no object."""
    splitter = ObjectSplitter()
    with suppress(ListError):
        for piece in pieces:
            split_objects(splitter, piece)
            splitter.has_partial  # noqa: B018


def receive(reader: Reader, pieces: list[bytes]) -> None:
    """Feed the pieces of one message."""
    messages = [message for piece in pieces for message in reader.feed(piece)]
    assert len(messages) == 1


def receive_and_send(body: Body, pieces: list[bytes]) -> None:
    """Add the pieces of a body, and read each one at once, as while it is streamed."""
    sent = 0
    for piece in pieces:
        body.add(piece)
        sent += len(body.read(sent, 64 * 1024))
        body.mark_sent(sent)
    assert sent == body.end


class InputCost(unittest.TestCase):
    def check(self, what: str, build: Build, small: int) -> None:
        with self.subTest(what):
            for size in (small // SIZE_RATIO, small):  # the first one tells sooner where time grows fast
                self.assertLess(work_growth(build, size), MAX_GROWTH, (what, size))

    def test_a_head_with_long_runs_of_any_character_does_not_hang_the_process(self) -> None:
        # Guards against the hang by one head of 6 kB (review case 1): its time grew by the third power.
        for what, line in HEAD_LINES.items():
            for make, first in ((http1.RequestParser, REQUEST), (http1.ResponseParser, ANSWER)):
                message = parsing(make, follow(first, line))
                self.check(f"{make.__name__}: {what}", message, HEAD_BYTES)
        for what, fill in FIRST_LINES.items():
            for make in (http1.RequestParser, http1.ResponseParser):
                self.check(f"{make.__name__}: {what}", parsing(make, fill), HEAD_BYTES)

    def test_a_head_that_arrives_byte_by_byte_is_not_searched_again_from_its_begin(self) -> None:
        # Guards against seconds of work for one head of 16 kB in small pieces, with each one searched anew.
        for what, fill in {
            "a value": lambda n: REQUEST + b"X: " + b"a" * n,
            "line ends": lambda n: REQUEST + b"X: a\r\n" * (n // 6),
            "CR only": lambda n: REQUEST + b"X: " + b"\r" * n,
        }.items():
            for piece in (1, 7):
                build = parsing(http1.RequestParser, fill, piece)
                self.check(f"{what} in pieces of {piece}", build, HEAD_BYTES)

    def test_a_chunk_or_trailer_line_that_arrives_byte_by_byte_is_searched_once(self) -> None:
        # Guards against the same for the lines of a chunked body.
        for what, begin in (("size", b"1;"), ("trailer", b"0\r\nX: ")):
            for piece in (1, 7):
                build = parsing(http1.RequestParser, follow(CHUNKED + begin, run_of_a), piece)
                self.check(f"chunk {what} in pieces of {piece}", build, CHUNK_LINE_BYTES)

    def test_many_chunks_and_trailers_cost_what_their_bytes_cost(self) -> None:
        # Guards against work for a message that grows with the number of its parts.
        for what, fill in {
            "chunks": lambda n: CHUNKED + b"1\r\na\r\n" * (n // 6),
            "extensions": lambda n: CHUNKED + b"1 " + b" " * (n // 9) + b";\r\na\r\n",
            "spaces in a size": lambda n: CHUNKED + b"0" * 16 + b"1" + b" " * (n // 9) + b"x\r\n",
            "trailers": lambda n: CHUNKED + b"0\r\n" + b"X: a\r\n" * (n // 6),
        }.items():
            for piece in (None, 5):
                self.check(f"{what}, pieces {piece}", parsing(http1.RequestParser, fill, piece), HEAD_BYTES)

    def test_a_list_of_discovery_is_not_parsed_again_with_each_piece_or_line(self) -> None:
        # Guards against a hang by an object of discovery whose pieces or lines each end in a brace.
        for what, (begin, piece) in LISTS.items():
            for whole in (False, True):
                self.check(f"{what}, whole {whole}", splitting(begin, piece, whole), LIST_BYTES)

    def test_a_handover_message_in_pieces_is_not_copied_again_with_each(self) -> None:
        # Guards against a hang of a serving process by what its successor, or predecessor, writes in pieces.
        def build(size: int) -> Callable[[], None]:
            reader, pieces = Reader(), [b"aaaaaaaa"] * (size // 8) + [b'"}\n']
            return lambda: receive(reader, [b'{"say": "no", "why": "', *pieces])

        self.check("a message", build, LIST_BYTES)

    def test_a_body_in_small_pieces_is_read_without_a_walk_over_all_of_them(self) -> None:
        # Guards against a hang by an upload in small pieces: each read walked over all that came before.
        for piece in (1, 8):

            def build(size: int, piece: int = piece) -> Callable[[], None]:
                body = Body(BodyBudget(size), None)
                return lambda: receive_and_send(body, [b"a" * piece] * (size // piece))

            self.check(f"pieces of {piece}", build, REPLAY_LIMIT_BYTES // 9)


if __name__ == "__main__":
    unittest.main()
