"""The stand-in agreement service round its state: faults before and after each call, waiting, the clock."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from lupinlink.lab.fleet.consul_faults import Calls, Faults
from lupinlink.lab.fleet.consul_records import Records
from lupinlink.lab.fleet.consul_state import InvalidError, State

CONTROL = "/_stand_in/"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def who(request: web.BaseRequest) -> str:
    """The address of loopback's that a client is known by."""
    transport = request.transport
    if transport is None:
        return ""
    peer: str = transport.get_extra_info("peername")[0]
    own: str = transport.get_extra_info("sockname")[0]
    return own if peer == "127.0.0.1" else peer


def conflict(answer: web.StreamResponse) -> bool:
    """Whether a call was answered that another was first."""
    return answer.status == 409 or (isinstance(answer, web.Response) and answer.body == b"false")


class Service:
    """One state, and everything that befalls those who call."""

    def __init__(self, loop: asyncio.AbstractEventLoop, seed: int, ttl_floor_s: float) -> None:
        self.state = State(seed, ttl_floor_s * 1000.0)
        self.faults, self.calls = Faults(), Calls()
        self.creators: dict[str, str] = {}  # session: the client that it was created by
        self.older: Records | None = None  # what ?stale is answered from
        self.older_ms = 0.0
        self.random = random.Random(seed + 1)
        self._loop = loop
        self._waiting: dict[tuple[str, bool], set[asyncio.Future[None]]] = {}
        self._turn: asyncio.Future[None] = loop.create_future()  # faults have changed
        self._timer: asyncio.TimerHandle | None = None

    def now(self) -> float:
        """Milliseconds of the clock that never steps back."""
        return self._loop.time() * 1000.0

    @staticmethod
    def kind(request: web.BaseRequest) -> str:
        """What sort of call it is, for the counts."""
        words = request.path.split("/")
        if words[2] == "kv":
            waits = "kv_wait" if request.query.get("index", "0") != "0" else "kv_get"
            return {"GET": waits, "PUT": "kv_put", "DELETE": "kv_delete"}.get(request.method, "other")
        return "txn" if words[2] == "txn" else f"session_{words[3]}" if len(words) > 3 else "other"

    @web.middleware
    async def troubled(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Every call passes here: what goes wrong goes wrong before it is done, or after."""
        if request.path.startswith(CONTROL):
            return await handler(request)
        client, kind = who(request), self.kind(request)
        slow = self.faults.meets("slow", client)
        if slow is not None:
            await asyncio.sleep(slow.ms / 1000.0)
        if await self._unheard(request, client):
            return web.Response()
        answer: web.StreamResponse | None = self._turned_away(request, client)
        if answer is None:
            try:
                answer = await handler(request)
            except InvalidError as exc:
                answer = web.Response(text=str(exc), status=400)
            except msgspec.DecodeError as exc:
                answer = web.Response(text=f"Request decode failed: {exc}", status=400)
            self.wake()
            answer = self._leaderless(request) or answer
        self.calls.count(int(self.now() // 1000.0), client, kind, conflict(answer))
        if await self._unheard(request, client):
            return answer
        if request.method != "GET" and answer.status in (200, 409) and self.faults.loses(client, kind):
            self._break(request)
        return answer

    def _turned_away(self, request: web.Request, client: str) -> web.Response | None:
        if self.faults.meets("too_many", client):
            return web.Response(text="Your IP is issuing too many requests", status=429)
        return self._leaderless(request)

    def _leaderless(self, request: web.Request) -> web.Response | None:
        if self.faults.meets("no_leader") and "stale" not in request.query:
            return web.Response(text="No cluster leader", status=500)
        return None

    async def _unheard(self, request: web.Request, client: str) -> bool:
        """Say nothing while the client is cut off; then its connection is worth nothing any more."""
        if not self.faults.silent(client):
            return False
        while self.faults.silent(client):
            await asyncio.shield(self._turn)
        self._break(request)
        return True

    def _break(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()

    def seen(self, stale: bool) -> tuple[Records, float]:
        """The records that a read is answered from, and how old they are in milliseconds."""
        if stale and self.older is not None:
            return self.older, self.now() - self.older_ms
        return self.state.records, 0.0

    # Waiting

    def faults_changed(self) -> None:
        """Whoever waits for the end of a fault looks again."""
        turn, self._turn = self._turn, self._loop.create_future()
        turn.set_result(None)
        self.wake(everybody=bool(self.faults.meets("no_leader")))

    def wake(self, everybody: bool = False) -> None:
        """Let those look again who wait for what has changed; plan the next session's end."""
        changed, self.state.records.changed = self.state.records.changed, set()
        for place in list(self._waiting):
            prefix, exact = place
            if everybody or any(key == prefix or (not exact and key.startswith(prefix)) for key in changed):
                for one in self._waiting.pop(place):
                    if not one.done():
                        one.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        at = self.state.next_end()
        if at is not None and not (self.faults.meets("gone") or self.faults.meets("no_leader")):
            self._timer = self._loop.call_at(at / 1000.0, self._due)

    def _due(self) -> None:
        self.state.due(self.now() + 1.0)
        self.wake()

    @property
    def waiting(self) -> int:
        """How many calls wait for a change."""
        return sum(map(len, self._waiting.values()))

    async def changed(self, key: str, exact: bool, until: float) -> bool:
        """Wait until something below a prefix has changed; False: answer with what there is."""
        one: asyncio.Future[None] = self._loop.create_future()
        waiting = self._waiting.setdefault((key, exact), set())
        waiting.add(one)
        history = self.state.history
        try:
            await asyncio.wait_for(one, max(0.0, (until - self.now()) / 1000.0))
        except TimeoutError:
            return False
        finally:
            waiting.discard(one)
            if not waiting and self._waiting.get((key, exact)) is waiting:
                del self._waiting[key, exact]
        return history == self.state.history and not self.faults.meets("no_leader")
