"""A fake discovery service for several proxy processes, with scripted faults for the drain tests."""

from __future__ import annotations

import json
import queue
import socket
import threading
import time
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from typing import Any

from tests.discovery_replies import BUSY as BUSY
from tests.discovery_replies import SLOW as SLOW
from tests.discovery_replies import Form as Form
from tests.discovery_replies import Kind as Kind
from tests.discovery_replies import Reply as Reply
from tests.loopback_servers import WAIT, LoopbackServer, chunk, listing, read_request, reset

HEARTBEAT_S = 2.0  # interval of the empty lines on a watch
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CROWDED = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
FILLER = 900  # entries of other draining backends in a long list: some 150 KB
CUT_S = 0.7  # from a truncated object to the reset of its connection


class DiscoveryFrontend(LoopbackServer):
    """The port through which one proxy process reaches the shared discovery."""

    def __init__(self, shared: SharedDiscovery) -> None:
        self.shared = shared
        self.script: deque[Reply] = deque()  # for the next calls; later ones are answered at once
        self.calls: queue.Queue[str] = queue.Queue()
        self.watching: queue.Queue[int] = queue.Queue()  # an item for each watch that is up to date
        self.form = Form.DELTA
        self.cut_bytes = 0  # bytes of a truncated object that are sent
        self.sent_bytes = 0  # bytes of objects on watches
        self.opened: list[float] = []  # times at which watches were answered
        self.written: dict[str, float] = {}  # time at which the drain of a backend was first written here
        self.open: set[socket.socket] = set()
        self.watches: dict[socket.socket, int] = {}  # those that get changes, and their revision
        super().__init__()

    def talk(self, connection: socket.socket) -> None:
        self.open.add(connection)
        stream = connection.makefile("rb")
        while (request := read_request(stream)) is not None:
            reply = self.script.popleft() if self.script else Reply()
            self.calls.put(request[0])
            self.shared.closing.wait(reply.delay_s)
            self.shared.speaking.wait(WAIT)
            if reply.kind == Kind.CROWDED:
                connection.sendall(CROWDED)
                return
            if reply.kind == Kind.NOTHING:
                break
            if reply.kind == Kind.HEAD_ONLY:
                connection.sendall(HEAD)
                break
            if reply.kind in (Kind.LOST, Kind.LATE):
                self.note_answer(request[0])
                self.shared.closing.wait(reply.transit_s)
            if reply.kind == Kind.LOST:
                reset(connection)
                return
            if "watch" in request[0]:
                self.begin_watch(connection, int(request[0].partition("from=")[2].split()[0]))
                break
            with self.shared.lock:
                body = json.dumps(self.shared.full_list()).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                self.note(self.shared.drained_at)
        with suppress(OSError):
            connection.recv(1)  # until one side closes it
        with self.shared.lock:
            self.watches.pop(connection, None)
            self.open.discard(connection)

    def note_answer(self, request: str) -> None:
        """Record that the answer to this call is written now, even if it gets lost."""
        with self.shared.lock:
            known = int(request.partition("from=")[2].split()[0]) if "watch" in request else 0
            self.note([row["uid"] for rev, row in self.shared.changes if rev > known])

    def begin_watch(self, connection: socket.socket, version: int) -> None:
        with self.shared.lock:
            connection.sendall(HEAD)
            self.opened.append(time.monotonic())
            self.watches[connection] = version
            self.push(connection)
        self.watching.put(version)

    def push(self, connection: socket.socket) -> None:
        """Write all new changes to this watch as one object, in this frontend's form. The lock is held."""
        shared, version = self.shared, self.watches[connection]
        if version == shared.rev:
            return
        rows = [row for rev, row in shared.changes if rev > version]
        full = self.form in (Form.WHOLE, Form.LONG)
        update = shared.full_list() if full else listing(shared.rev, False, *rows)
        if self.form == Form.LONG:
            update["targets"] += [{**rows[0], "uid": f"filler-{i}"} for i in range(FILLER)]
        data = chunk(json.dumps(update, indent=2 if self.form == Form.INDENTED else None) + "\n")
        if self.form == Form.CUT:
            self.cut(connection, data)
            self.note([row["uid"] for row in rows])
            return
        third = len(data) // 3 + 1 if self.form == Form.INDENTED else len(data)
        self.sent_bytes += len(data)
        for begin in range(0, len(data), third):
            connection.sendall(data[begin : begin + third])
        if self.form == Form.BROKEN:
            connection.sendall(b"no size\r\n")
        self.watches[connection] = shared.rev
        self.note(shared.drained_at if full else [row["uid"] for row in rows])

    def cut(self, connection: socket.socket, data: bytes) -> None:
        """Send the first bytes only, and reset the connection later."""
        connection.sendall(data[: self.cut_bytes])
        self.form = Form.DELTA
        del self.watches[connection]
        threading.Timer(CUT_S, reset, (connection,)).start()

    def note(self, uids: Any) -> None:
        """Record that an object with the drain of these backends has just been written."""
        now = time.monotonic()
        for uid in uids:
            self.written.setdefault(uid, now)

    def drop_all(self) -> None:
        """Refuse connections from now on, and close all that are open; the port stays reserved."""
        port = self.port
        self.close()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        for connection in list(self.open):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def listen_again(self) -> None:
        self.listener.listen(64)
        threading.Thread(target=self._accept, daemon=True).start()


class SharedDiscovery:
    """The list that all proxies share. Outages apply to all frontends; each has its own script of calls."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.rev, self.rows = 41, {row["uid"]: row for row in rows}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.drained_at: dict[str, float] = {}
        self.frontends: list[DiscoveryFrontend] = []
        self.lock = threading.RLock()
        self.closing, self.speaking = threading.Event(), threading.Event()
        self.speaking.set()
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def frontend(self) -> DiscoveryFrontend:
        self.frontends.append(DiscoveryFrontend(self))
        return self.frontends[-1]

    def full_list(self) -> dict[str, Any]:
        return listing(self.rev, True, *(r for r in self.rows.values() if r["state"] == "in_service"))

    def drain(self, *uids: str) -> float:
        """Drain these backends; every open watch gets the change at once."""
        with self.lock:
            self.rev += 1
            for uid in [uid for uid in self.rows if uid in uids or uid.rpartition("/")[0] in uids]:
                self.rows[uid] = {**self.rows[uid], "state": "terminating"}
                self.changes.append((self.rev, self.rows[uid]))
                self.drained_at[uid] = time.monotonic()
            if self.speaking.is_set():
                self._push_all()
        return time.monotonic()

    def script(self, *replies: Reply) -> None:
        """Answer the next calls to each frontend so."""
        for frontend in self.frontends:
            frontend.script = deque(replies)

    def go_down(self) -> None:
        for frontend in self.frontends:
            frontend.drop_all()

    def come_back(self) -> float:
        """Accept calls again; return the time."""
        for frontend in self.frontends:
            frontend.listen_again()
        return time.monotonic()

    def silence_watches(self) -> float:
        """Write a last heartbeat to the open watches and nothing afterwards; new calls are not affected."""
        with self.lock:
            self._heartbeat_all()
            for frontend in self.frontends:
                frontend.watches.clear()
            return time.monotonic()

    def end_watches(self, frontends: Iterable[DiscoveryFrontend] | None = None) -> float:
        """End every watch, or those of these frontends; calls are accepted as before. Return the time."""
        with self.lock:
            for frontend in self.frontends if frontends is None else frontends:
                for connection in list(frontend.watches):
                    with suppress(OSError):
                        connection.shutdown(socket.SHUT_RDWR)
                frontend.watches.clear()
            return time.monotonic()

    def fall_silent(self) -> None:
        """Act as an agent that has lost its discovery: accept calls, and write nothing."""
        with self.lock:
            self._heartbeat_all()
            self.speaking.clear()

    def speak_again(self) -> float:
        """Write all changes to open watches and pending calls at once; return the time."""
        with self.lock:
            self._push_all()
            self.speaking.set()
            return time.monotonic()

    def close(self) -> None:
        self.closing.set()
        self.speaking.set()
        for frontend in self.frontends:
            frontend.drop_all()
            frontend.close()

    def _push_all(self) -> None:
        for frontend in self.frontends:
            for connection in list(frontend.watches):
                with suppress(OSError):
                    frontend.push(connection)

    def _heartbeat_all(self) -> None:
        for frontend in self.frontends:
            for connection in list(frontend.watches):
                with suppress(OSError):
                    connection.sendall(chunk("\n"))

    def _heartbeat(self) -> None:
        while not self.closing.wait(HEARTBEAT_S):
            with self.lock:
                if self.speaking.is_set():
                    self._heartbeat_all()
