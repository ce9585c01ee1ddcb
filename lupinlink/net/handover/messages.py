"""The messages between two processes of one proxy, one JSON object per line. Performs no I/O.

The new process sends ``hello``. The old one replies with ``offer`` and passes the listening socket along, or
with ``wait`` while it is itself in an upgrade, or with ``no``. The new one sends ``ready`` once it serves;
from then on the old one reports its usage (``holds``) and passes on an operator's ``drain`` or ``undrain``.
From the offer on each tells the other which requests it sends (``sent``) that may not run twice; the offer
holds those of before. A process that knows this message says so by ``shares_sent`` in its hello or offer.
When a process ends, the other notices by the end of the channel.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

VERSION = 1
MAX_LINE_BYTES = 4 * 1024 * 1024  # the largest message carries the list from discovery
MESSAGE_KINDS = {"hello", "offer", "wait", "no", "ready", "holds", "drain", "undrain", "sent"}
WITH_DESCRIPTOR = "offer"  # the one message that passes a descriptor along


class HandoverError(ValueError):
    """The bytes received are not a message of this protocol."""


def line(kind: str, **more: Any) -> bytes:
    """Encode one message."""
    assert kind in MESSAGE_KINDS, kind
    return json.dumps({"say": kind, **more}, separators=(",", ":")).encode() + b"\n"


class Reader:
    """Decodes messages from a stream of bytes; raises HandoverError on invalid input."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Mapping[str, Any]]:
        """The messages that ``data`` completes."""
        *ends, rest = data.split(b"\n")
        lines = [self._complete_line(end) for end in ends]
        self._buffer += rest
        self._check_size()
        return [self._read(text) for text in lines]

    def _complete_line(self, end: bytes) -> bytes:
        self._buffer += end
        self._check_size()
        text = bytes(self._buffer)
        self._buffer.clear()
        return text

    def _check_size(self) -> None:
        if len(self._buffer) > MAX_LINE_BYTES:
            raise HandoverError(f"message of more than {MAX_LINE_BYTES} bytes")

    @staticmethod
    def _read(text: bytes) -> Mapping[str, Any]:
        try:
            message = json.loads(text)
        except (ValueError, RecursionError) as exc:
            raise HandoverError(f"not a handover message: {text[:40]!r}") from exc
        if not isinstance(message, dict) or message.get("say") not in MESSAGE_KINDS:
            raise HandoverError(f"not a handover message: {text[:40]!r}")
        return message


def refusal(hello: Mapping[str, Any], name: str) -> str:
    """Why the sender of ``hello`` is not accepted as a successor; empty if it is."""
    if hello.get("v") != VERSION:
        return f"protocol version is {hello.get('v')}, expected {VERSION}"
    if hello.get("name") != name:
        return f"proxy name is {hello.get('name')!r}, expected {name!r}"
    return ""
