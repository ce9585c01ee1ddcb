"""State machine of an upgrade, for the old process (predecessor) and the new one (successor).

A process may be the successor (``request_handover``), the predecessor (it gets ``hello``) or, in two upgrades
in a row, both. It performs no I/O of its own; the caller passes the current time, in milliseconds.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Mapping
from typing import Any, Protocol

from lupinlink.net.handover.capacity import Usage
from lupinlink.net.handover.messages import VERSION, refusal

log = logging.getLogger(__name__)
ANSWER_TIMEOUT_MS = 1000.0  # for the first answer; one event loop iteration takes tens of milliseconds
WAIT_TIMEOUT_MS = 12000.0  # for an earlier upgrade to end


class PeerChannel(Protocol):
    """The channel to the other process; as ``handover.channel.Channel``."""

    def send(self, kind: str, descriptor: int | None = None, **more: Any) -> None: ...
    def end(self) -> None: ...


class UpgradeHost(Protocol):
    """What the service does for an upgrade."""

    def make_offer(self) -> tuple[int | None, dict[str, Any]]:
        """The listening socket's descriptor, None if it is closed already, and the fields of the offer."""

    def start_listening(self, descriptor: int | None, offer: Mapping[str, Any]) -> None:
        """Listen on the descriptor that was handed over, or open a socket if it is None."""

    def on_successor_serving(self) -> None:
        """A successor serves: accept no more connections, and drain those that are open."""

    def on_successor_ended(self) -> None:
        """The successor has ended: serve as before."""

    def on_predecessor_usage(self, other: Usage | None) -> None:
        """The predecessor's usage; None: it has ended."""

    def current_usage(self) -> Usage:
        """The most that this process may use."""

    def on_drain_changed(self, drain: bool) -> None:
        """An operator's call to drain, or to serve again, reached the predecessor."""

    def on_requests_sent(self, identities: object) -> None:
        """The other process has sent these requests; a list of digests, if it is valid."""


class Upgrade:
    """Both sides of an upgrade."""

    def __init__(self, host: UpgradeHost, name: str) -> None:
        self._host, self._name = host, name
        self._predecessor: PeerChannel | None = None
        self._answer_deadline = 0.0  # for the predecessor's answer; 0: none is awaited
        self._listening = False
        self._successor: PeerChannel | None = None  # the process that was offered the listener
        self._successor_serves = False
        self._queued: list[PeerChannel] = []
        self._sharing: list[PeerChannel] = []  # those that take the message ``sent``
        self._usage_sent: Usage | None = None
        self._stopped = False

    @property
    def busy(self) -> bool:
        """Whether another process takes part in an upgrade."""
        return self._predecessor is not None or self._successor is not None

    def request_handover(self, predecessor: PeerChannel, now: float) -> None:
        """Ask the process that serves at our address for its listener."""
        self._predecessor, self._answer_deadline = predecessor, now + ANSWER_TIMEOUT_MS
        predecessor.send("hello", v=VERSION, name=self._name, pid=os.getpid(), shares_sent=True)

    def on_serving(self) -> None:
        """This process serves from now on."""
        self._listening = True
        if self._predecessor is not None:
            self._predecessor.send("ready")

    def on_message(
        self, channel: PeerChannel, message: Mapping[str, Any], descriptor: int | None, now: float
    ) -> None:
        """Handle a message; an unexpected one is ignored, and a descriptor that came with it closed."""
        kind = message["say"]
        if channel is self._predecessor and kind == "offer" and not self._listening and self._answer_deadline:
            self._answer_deadline = 0.0
            self._share_with(channel, message)
            self._host.on_requests_sent(message.get("sent"))
            self._host.start_listening(descriptor, message)
            return
        if descriptor is not None:
            os.close(descriptor)
        if kind == "sent":
            self._host.on_requests_sent(message.get("ids"))
        elif channel is self._predecessor:
            self._on_predecessor_message(kind, message, now)
        elif kind == "hello":
            self._on_hello(channel, message)
        elif kind == "ready" and channel is self._successor and not self._successor_serves:
            self._successor_serves, self._usage_sent = True, None
            log.info("handed over")
            self._host.on_successor_serving()
            self.tick(now)

    def _on_predecessor_message(self, kind: str, message: Mapping[str, Any], now: float) -> None:
        if kind == "wait" and self._answer_deadline:
            self._answer_deadline = now + WAIT_TIMEOUT_MS
        elif kind == "no":
            log.warning("no handover", extra={"kv": {"why": str(message.get("why"))}})
            self._continue_alone()
        elif kind == "holds":
            descriptors, memory = message.get("descriptors"), message.get("memory_mb")
            if isinstance(descriptors, int) and isinstance(memory, int | float):
                self._host.on_predecessor_usage(Usage(descriptors, float(memory)))
        elif kind in ("drain", "undrain"):
            self._host.on_drain_changed(kind == "drain")

    def _on_hello(self, channel: PeerChannel, message: Mapping[str, Any]) -> None:
        why = refusal(message, self._name)
        if why:
            channel.send("no", why=why)
        elif self.busy:
            self._queued.append(channel)
            channel.send("wait")
            self._share_with(channel, message)
        else:
            self._share_with(channel, message)
            self._send_offer(channel)

    def _send_offer(self, channel: PeerChannel) -> None:
        self._successor = channel
        descriptor, offer = self._host.make_offer()
        channel.send("offer", descriptor, **offer, shares_sent=True)
        log.info("listener offered to successor")

    def stop(self) -> None:
        """This process exits: ignore the end of channels from now on."""
        self._stopped = True

    def on_channel_end(self, channel: PeerChannel) -> None:
        """A channel, and so the process at its other end, has ended."""
        if self._stopped:
            return
        for channels in (self._queued, self._sharing):
            if channel in channels:
                channels.remove(channel)
        if channel is self._predecessor:
            self._continue_alone()
        elif channel is self._successor:
            self._successor = None
            was_serving, self._successor_serves = self._successor_serves, False
            log.warning("successor gone", extra={"kv": {"was_ready": was_serving}})
            if was_serving:
                self._host.on_successor_ended()
        if self._queued and not self.busy:
            self._send_offer(self._queued.pop(0))

    def _continue_alone(self) -> None:
        """The predecessor has ended or does not hand over: go on without it."""
        predecessor, self._predecessor, waited = self._predecessor, None, self._answer_deadline
        self._answer_deadline = 0.0
        if predecessor is not None:
            predecessor.end()
        if waited:
            self._host.start_listening(None, {})
        self._host.on_predecessor_usage(None)

    def pass_on(self, drain: bool) -> None:
        """Pass an operator's call on to the successor, also to one that has its offer and does not serve."""
        if self._successor is not None:
            self._successor.send("drain" if drain else "undrain")

    def _share_with(self, channel: PeerChannel, message: Mapping[str, Any]) -> None:
        """Note whether the process at the other end takes the message ``sent``."""
        if message.get("shares_sent") is True:
            self._sharing.append(channel)

    def request_sent(self, identity: int) -> None:
        """Tell the other process of a request that this one sends and that may not run twice."""
        for channel in (self._predecessor, self._successor):
            if channel is not None and channel in self._sharing:
                channel.send("sent", ids=[identity])

    def tick(self, now: float) -> None:
        """To be called about ten times a second while ``busy``."""
        if self._answer_deadline and now >= self._answer_deadline:
            log.warning("no handover", extra={"kv": {"why": "no answer in time"}})
            self._continue_alone()
        if self._successor_serves and self._successor is not None:
            usage = self._host.current_usage()
            if usage != self._usage_sent:
                self._usage_sent = usage
                self._successor.send(
                    "holds", descriptors=usage.descriptors, memory_mb=round(usage.memory_mb, 1)
                )
