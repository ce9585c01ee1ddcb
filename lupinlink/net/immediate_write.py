"""Acts on a connection's socket within the call, where Twisted does so in a later iteration of its loop.

What is decided from a look at a connection holds for that moment only. In a later iteration the connection
is read before it is written, and the process may have been held up in between.
"""

from __future__ import annotations

import socket
from contextlib import suppress

from lupinlink.net.twisted_types import Transport, mark_sending_ended, unsent


def write_now(transport: Transport, data: bytes) -> None:
    """Write data; what the kernel takes of it is sent within this call, and the rest as it takes more."""
    sent = 0
    if not unsent(transport):
        # A connection that is lost is left to the reactor, which notices and reports it.
        with suppress(OSError, AttributeError):
            sent = transport.getHandle().send(data)
    if sent < len(data):
        transport.write(data[sent:])


def end_sending_now(transport: Transport) -> None:
    """End the sending direction within this call; if data is still to be written, once that is done."""
    if unsent(transport):
        transport.loseWriteConnection()
        return
    with suppress(OSError, AttributeError):  # Twisted drops the handle of a connection that is lost
        transport.getHandle().shutdown(socket.SHUT_WR)
    mark_sending_ended(transport)
