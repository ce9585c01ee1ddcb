"""HTTP/1.1 messages as bytes: heads, framing, chunks. No I/O here."""

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
CHUNKED = -1  # in place of a length
LAST_CHUNK = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """A piece of a chunked body; none for no bytes, which would end it."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def _head(first: str, headers: list[tuple[str, str]], length: int | None, close: bool = False) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    if length is not None:
        lines.append("Transfer-Encoding: chunked" if length == CHUNKED else f"Content-Length: {length}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request_head(method: str, target: str, headers: list[tuple[str, str]], length: int = 0) -> bytes:
    """A request's head; ``length``: of its body, or CHUNKED."""
    framed = length if length or method == "POST" else None
    return _head(f"{method} {target} HTTP/1.1", headers, framed)


def request(method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """A request's bytes; the framing is added here."""
    return request_head(method, target, headers, len(body)) + body


def response_head(status: int, headers: list[tuple[str, str]], length: int | None, close: bool) -> bytes:
    """An answer's head; ``length``: of its body, CHUNKED, or None for a body to the end of the connection."""
    return _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", headers, length, close)


def response(status: int, headers: list[tuple[str, str]], body: bytes, close: bool) -> bytes:
    """An answer's bytes; the framing is added here."""
    return response_head(status, headers, len(body), close) + body
