"""The Unix socket between two processes of one proxy: transport only, ``upgrade`` makes the decisions."""

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

from lupinlink.net.handover.messages import WITH_DESCRIPTOR, HandoverError, Reader, line
from lupinlink.net.twisted_types import Reactor

log = logging.getLogger(__name__)
READ_BYTES, BACKLOG = 65536, 8
OnMessage = Callable[["Channel", Mapping[str, Any], int | None], None]


def socket_path(folder: str, listen: tuple[str, int]) -> Path:
    """The path of the socket for handovers of the process that listens at ``listen``."""
    host, port = listen
    return Path(folder) / f"lupinlink-{host}-{port}.sock"


class _ShortPath:
    """A short alias of a path, by a descriptor of its folder, since Unix socket addresses are short."""

    def __init__(self, path: Path) -> None:
        self._folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
        self.path = f"/proc/self/fd/{self._folder}/{path.name}"

    def __enter__(self) -> str:
        return self.path

    def __exit__(self, *exc: object) -> None:
        os.close(self._folder)


def same_user(connection: socket.socket) -> bool:
    """Whether the peer runs as this user: no other user may hand us a listener or take ours."""
    raw = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    return int(struct.unpack("3i", raw)[1]) == os.geteuid()


@implementer(IReadWriteDescriptor)
class Channel:
    """One connection between the two; calls ``on_message`` for each message and ``on_end`` once."""

    def __init__(
        self, reactor: Reactor, connection: socket.socket, on_message: OnMessage, on_end: Callable[[], None]
    ) -> None:
        connection.setblocking(False)
        self._reactor, self._socket = reactor, connection
        self._on_message, self._on_end = on_message, on_end
        self._reader = Reader()
        self._unsent = bytearray()
        self._descriptor: int | None = None  # sent with the next bytes
        self._received: int | None = None  # with the first bytes of an offer, which may take several reads
        self.open = True
        reactor.addReader(self)

    def fileno(self) -> int:
        return self._socket.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        return "handover"

    def send(self, kind: str, descriptor: int | None = None, **more: Any) -> None:
        """Send a message, and pass a descriptor along."""
        if self.open:
            self._unsent += line(kind, **more)
            self._descriptor = descriptor if descriptor is not None else self._descriptor
            self.doWrite()

    def doRead(self) -> None:  # noqa: N802
        try:
            data, descriptors, _, _ = socket.recv_fds(self._socket, READ_BYTES, 1)
        except BlockingIOError:
            return
        except OSError:
            data, descriptors = b"", []
        for number in descriptors:
            self._drop_received()
            self._received = number
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
            received = None
            if message["say"] == WITH_DESCRIPTOR:
                received, self._received = self._received, None
            self._on_message(self, message, received)

    def _drop_received(self) -> None:
        """Close a descriptor whose message has not arrived."""
        if self._received is not None:
            os.close(self._received)
            self._received = None

    def doWrite(self) -> None:  # noqa: N802
        try:
            while self._unsent:
                piece = bytes(self._unsent[:READ_BYTES])
                if self._descriptor is not None:
                    sent = socket.send_fds(self._socket, [piece], [self._descriptor])
                    self._descriptor = None
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
        """Close the channel and call ``on_end``."""
        if self.open:
            self.open = False
            self._reactor.removeReader(self)
            self._reactor.removeWriter(self)
            self._socket.close()
            self._drop_received()
            self._on_end()


def connect(path: Path) -> socket.socket | None:
    """Connect to the process that listens at the path; None if there is none or it is another user's."""
    try:
        status = path.lstat()
    except OSError:
        return None
    if not stat.S_ISSOCK(status.st_mode) or status.st_uid != os.geteuid():
        log.warning("handover not possible", extra={"kv": {"path": path, "why": "a foreign file"}})
        return None
    try:
        # A platform may refuse Unix sockets altogether: then no handover is possible.
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError as exc:
        why = errno.errorcode.get(exc.errno or 0, str(exc))
        log.info("nobody to take over from", extra={"kv": {"why": why}})
        return None
    try:
        connection.setblocking(False)
        with _ShortPath(path) as short:
            connection.connect(short)
        if same_user(connection):
            return connection
        why = "the peer runs as another user"
    except OSError as exc:
        # The usual case after a kill is the stale socket of a process that has ended.
        why = errno.errorcode.get(exc.errno or 0, str(exc))
    connection.close()
    log.info("nobody to take over from", extra={"kv": {"why": why}})
    return None


@implementer(IReadWriteDescriptor)
class SuccessorListener:
    """Listens for successors. Takes its path by renaming, which replaces a stale socket or other file."""

    def __init__(self, reactor: Reactor, path: Path, on_connect: Callable[[socket.socket], None]) -> None:
        self._reactor, self._path, self._on_connect = reactor, path, on_connect
        self._socket: socket.socket | None = None

    def open(self) -> None:
        """Listen at the path, replacing what is there."""
        self.close()
        try:
            # A platform may refuse Unix sockets: then this process serves without handover.
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        except OSError as exc:
            log.warning("no handover from here", extra={"kv": {"path": self._path, "why": exc}})
            return
        temporary = self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                temporary.unlink()
            with _ShortPath(temporary) as short:
                listener.bind(short)
            temporary.chmod(0o600)
            listener.listen(BACKLOG)
            listener.setblocking(False)
            temporary.rename(self._path)
        except OSError as exc:
            log.warning("no handover from here", extra={"kv": {"path": self._path, "why": exc}})
            listener.close()
            with suppress(OSError):
                temporary.unlink()
            return
        self._socket = listener
        self._reactor.addReader(self)

    def close(self) -> None:
        """Stop listening. The path stays: it may be the successor's by now, and a stale one is harmless."""
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
            self._on_connect(connection)
        else:
            log.warning("handover request from another user refused", extra={"kv": {"path": self._path}})
            connection.close()

    def doWrite(self) -> None:  # noqa: N802
        raise AssertionError("a listener is never written to")

    def connectionLost(self, reason: object) -> None:
        self.close()
