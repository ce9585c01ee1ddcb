"""The agreement service in the rig: its process, what goes wrong with it, who leads, who calls how often."""

from __future__ import annotations

import asyncio
import base64
import json
import subprocess
import sys
from typing import Any

import aiohttp

from lupinlink.lab.fleet import addresses
from lupinlink.lab.fleet.gate import FleetError
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.fleet.processes import HOME
from lupinlink.lab.model.agreement import Agreement, When

CALL = aiohttp.ClientTimeout(total=5.0)
BEGIN_S = 20.0
END_S = 3.0


class AgreementService:
    """The stand-in, as the rig holds it; every proxy finds it at an address that is kept for it alone."""

    def __init__(self, ground: Ground, spec: Agreement) -> None:
        self.spec = spec
        self._ground = ground
        self._process: asyncio.subprocess.Process | None = None
        self._session: aiohttp.ClientSession | None = None
        self._port = self._control = 0

    async def start(self) -> None:
        """Begin; raises FleetError."""
        words = [f"--seed={self._ground.seed}", f"--ttl-floor={self.spec.ttl_floor_s}"]
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lupinlink.lab.fleet.consul", *words, cwd=HOME,
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, start_new_session=True,
        )  # fmt: skip
        assert self._process.stdout is not None
        try:
            line = await asyncio.wait_for(self._process.stdout.readline(), BEGIN_S)
            ports = json.loads(line)
        except (TimeoutError, ValueError) as exc:
            raise FleetError("the rig's agreement service does not begin") from exc
        self._port, self._control = ports["port"], ports["control"]
        self._session = aiohttp.ClientSession(timeout=CALL)

    def address(self, proxy: int) -> str:
        """Where a proxy finds it."""
        return f"{self._client(proxy)}:{self._port}"

    def _client(self, proxy: int) -> str:
        return addresses.finds(self._ground.world.agents.front.zone_of[proxy], proxy)

    async def _call(self, method: str, path: str, body: Any = None) -> Any:
        assert self._session is not None
        url = f"http://127.0.0.1:{self._control}/_stand_in/{path}"
        try:
            async with self._session.request(method, url, json=body) as answer:
                if answer.status != 200:
                    raise FleetError(f"the agreement service says to {path}: {await answer.text()}")
                return await answer.json()
        except (aiohttp.ClientError, TimeoutError) as exc:
            if self._ground.closing:
                return None
            raise FleetError(f"the rig's agreement service does not answer to {path}: {exc!r}") from exc

    async def fault(self, kind: str, on: bool, proxies: list[int] | None = None, **more: Any) -> None:
        """A fault begins or ends, for some proxies or for everybody."""
        clients = None if proxies is None else [self._client(i) for i in proxies]
        await self._call("PUT", "fault", {"kind": kind, "on": on, "clients": clients, **more})

    async def restart(self, ms: float) -> None:
        """It ends and is back so much later, with all it knew."""
        await self._call("PUT", f"restart?ms={ms:g}")

    async def save(self) -> None:
        """Keep the state as it is now."""
        await self._call("PUT", "save")

    async def restore(self) -> None:
        """Put the state back that was kept."""
        await self._call("PUT", "restore")

    async def _records(self) -> dict[str, Any]:
        found: dict[str, Any] = await self._call("GET", "records") or {"records": [], "sessions": []}
        return found

    async def lead(self) -> int | None:
        """The proxy whose session holds the lead's record, or None."""
        found = await self._records()
        clients = {one["ID"]: one["Client"] for one in found["sessions"]}
        for row in found["records"]:
            if row["Key"].endswith(self.spec.lead) and clients.get(row.get("Session", "")):
                return addresses.whose(clients[row["Session"]])
        return None

    async def permits(self, what: str = "proxies") -> dict[str, Any]:
        """What the permits' record says of proxies or servers: by name, the permit that each holds."""
        for row in (await self._records())["records"]:
            if row["Key"].endswith(self.spec.permits):
                held: dict[str, Any] = json.loads(_text(row)).get(what, {}).get("held", {})
                return held
        return {}

    async def holds(self, when: When) -> bool:
        """Whether a record holds a text."""
        rows = (await self._records())["records"]
        return any(row["Key"].endswith(when.key) and when.holds in _text(row) for row in rows)

    async def calls(self, first_ms: float, last_ms: float) -> list[tuple[str, int]]:
        """Who called how often between two times of the rig's clock, a row for each kind and second."""
        rows = await self._call("GET", "count") or []
        offset = self._ground.clock.offset_ms
        return [
            (row["client"], row["calls"])
            for row in rows
            if first_ms <= row["second"] * 1000.0 + offset < last_ms
        ]

    async def end(self) -> None:
        """End its process, by its number."""
        if self._session is not None:
            await self._session.close()
        if self._process is None:
            return
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            await asyncio.wait_for(self._process.wait(), END_S)
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


def _text(row: dict[str, Any]) -> str:
    """A record's value."""
    return base64.b64decode(row["Value"] or "").decode("utf-8", "replace")
