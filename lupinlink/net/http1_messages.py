"""Parsed HTTP/1.1 messages, and the error for invalid ones."""

from __future__ import annotations

from dataclasses import dataclass, field

# Headers of a single connection, which are not forwarded, and those that the proxy writes itself.
HOP_BY_HOP = frozenset(
    "connection keep-alive proxy-connection te trailer transfer-encoding upgrade content-length"
    " expect".split()
)


class MessageError(Exception):
    """Bytes that are not a valid message; ``status`` is the HTTP status for the sender."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Message:
    """A request or an answer. Header names keep their case; look-ups use lower case."""

    version: int  # minor
    headers: list[tuple[str, str]]
    method: str = ""
    target: str = ""
    status: int = 0
    body: bytes = b""
    lookup: dict[str, str] = field(default_factory=dict)

    def get(self, name: str) -> str | None:
        """The value of a header, by its name in lower case."""
        return self.lookup.get(name)

    def options(self) -> set[str]:
        """The options that the Connection header lists, in lower case."""
        return {o.strip().lower() for o in self.lookup.get("connection", "").split(",")}

    def keeps_open(self) -> bool:
        """Whether the sender wants the connection to be kept open."""
        options = self.options()
        return "close" not in options and (self.version == 1 or "keep-alive" in options)
