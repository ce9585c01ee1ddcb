"""Encodes HTTP/1.1 messages: heads, framing, chunks. Performs no I/O."""

from __future__ import annotations

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
CHUNKED = -1  # passed instead of a length
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body; empty for no data, as an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def _head(first: str, headers: list[tuple[str, str]], length: int | None, close: bool = False) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    if length is not None:
        lines.append("Transfer-Encoding: chunked" if length == CHUNKED else f"Content-Length: {length}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request_head(method: str, target: str, headers: list[tuple[str, str]], length: int = 0) -> bytes:
    """The head of a request; ``length``: of its body, or CHUNKED."""
    framed = length if length or method == "POST" else None
    return _head(f"{method} {target} HTTP/1.1", headers, framed)


def request(method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """A whole request, with its framing headers added."""
    return request_head(method, target, headers, len(body)) + body


def response_head(status: int, headers: list[tuple[str, str]], length: int | None, close: bool) -> bytes:
    """The head of an answer; ``length``: of its body, CHUNKED, or None if the connection's close ends it."""
    return _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", headers, length, close)


def response(status: int, headers: list[tuple[str, str]], body: bytes, close: bool) -> bytes:
    """A whole answer, with its framing headers added."""
    return response_head(status, headers, len(body), close) + body
