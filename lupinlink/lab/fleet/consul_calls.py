"""The agreement service's calls as Consul's public pages write them: KV, transactions, sessions, waiting."""

from __future__ import annotations

import base64
import re
from typing import Any

import msgspec
from aiohttp import web

from lupinlink.lab.fleet.consul_records import MOST_VALUE, Records, RefusedError, Row
from lupinlink.lab.fleet.consul_service import Service, who
from lupinlink.lab.fleet.consul_state import MOST_STEPS, InvalidError, Session, Step

WHOLE_BODY = 64 << 20
WAIT_MS, MOST_WAIT_MS, JITTER = 300_000.0, 600_000.0, 16.0
DELAY_MS = 15_000.0  # lock-delay unless a session says otherwise
UNITS = {"ns": 1e-6, "us": 1e-3, "ms": 1.0, "s": 1e3, "m": 60e3, "h": 3600e3}


class KvStep(msgspec.Struct, frozen=True):
    """A transaction's step as it is written."""

    Verb: str
    Key: str
    Value: bytes | None = None
    Flags: int = 0
    Index: int = 0
    Session: str = ""


class TxnStep(msgspec.Struct, frozen=True):
    """One entry of a transaction; only steps on records are taken."""

    KV: KvStep


class NewSession(msgspec.Struct, frozen=True):
    """What a session is created from; checks are not played."""

    Name: str = ""
    TTL: str = ""
    LockDelay: str | int | None = None  # a number: nanoseconds
    Behavior: str = "release"


def span_ms(text: str) -> float:
    """A length of time as Go writes it (``1m30s``), in milliseconds. Raises InvalidError."""
    parts = re.findall(r"([0-9]+(?:\.[0-9]+)?)(ns|us|ms|s|m|h)", text)
    if not parts or "".join(amount + unit for amount, unit in parts) != text:
        raise InvalidError(f'time: invalid duration "{text}"')
    return sum(float(amount) * UNITS[unit] for amount, unit in parts)


def shown(row: Row) -> dict[str, Any]:
    """A record as the API writes it."""
    return {
        "LockIndex": row.locks, "Key": row.key, "Flags": row.flags,
        "Value": base64.b64encode(row.value).decode() if row.value else None,
        "CreateIndex": row.created, "ModifyIndex": row.modified,
        **({"Session": row.session} if row.session else {}),
    }  # fmt: skip


def shown_session(one: Session) -> dict[str, Any]:
    """A session as the API writes it; lock-delay in nanoseconds."""
    return {
        "ID": one.name, "Name": one.title, "Node": "stand-in", "LockDelay": round(one.delay_ms * 1e6),
        "Behavior": "delete" if one.deletes else "release",
        "TTL": f"{one.ttl_ms / 1000.0:g}s" if one.ttl_ms else "", "NodeChecks": [], "ServiceChecks": None,
        "CreateIndex": one.index, "ModifyIndex": one.index,
    }  # fmt: skip


def reply(value: Any, status: int = 200) -> web.Response:
    """An answer in JSON."""
    return web.Response(body=msgspec.json.encode(value), status=status, content_type="application/json")


def whole(request: web.Request, name: str) -> int:
    """A number in the query; 0 where it is not given. Raises InvalidError."""
    text = request.query.get(name, "0")
    if not text.isdecimal():
        raise InvalidError(f"Invalid {name} value {text!r}")
    return int(text)


class Api:
    """The calls over one service."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._state = service.state

    def routes(self, app: web.Application) -> None:
        """What is served where."""
        kv = "/v1/kv/{key:.*}"
        app.router.add_get(kv, self._get)
        app.router.add_put(kv, self._put)
        app.router.add_delete(kv, self._delete)
        app.router.add_put("/v1/txn", self._txn)
        app.router.add_put("/v1/session/create", self._create)
        app.router.add_put("/v1/session/renew/{name}", self._renew)
        app.router.add_put("/v1/session/destroy/{name}", self._destroy)
        app.router.add_get("/v1/session/info/{name}", self._info)
        app.router.add_get("/v1/session/list", self._list)

    # Records

    async def _get(self, request: web.Request) -> web.Response:
        key, query = request.match_info["key"], request.query
        exact = not ("recurse" in query or "keys" in query)
        after, wait_ms = whole(request, "index"), span_ms(query.get("wait", "0s"))
        wait_ms = min(wait_ms or WAIT_MS, MOST_WAIT_MS)
        wait_ms += self._service.random.uniform(0.0, wait_ms / JITTER)
        until = self._service.now() + wait_ms
        while True:
            records, late_ms = self._service.seen(stale="stale" in query)
            rows = records.below(key) if not exact else [records.rows[key]] if key in records.rows else []
            index = self._index(records, key, exact, bool(rows))
            if not after or (index > after and (rows or self._gone(records, key, exact, after))):
                break
            if not await self._service.changed(key, exact, until):
                after = 0  # answered with what there is now
        headers = {
            "X-Consul-Index": str(index), "X-Consul-LastContact": str(round(late_ms)),
            "X-Consul-KnownLeader": str(not self._service.faults.meets("no_leader")).lower(),
        }  # fmt: skip
        if not rows:
            return web.Response(status=404, headers=headers)
        if "raw" in query:
            return web.Response(body=rows[0].value, headers=headers)
        answer = reply([row.key for row in rows] if "keys" in query else [shown(row) for row in rows])
        answer.headers.update(headers)
        return answer

    def _index(self, records: Records, key: str, exact: bool, found: bool) -> int:
        """Of what was asked for; where there is nothing, of all records."""
        return max(1, records.index(key, exact) if found else records.index("", False))

    def _gone(self, records: Records, key: str, exact: bool, after: int) -> bool:
        """Whether it has gone since then; a wait for something that never was goes on."""
        return records.index(key, exact) > after

    async def _put(self, request: web.Request) -> web.Response:
        key, query, value = request.match_info["key"], request.query, await request.read()
        if not key:
            return web.Response(text="Missing key name", status=400)
        if len(value) > MOST_VALUE:
            return web.Response(text=f"Request body too large, max size: {MOST_VALUE} bytes", status=413)
        verbs = [verb for verb in ("cas", "acquire", "release") if verb in query]
        if len(verbs) > 1:
            return web.Response(text="Conflicting flags: " + str(request.rel_url), status=400)
        verb = {"cas": "cas", "acquire": "lock", "release": "unlock"}[verbs[0]] if verbs else "set"
        session = query.get(verbs[0], "") if verbs else ""
        index = whole(request, "cas")
        return self._one(Step(verb, key, value, whole(request, "flags"), index, session))

    async def _delete(self, request: web.Request) -> web.Response:
        key, query = request.match_info["key"], request.query
        if "cas" in query:
            return self._one(Step("delete-cas", key, index=whole(request, "cas")))
        return self._one(Step("delete-tree" if "recurse" in query else "delete", key))

    def _one(self, step: Step) -> web.Response:
        try:
            self._state.one(self._service.now(), step)
        except RefusedError:
            return reply(False)
        except LookupError as exc:
            return web.Response(text=f"rpc error making call: {exc.args[0]}", status=500)
        return reply(True)

    async def _txn(self, request: web.Request) -> web.Response:
        found: list[TxnStep] = msgspec.json.decode(await request.read(), type=list[TxnStep])
        if len(found) > MOST_STEPS:
            text = f"Transaction contains too many operations ({len(found)} > {MOST_STEPS})"
            return web.Response(text=text, status=413)
        steps = [
            Step(kv.Verb, kv.Key, kv.Value or b"", kv.Flags, kv.Index, kv.Session)
            for kv in (one.KV for one in found)
        ]
        rows, errors = self._state.transact(self._service.now(), steps)
        if errors:
            wrong = [{"OpIndex": at, "What": what} for at, what in errors]
            return reply({"Results": None, "Errors": wrong}, 409)
        return reply({"Results": [{"KV": shown(row)} for row in rows], "Errors": None})

    # Sessions

    async def _create(self, request: web.Request) -> web.Response:
        new: NewSession = msgspec.json.decode(await request.read() or b"{}", type=NewSession)
        if new.Behavior not in ("release", "delete"):
            raise InvalidError(f"Invalid Behavior setting '{new.Behavior}'")
        delay = new.LockDelay
        delay_ms = DELAY_MS if delay is None else span_ms(delay) if isinstance(delay, str) else delay / 1e6
        ttl_ms = span_ms(new.TTL) if new.TTL else 0.0
        now, deletes = self._service.now(), new.Behavior == "delete"
        name = self._state.create(now, new.Name, ttl_ms, delay_ms, deletes)
        self._service.creators[name] = who(request)
        return reply({"ID": name})

    async def _renew(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        session = self._state.renew(self._service.now(), name)
        if session is None:
            return web.Response(text=f"Session id '{name}' not found", status=404)
        return reply([shown_session(session)])

    async def _destroy(self, request: web.Request) -> web.Response:
        self._state.end(self._service.now(), request.match_info["name"])
        return reply(True)

    async def _info(self, request: web.Request) -> web.Response:
        session = self._state.sessions.get(request.match_info["name"])
        return reply([] if session is None else [shown_session(session)])

    async def _list(self, request: web.Request) -> web.Response:
        return reply([shown_session(one) for one in self._state.sessions.values()])
