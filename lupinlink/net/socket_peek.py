"""Looks at what is unread in the socket of a TCP connection."""

from __future__ import annotations

import array
import fcntl
import socket
import struct
import sys
import termios
from contextlib import suppress

from lupinlink.net.twisted_types import Transport

# Linux: tcpi_state, the first byte of struct tcp_info: TCP_CLOSE, TCP_CLOSE_WAIT, TCP_LAST_ACK.
ENDED_STATES = (b"\x07", b"\x08", b"\x09")
# Linux: offsets in struct tcp_info. tcpi_advmss: the largest segment that the other side may send;
# tcpi_rcv_wnd (since Linux 6.2): how much more it may send at present.
TCPI_ADVMSS_OFFSET, TCPI_RCV_WND_OFFSET = 84, 232
TCP_INFO_BYTES = TCPI_RCV_WND_OFFSET + 4


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


def unacknowledged_bytes(transport: Transport) -> int | None:
    """How many bytes the kernel has that the other side's machine has not received, as far as is known here.

    None if the system does not tell. The end of sending counts as a byte.
    """
    try:
        queue = fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, b"\0" * 4)
    except (OSError, AttributeError):
        return None
    return int.from_bytes(queue, sys.byteorder)


def peer_has_ended(transport: Transport) -> bool:
    """Whether the other side's end has arrived, if the system tells, also behind unread data."""
    with suppress(OSError, AttributeError):
        info = transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[:1] in ENDED_STATES
    return False


def receives_whole_segments(transport: Transport) -> bool | None:
    """Whether the receive window has room for the largest segment; None if the system does not tell.

    While it has not, the other side may hold back what was written to it, however little is unread here:
    a sender waits until a whole segment fits (RFC 9293, 3.8.6.2.1), and a receiver offers no smaller window.
    """
    try:
        handle = transport.getHandle()
        # The window is reckoned anew when an acknowledgement goes out, which may be due and delayed.
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)
        info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except (OSError, AttributeError):
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    (segment,) = struct.unpack_from("I", info, TCPI_ADVMSS_OFFSET)
    (window,) = struct.unpack_from("I", info, TCPI_RCV_WND_OFFSET)
    return bool(window >= segment) if segment else None
