"""One machine's listener, which can be cut off from some of the proxies without a word."""

from __future__ import annotations

import ctypes
import errno
import os
import socket
import struct
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from lupinlink.lab.emulated import listen
from lupinlink.lab.errors import FleetError as FleetError
from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.addresses import Instruction

# asm-generic/socket.h; the socket module does not name them.
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
FIRST_PORT = 10_000
RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def attach(sock: socket.socket, program: list[Instruction]) -> None:
    """Drop in the kernel what the program says; it replaces the one before."""
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in program)
    buffer = ctypes.create_string_buffer(code, len(code))
    sock.setsockopt(
        socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", len(program), ctypes.addressof(buffer))
    )


def detach(sock: socket.socket) -> None:
    """Drop nothing any more."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
    except OSError as exc:
        if exc.errno != errno.ENOENT:  # there was none
            raise


def claim(start: int, least: int = FIRST_PORT) -> socket.socket:
    """A listener on all of loopback's addresses, at the first port from ``start`` on that is free.

    Ports lie under those that the kernel gives to outgoing connections: a machine that was down must find
    its own port free when it comes back.
    """
    end = int(RANGE.read_text().split()[0])
    if not least <= start < end:
        start = least
    for port in [*range(start, end), *range(least, start)]:
        try:
            return listen(port, host="")
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise FleetError(f"no listener on loopback: {os.strerror(exc.errno or 0).lower()}") from exc
    raise FleetError(f"no port from {least} to {end - 1} is free on loopback")


class Hush:
    """Towards whom a machine is silent: nobody, the proxies of some zones, or everybody."""

    def __init__(self) -> None:
        self.whole = False
        self._zones: Counter[int] = Counter()  # cuts that overlap

    def cut(self, zones: Iterable[int], on: bool) -> None:
        """One cut begins or ends."""
        for zone in zones:
            self._zones[zone] += 1 if on else -1

    def covers(self, zone: int) -> bool:
        """Whether the proxies of a zone hear nothing."""
        return self.whole or self._zones[zone] > 0

    def apply(self, sock: socket.socket) -> None:
        """Let a listener drop what the silent paths bring."""
        zones = [zone for zone, depth in self._zones.items() if depth > 0]
        if self.whole or zones:
            attach(sock, addresses.drops(None if self.whole else zones))
        else:
            detach(sock)
