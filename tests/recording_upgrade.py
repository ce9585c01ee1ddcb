"""Stand-ins for the channel and the service of an upgrade, which record what they are told."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from lupinlink.net.handover.capacity import Usage


class RecordingChannel:
    """A channel that records the kinds of messages sent."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.closed = False

    def send(self, kind: str, descriptor: int | None = None, **more: Any) -> None:
        self.sent.append(kind)

    def end(self) -> None:
        self.closed = True


class RecordingHost:
    """A service that records the calls of an upgrade."""

    def __init__(self) -> None:
        self.calls: list[object] = []
        self.usage = Usage(50, 20.0)

    def make_offer(self) -> tuple[int, dict[str, Any]]:
        return 0, {}

    def start_listening(self, descriptor: int | None, offer: Mapping[str, Any]) -> None:
        self.calls.append(("start listening", descriptor))

    def on_successor_serving(self) -> None:
        self.calls.append("successor serves")

    def on_successor_ended(self) -> None:
        self.calls.append("successor ended")

    def on_predecessor_usage(self, other: Usage | None) -> None:
        self.calls.append(other)

    def current_usage(self) -> Usage:
        return self.usage

    def on_drain_changed(self, drain: bool) -> None:
        self.calls.append(("drain", drain))

    def on_requests_sent(self, identities: object) -> None:
        self.calls += [("sent", identities)] if identities is not None else []
