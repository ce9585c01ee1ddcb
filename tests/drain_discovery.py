"""A discovery service shared by several proxy processes, with scripted faults for the drain tests."""

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

BEAT_S = 2.0  # an empty line comes so often on a watch
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CROWDED = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
FILLER = 900  # rows of other backends that drain, on a long list: some 150 KB
CUT_S = 0.7  # from an object that is cut short to the reset of its connection


class DiscoveryFrontend(LoopbackServer):
    """The port through which one proxy process reaches the shared discovery."""

    def __init__(self, shared: SharedDiscovery) -> None:
        self.shared = shared
        self.script: deque[Reply] = deque()  # for the next calls; then all are answered at once
        self.calls: queue.Queue[str] = queue.Queue()
        self.watching: queue.Queue[int] = queue.Queue()  # a token as each watch is up to date
        self.form = Form.DELTA
        self.cut_bytes = 0  # that pass, of what is cut short
        self.sent_bytes = 0  # of objects on watches
        self.opened: list[float] = []  # when watches were answered
        self.written: dict[str, float] = {}  # when the drain of a backend was first written here
        self.open: set[socket.socket] = set()
        self.watches: dict[socket.socket, int] = {}  # those that are told, and their revision
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
                body = json.dumps(self.shared.whole()).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                self.note(self.shared.drained_at)
        with suppress(OSError):
            connection.recv(1)  # until one side ends it
        with self.shared.lock:
            self.watches.pop(connection, None)
            self.open.discard(connection)

    def note_answer(self, request: str) -> None:
        """The answer to this call is written now, whatever becomes of it on its way."""
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
        """Write what this watch has not had yet, as one object in this door's form. Lock held."""
        shared, version = self.shared, self.watches[connection]
        if version == shared.rev:
            return
        rows = [row for rev, row in shared.changes if rev > version]
        whole = self.form in (Form.WHOLE, Form.LONG)
        told = shared.whole() if whole else listing(shared.rev, False, *rows)
        if self.form == Form.LONG:
            told["targets"] += [{**rows[0], "uid": f"filler-{i}"} for i in range(FILLER)]
        data = chunk(json.dumps(told, indent=2 if self.form == Form.INDENTED else None) + "\n")
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
        self.note(shared.drained_at if whole else [row["uid"] for row in rows])

    def cut(self, connection: socket.socket, data: bytes) -> None:
        """The network passes the first bytes on, and resets the connection later."""
        connection.sendall(data[: self.cut_bytes])
        self.form = Form.DELTA
        del self.watches[connection]
        threading.Timer(CUT_S, reset, (connection,)).start()

    def note(self, uids: Any) -> None:
        """The object that tells the drain of these has just been written."""
        now = time.monotonic()
        for uid in uids:
            self.written.setdefault(uid, now)

    def drop_all(self) -> None:
        """Refuse connections from now on, and end all that are open; the port stays reserved."""
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
    """The list that all proxies share; every fault strikes all doors alike, scripts are each door's own."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.rev, self.rows = 41, {row["uid"]: row for row in rows}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.drained_at: dict[str, float] = {}
        self.frontends: list[DiscoveryFrontend] = []
        self.lock = threading.RLock()
        self.closing, self.speaking = threading.Event(), threading.Event()
        self.speaking.set()
        threading.Thread(target=self._beat, daemon=True).start()

    def frontend(self) -> DiscoveryFrontend:
        self.frontends.append(DiscoveryFrontend(self))
        return self.frontends[-1]

    def whole(self) -> dict[str, Any]:
        return listing(self.rev, True, *(r for r in self.rows.values() if r["state"] == "in_service"))

    def drain(self, *uids: str) -> float:
        """These drain from now on; every watch that is told gets it at once."""
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
        """The next calls through each door are answered so."""
        for frontend in self.frontends:
            frontend.script = deque(replies)

    def go_down(self) -> None:
        for frontend in self.frontends:
            frontend.drop_all()

    def come_back(self) -> float:
        """The moment from which calls are accepted again."""
        for frontend in self.frontends:
            frontend.listen_again()
        return time.monotonic()

    def silence_watches(self) -> float:
        """The open watches get one last empty line, and nothing ever after; new calls are their own."""
        with self.lock:
            self._beat_all()
            for frontend in self.frontends:
                frontend.watches.clear()
            return time.monotonic()

    def end_watches(self, frontends: Iterable[DiscoveryFrontend] | None = None) -> float:
        """Every watch ends, or those behind these doors; calls are accepted as ever. Returns when."""
        with self.lock:
            for frontend in self.frontends if frontends is None else frontends:
                for connection in list(frontend.watches):
                    with suppress(OSError):
                        connection.shutdown(socket.SHUT_RDWR)
                frontend.watches.clear()
            return time.monotonic()

    def fall_silent(self) -> None:
        """As an agent without its discovery: nothing is written, calls are accepted and wait."""
        with self.lock:
            self._beat_all()
            self.speaking.clear()

    def speak_again(self) -> float:
        """Open watches and pending calls get all at once."""
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

    def _beat_all(self) -> None:
        for frontend in self.frontends:
            for connection in list(frontend.watches):
                with suppress(OSError):
                    connection.sendall(chunk("\n"))

    def _beat(self) -> None:
        while not self.closing.wait(BEAT_S):
            with self.lock:
                if self.speaking.is_set():
                    self._beat_all()
