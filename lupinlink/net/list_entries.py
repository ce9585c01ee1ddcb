"""Reads one entry of discovery's lists; a backend whose entry is invalid is treated as draining."""

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
    """One backend as a list describes it. With a ``fault`` it is never ready."""

    endpoint: Endpoint
    host: str = ""  # empty, with port 0, if no valid address was given
    port: int = 0
    zone: str = ""  # zone and kind by name: the next process has its own settings, and so its own indexes
    kind: str = ""
    fault: str = ""  # what is invalid; empty for a valid entry

    @property
    def ready(self) -> bool:
        """Whether the backend takes new requests."""
        return self.endpoint.state == EndpointState.READY

    @property
    def is_gone(self) -> bool:
        """Whether the backend has left the list."""
        return self.endpoint.state == EndpointState.GONE

    def with_state(self, state: EndpointState) -> ListEntry:
        """Return a copy with another state."""
        return replace(self, endpoint=replace(self.endpoint, state=state))

    def as_json(self) -> dict[str, Any]:
        """Return the entry in discovery's JSON format, with defaults in place of invalid values."""
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
    """Read one entry; return None if it does not name a backend.

    A backend whose state, address or start time is invalid must get no requests: it may be draining.
    """
    if not isinstance(item, dict) or not (name := _name(item.get("uid"))):
        return None
    faults = [] if _fits_header(name) else ["uid: not Latin-1, which a Host header needs"]
    state = STATE_BY_NAME.get(item["state"]) if isinstance(item.get("state"), str) else None
    if state is None:
        faults.append("state: missing or unknown")
        state = EndpointState.DRAINING
    started_ms = _finite_number(item.get("boot_ms"), 0.0)
    if started_ms is None:
        faults.append("boot_ms: not a time in ms")
    host_and_port = _backend_address(item.get("endpoint"))
    if host_and_port is None and state != EndpointState.GONE:  # a backend that is gone needs no address
        faults.append("endpoint: not host:port")
    if faults and state == EndpointState.READY:
        state = EndpointState.DRAINING
    host, port = host_and_port or ("", 0)
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
    """Return the index of a zone or kind in the settings; all unknown ones share the index after the last."""
    return names.index(name) if name in names else len(names)


def _name(uid: object) -> str:
    """Return a backend's name; empty if there is none that can be logged."""
    if isinstance(uid, int) and not isinstance(uid, bool):
        return str(uid)
    return uid if isinstance(uid, str) and uid.isprintable() else ""


def _fits_header(name: str) -> bool:
    """Probes carry the name in their Host header, which is written as Latin-1."""
    return all(ord(character) < 0x100 for character in name)


def _text(value: object) -> str:
    return value if isinstance(value, str) else ""


def _finite_number(value: object, default: float) -> float | None:
    """Return a finite number, the default if the value is missing, or None if it is invalid."""
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        number = float(value)
    except (ValueError, OverflowError):
        return None
    return number if math.isfinite(number) else None


def _cell(value: object) -> int:
    number = _finite_number(value, 0.0)
    return int(number) if number is not None else 0


def _size_hint(value: object) -> float:
    number = _finite_number(value, DEFAULT_SIZE_HINT)
    return number if number is not None and number >= 0.0 else DEFAULT_SIZE_HINT


def _backend_address(value: object) -> tuple[str, int] | None:
    """Return host and port; None for what can't be dialled or would be invalid in a Host header."""
    if not isinstance(value, str) or not value.isascii() or not value.isprintable() or " " in value:
        return None
    try:
        host, port = parse_address(value, "endpoint")
    except SettingsError:
        return None
    return (host, port) if port else None
