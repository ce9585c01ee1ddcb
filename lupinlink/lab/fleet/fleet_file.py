"""Each proxy's fleet file, written from the scenario's text, and the bounds that stand in it."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from lupinlink.lab.fleet.gate import FleetError
from lupinlink.lab.fleet.ground import Ground
from lupinlink.lab.fleet.service import AgreementService
from lupinlink.lab.model.agreed import Bound
from lupinlink.lab.model.agreement import Agreement


def pools_of(spec: Agreement, proxies: int) -> dict[int, str]:
    """The pool of each proxy, by the pools' shares; all in one that has no name where none is named."""
    if not spec.pools:
        return dict.fromkeys(range(proxies), "")
    whole, found, names = sum(spec.pools.values()), {}, list(spec.pools)
    edges, upto = [], 0.0
    for name in names:
        upto += spec.pools[name] / whole
        edges.append(round(upto * proxies))
    for proxy in range(proxies):
        found[proxy] = next(name for name, edge in zip(names, edges, strict=True) if proxy < edge)
    return found


def bound(spec: Agreement, what: str) -> Bound:
    """The bound on proxies, or on servers, as the fleet file has it; raises FleetError."""
    try:
        table: dict[str, Any] = tomllib.loads(spec.file)
    except tomllib.TOMLDecodeError as exc:
        raise FleetError(f"agreement.file: {exc}") from exc
    return Bound.of(table.get("release", {}).get(what, {}))


class FleetFiles:
    """Writes them."""

    def __init__(self, ground: Ground, service: AgreementService, folder: Path) -> None:
        self._ground, self._service, self._folder = ground, service, folder
        spec = service.spec
        self.pools = pools_of(spec, ground.scenario.proxies.count)
        self.versions = dict.fromkeys(self.pools, spec.version)
        if spec.policy:
            (folder / "quota.policy").write_text(spec.policy, encoding="utf-8")

    def write(self, proxy: int) -> Path:
        """Write one as it is now; returns where."""
        zone = self._ground.world.agents.front.zone_of[proxy]
        text = self._service.spec.file
        for key, value in {
            "name": f"n{proxy}", "zone": self._ground.scenario.network.zones[zone],
            "version": self.versions[proxy], "pool": self.pools[proxy],
            "address": self._service.address(proxy), "folder": str(self._folder),
        }.items():  # fmt: skip
            text = text.replace(f"@{key}@", value)
        path = self._folder / f"n{proxy}.fleet.toml"
        path.write_text(text, encoding="utf-8")
        return path
