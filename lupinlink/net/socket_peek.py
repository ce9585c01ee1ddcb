"""Looks at what is unread in the socket of a TCP connection."""

from __future__ import annotations

import array
import fcntl
import socket
import termios
from contextlib import suppress

from lupinlink.net.twisted_types import Transport

# Linux: tcpi_state, the first byte of struct tcp_info: TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK.
ENDED_STATES = (b"\x07", b"\x08", b"\x09")


def peek(transport: Transport) -> bytes | None:
    """Return the next unread byte, empty bytes if the connection has ended, or None if nothing is there."""
    try:
        return transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except (OSError, AttributeError):  # Twisted drops the handle of a connection that is lost
        return b""


def unread_bytes(transport: Transport) -> int | None:
    """How many unread bytes have arrived; None if the system does not tell."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(transport.getHandle(), termios.FIONREAD, count)
    except (OSError, AttributeError):
        return None
    return count[0]


def peer_has_ended(transport: Transport) -> bool:
    """Whether the other side's end has arrived, if the system tells, also behind unread data."""
    with suppress(OSError, AttributeError):
        info = transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[:1] in ENDED_STATES
    return False
