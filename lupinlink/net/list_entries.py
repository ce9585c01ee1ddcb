"""One entry of discovery's lists: what can be read of it, and how a backend counts where that fails."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import Any

from lupinlink.interface import Endpoint, EndpointState
from lupinlink.settings import Settings, SettingsError, parse_address

STATE_BY_NAME = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
NAME_BY_STATE = {state: word for word, state in STATE_BY_NAME.items()}
DEFAULT_SIZE_HINT = 1.0


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One backend as a list tells it. With a ``fault`` it is never ready."""

    endpoint: Endpoint
    host: str = ""  # empty, and port 0: no address could be read
    port: int = 0
    zone: str = ""  # zone and kind by name: a successor numbers them by its own settings
    kind: str = ""
    fault: str = ""  # what could not be read; empty: nothing

    @property
    def ready(self) -> bool:
        """Whether it takes new requests."""
        return self.endpoint.state == EndpointState.READY

    @property
    def is_gone(self) -> bool:
        """Whether it is on the list no longer."""
        return self.endpoint.state == EndpointState.GONE

    def with_state(self, state: EndpointState) -> ListEntry:
        """The same backend in another state."""
        return replace(self, endpoint=replace(self.endpoint, state=state))

    def written(self) -> dict[str, Any]:
        """The entry in discovery's form; what could not be read is set right."""
        endpoint = self.endpoint
        return {
            "uid": endpoint.name,
            "endpoint": f"{self.host}:{self.port}",
            "az": self.zone,
            "model": self.kind,
            "pod_group": endpoint.cell,
            "state": NAME_BY_STATE[endpoint.state],
            "capacity_hint": endpoint.size_hint,
            "boot_ms": endpoint.started_ms,
        }


def read_entry(item: object, settings: Settings) -> ListEntry | None:
    """Read one entry; None if it does not name a backend.

    Danger: a backend whose state, address or start can't be read must not be sent to: it may be draining.
    """
    if not isinstance(item, dict) or not (name := _name(item.get("uid"))):
        return None
    faults = [] if _fits_header(name) else ["uid: fits no header"]
    state = STATE_BY_NAME.get(item["state"]) if isinstance(item.get("state"), str) else None
    if state is None:
        faults.append("state: missing or unknown")
        state = EndpointState.DRAINING
    started_ms = _figure(item.get("boot_ms"), 0.0)
    if started_ms is None:
        faults.append("boot_ms: no time")
    found = _backend_address(item.get("endpoint"))
    if found is None and state != EndpointState.GONE:  # who is gone needs no address
        faults.append("endpoint: no host:port")
    if faults and state == EndpointState.READY:
        state = EndpointState.DRAINING
    host, port = found or ("", 0)
    zone, kind = item.get("az"), item.get("model")
    endpoint = Endpoint(
        name=name,
        zone=index_or_unknown(settings.zones, zone),
        kind=index_or_unknown(settings.kinds, kind),
        cell=_cell(item.get("pod_group")),
        state=state,
        size_hint=_size_hint(item.get("capacity_hint")),
        started_ms=started_ms or 0.0,
    )
    return ListEntry(endpoint, host, port, _text(zone), _text(kind), "; ".join(faults))


def index_or_unknown(names: tuple[str, ...], name: object) -> int:
    """The settings' number of a zone or kind; all unknown ones are one more of their own."""
    return names.index(name) if name in names else len(names)


def _name(uid: object) -> str:
    """A backend's name; empty if there is none that can be kept and logged."""
    if isinstance(uid, int) and not isinstance(uid, bool):
        return str(uid)
    return uid if isinstance(uid, str) and uid.isprintable() else ""


def _fits_header(name: str) -> bool:
    """Probes carry the name in their Host header, which goes out as Latin-1."""
    return all(ord(character) < 0x100 for character in name)


def _text(value: object) -> str:
    return value if isinstance(value, str) else ""


def _figure(value: object, default: float) -> float | None:
    """A finite number, or the default where there is none; None if it is something else."""
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        figure = float(value)
    except (ValueError, OverflowError):
        return None
    return figure if math.isfinite(figure) else None


def _cell(value: object) -> int:
    figure = _figure(value, 0.0)
    return int(figure) if figure is not None else 0


def _size_hint(value: object) -> float:
    figure = _figure(value, DEFAULT_SIZE_HINT)
    return figure if figure is not None and figure >= 0.0 else DEFAULT_SIZE_HINT


def _backend_address(value: object) -> tuple[str, int] | None:
    """Where a backend listens; None for what can't be dialled or would break the Host header."""
    if not isinstance(value, str) or not value.isascii() or not value.isprintable() or " " in value:
        return None
    try:
        host, port = parse_address(value, "endpoint")
    except (SettingsError, ValueError):  # also a port of more digits than a number may have
        return None
    return (host, port) if port else None
