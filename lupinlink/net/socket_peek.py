"""Looks at what is unread in the socket of a TCP connection."""

from __future__ import annotations

import socket

from lupinlink.net.twisted_types import Transport


def peek(transport: Transport) -> bytes | None:
    """Return the next unread byte, empty bytes if the connection has ended, or None if nothing is there."""
    try:
        return transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except (OSError, AttributeError):  # Twisted drops the handle of a connection that is lost
        return b""
