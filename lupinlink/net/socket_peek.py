"""What waits unread in a TCP connection's socket."""

from __future__ import annotations

import socket

from lupinlink.net.twisted_types import Transport


def peek(transport: Transport) -> bytes | None:
    """The next byte that waits to be read; empty: its end does, or it is lost already; None: nothing."""
    try:
        return transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except (OSError, AttributeError):  # Twisted drops the handle of a connection that is lost
        return b""
