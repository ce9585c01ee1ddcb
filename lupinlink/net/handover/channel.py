"""The Unix socket between two processes of one proxy: a thin shell without decisions."""

from __future__ import annotations

import errno
import logging
import os
import socket
import stat
import struct
from collections.abc import Callable, Mapping
from contextlib import suppress
from pathlib import Path
from typing import Any

from twisted.internet.interfaces import IReadWriteDescriptor
from zope.interface import implementer  # type: ignore[import-untyped]

from lupinlink.net.handover.messages import HandoverError, Reader, line
from lupinlink.net.twisted_types import Reactor

log = logging.getLogger(__name__)
READ_BYTES, MOST_WAITING = 65536, 8
Say = Callable[["Channel", Mapping[str, Any], int | None], None]


def place(folder: str, listen: tuple[str, int]) -> Path:
    """Where the process that listens there is met; one name for each address."""
    host, port = listen
    return Path(folder) / f"lupinlink-{host}-{port}.sock"


class _Short:
    """A path that fits a Unix address, however deep its folder lies: through a descriptor of the folder."""

    def __init__(self, path: Path) -> None:
        self._folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        self.path = f"/proc/self/fd/{self._folder}/{path.name}"

    def __enter__(self) -> str:
        return self.path

    def __exit__(self, *exc: object) -> None:
        os.close(self._folder)


def same_user(connection: socket.socket) -> bool:
    """Whether the other end runs as this user: nobody else may hand us a listener or take ours."""
    raw = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return int(struct.unpack("3i", raw)[1]) == os.geteuid()


@implementer(IReadWriteDescriptor)
class Channel:
    """One connection between the two; ``heard`` gets each message, ``ended`` the end, once."""

    def __init__(
        self, reactor: Reactor, connection: socket.socket, heard: Say, ended: Callable[[], None]
    ) -> None:
        connection.setblocking(False)
        self._reactor, self._socket = reactor, connection
        self._heard, self._ended = heard, ended
        self._reader = Reader()
        self._unsent = bytearray()
        self._handed: int | None = None  # a descriptor that goes with the next bytes
        self.open = True
        reactor.addReader(self)

    def fileno(self) -> int:
        return self._socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        return "handover"

    def say(self, say: str, handed: int | None = None, **more: Any) -> None:
        """Send a message, with a descriptor beside it."""
        if self.open:
            self._unsent += line(say, **more)
            self._handed = handed if handed is not None else self._handed
            self.doWrite()

    def doRead(self) -> None:  # noqa: N802
        try:
            data, handed, _, _ = socket.recv_fds(self._socket, READ_BYTES, 1)
        except BlockingIOError:
            return
        except OSError:
            data, handed = b"", []
        if not data:
            self.end()
            return
        try:
            messages = self._reader.feed(data)
        except HandoverError as exc:
            log.warning("handover broken", extra={"kv": {"why": exc}})
            messages = []
            self.end()
        for message in messages:
            self._heard(self, message, handed.pop() if handed else None)
        for number in handed:
            os.close(number)

    def doWrite(self) -> None:  # noqa: N802
        try:
            while self._unsent:
                piece = bytes(self._unsent[:READ_BYTES])
                if self._handed is not None:
                    sent = socket.send_fds(self._socket, [piece], [self._handed])
                    self._handed = None
                else:
                    sent = self._socket.send(piece)
                del self._unsent[:sent]
            self._reactor.removeWriter(self)
        except BlockingIOError:
            self._reactor.addWriter(self)
        except OSError:
            self.end()

    def connectionLost(self, reason: object) -> None:
        self.end()

    def end(self) -> None:
        """Close; the one who holds this channel is told."""
        if self.open:
            self.open = False
            self._reactor.removeReader(self)
            self._reactor.removeWriter(self)
            self._socket.close()
            self._ended()


def call(path: Path) -> socket.socket | None:
    """Connect to the process that serves there, or None: nobody is, or it is none of ours."""
    try:
        found = path.lstat()
    except OSError:
        return None
    if not stat.S_ISSOCK(found.st_mode) or found.st_uid != os.geteuid():
        log.warning("handover not possible", extra={"kv": {"path": path, "why": "a foreign file"}})
        return None
    try:
        # A platform may refuse Unix sockets altogether: then there is simply nobody to take over from.
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError as exc:
        why = errno.errorcode.get(exc.errno or 0, str(exc))
        log.info("nobody to take over from", extra={"kv": {"why": why}})
        return None
    try:
        connection.setblocking(False)
        with _Short(path) as short:
            connection.connect(short)
        if same_user(connection):
            return connection
        why = "another user's"
    except OSError as exc:
        # A stale socket of a process that has gone is the usual case after a kill.
        why = errno.errorcode.get(exc.errno or 0, str(exc))
    connection.close()
    log.info("nobody to take over from", extra={"kv": {"why": why}})
    return None


@implementer(IReadWriteDescriptor)
class Doorstep:
    """Where a successor calls; its name is taken by renaming, so that whatever lay there is no hindrance."""

    def __init__(self, reactor: Reactor, path: Path, called: Callable[[socket.socket], None]) -> None:
        self._reactor, self._path, self._called = reactor, path, called
        self._socket: socket.socket | None = None

    def open(self) -> None:
        """Take the name, or take it back."""
        self.close()
        try:
            # A platform may refuse Unix sockets: then serve without handover.
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError as exc:
            log.warning("no handover from here", extra={"kv": {"path": self._path, "why": exc}})
            return
        fresh = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                fresh.unlink()
            with _Short(fresh) as short:
                listener.bind(short)
            fresh.chmod(0o600)
            listener.listen(MOST_WAITING)
            listener.setblocking(False)
            fresh.rename(self._path)
        except OSError as exc:
            log.warning("no handover from here", extra={"kv": {"path": self._path, "why": exc}})
            listener.close()
            with suppress(OSError):
                fresh.unlink()
            return
        self._socket = listener
        self._reactor.addReader(self)

    def close(self) -> None:
        """Listen no longer. The name stays: it may be the successor's by now; a stale one harms nobody."""
        if self._socket is not None:
            self._reactor.removeReader(self)
            self._socket.close()
            self._socket = None

    def fileno(self) -> int:
        return self._socket.fileno() if self._socket is not None else -1

    def logPrefix(self) -> str:  # noqa: N802
        return "handover"

    def doRead(self) -> None:  # noqa: N802
        if self._socket is None:
            return
        try:
            connection, _ = self._socket.accept()
        except OSError:
            return
        if same_user(connection):
            self._called(connection)
        else:
            log.warning("a foreign caller", extra={"kv": {"path": self._path}})
            connection.close()

    def doWrite(self) -> None:  # noqa: N802
        raise AssertionError("nothing is written here")

    def connectionLost(self, reason: object) -> None:
        self.close()
