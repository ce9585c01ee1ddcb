"""Calls that make the stand-in agreement service fail, and tell what it has seen."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec
from aiohttp import web

from lupinlink.lab.fleet.consul_calls import reply, shown, shown_session
from lupinlink.lab.fleet.consul_faults import Trouble
from lupinlink.lab.fleet.consul_service import CONTROL, Service
from lupinlink.lab.fleet.consul_state import Saved


class Port(Protocol):
    """The service's port, as the faults see it."""

    async def open(self) -> None: ...

    async def close(self) -> None: ...

    def drop(self, clients: tuple[str, ...] | None) -> None: ...


class Control:
    """The calls under ``/_stand_in/``."""

    def __init__(self, service: Service, port: Port | None = None) -> None:
        self.port = port
        self._service = service
        self._saved: Saved | None = None

    def routes(self, app: web.Application) -> None:
        """What is served where."""
        app.router.add_put(CONTROL + "fault", self._fault)
        app.router.add_put(CONTROL + "restart", self._restart)
        app.router.add_put(CONTROL + "save", self._save)
        app.router.add_put(CONTROL + "restore", self._restore)
        app.router.add_put(CONTROL + "expire", self._expire)
        app.router.add_get(CONTROL + "count", self._count)
        app.router.add_get(CONTROL + "records", self._records)

    async def _fault(self, request: web.Request) -> web.Response:
        """``{"kind", "on", "clients", "ms", "count"}``: a fault begins or ends."""
        try:
            trouble: Trouble = msgspec.json.decode(await request.read(), type=Trouble)
            await self.play(trouble)
        except (msgspec.DecodeError, ValueError) as exc:
            return web.Response(text=str(exc), status=400)
        return reply(True)

    async def play(self, trouble: Trouble) -> None:
        """A fault begins or ends. Raises ValueError."""
        service, port = self._service, self.port
        service.faults.play(trouble)
        now = service.now()
        if trouble.kind == "stale":
            service.older = service.state.view() if trouble.on else None
            service.older_ms = now
        if trouble.kind in ("gone", "no_leader") and not trouble.on:
            service.state.anew(now)
        if port is not None and trouble.kind == "gone":
            await (port.close() if trouble.on else port.open())
        if port is not None and trouble.kind in ("gone", "cut"):
            port.drop(service.faults.cut_off())
        service.faults_changed()

    async def _restart(self, request: web.Request) -> web.Response:
        """``?ms=``: the port is closed and every connection reset; so much later it is back, records kept."""
        try:
            ms = float(request.query.get("ms", "500"))
        except ValueError as exc:
            return web.Response(text=str(exc), status=400)
        await self.play(Trouble("gone"))
        await asyncio.shield(asyncio.ensure_future(self._back(ms)))
        return reply(True)

    async def _back(self, ms: float) -> None:
        await asyncio.sleep(ms / 1000.0)
        await self.play(Trouble("gone", on=False))

    async def _save(self, request: web.Request) -> web.Response:
        """Remember the state as it is."""
        self._saved = self._service.state.save()
        return reply(self._saved.index)

    async def _restore(self, request: web.Request) -> web.Response:
        """Go back to the state that was saved: the index goes back, whoever waits is answered."""
        if self._saved is None:
            return web.Response(text="nothing was saved", status=409)
        self._service.state.restore(self._service.now(), self._saved)
        self._service.wake(everybody=True)
        return reply(self._saved.index)

    async def _expire(self, request: web.Request) -> web.Response:
        """``?session=``: it ends now, as if it had not been renewed."""
        name = request.query.get("session", "")
        found = name in self._service.state.sessions
        self._service.state.end(self._service.now(), name)
        self._service.wake()
        return reply(found)

    async def _count(self, request: web.Request) -> web.Response:
        """Calls by second, client and kind; ``?client=`` once or more: of those only."""
        return reply(self._service.calls.rows(request.query.getall("client", [])))

    async def _records(self, request: web.Request) -> web.Response:
        """The newest records below ``?prefix=``, all sessions, how many calls wait; whatever is played."""
        state = self._service.state
        rows = state.records.below(request.query.get("prefix", ""))
        creators = self._service.creators
        sessions = [
            {**shown_session(one), "Client": creators.get(one.name, "")} for one in state.sessions.values()
        ]
        found = {"records": [shown(row) for row in rows], "sessions": sessions, "index": state.index}
        return reply({**found, "waiting": self._service.waiting})
