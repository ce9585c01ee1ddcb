"""Discovery's form: one object of a list or a watch, and where one ends in the bytes that come."""

from __future__ import annotations

import json
from typing import Any

from lupinlink.errors import LupinError
from lupinlink.interface import Endpoint, EndpointState
from lupinlink.settings import Settings, address

MAX_LIST = 1024 * 1024
STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.GONE,
}
Row = tuple[Endpoint, str, int]


class ListError(LupinError, ValueError):
    """What discovery wrote is no list."""

    code = "LL603"
    about = "discovery wrote something that is no list of application servers"
    remedy = "look at what discovery answers to GET /discovery/hosts; the last good list stays in force"


def read_list(raw: Any, settings: Settings) -> tuple[int, bool, list[Row]]:
    """One object of discovery: version, whether it is the whole list, and the entries."""
    try:
        rows = []
        for item in raw["targets"]:
            # A state that is not known is no invitation to send new work.
            state = STATES.get(item["state"], EndpointState.DRAINING)
            row = Endpoint(
                name=str(item["uid"]),
                zone=number(settings.zones, item.get("az")),
                kind=number(settings.kinds, item.get("model")),
                cell=int(item.get("pod_group") or 0),
                state=state,
                size_hint=float(1.0 if item.get("capacity_hint") is None else item["capacity_hint"]),
                started_ms=float(item.get("boot_ms") or 0.0),
            )
            host, port = address(str(item["endpoint"]), "endpoint")
            rows.append((row, host, port))
        return int(raw["rev"]), bool(raw["all"]), rows
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as exc:
        raise ListError(f"{type(exc).__name__}: {exc}") from exc


def number(names: tuple[str, ...], name: object) -> int:
    """The settings' number of a zone or kind; all unknown ones are one more of their own."""
    return names.index(name) if name in names else len(names)


class Objects:
    """Cuts the lines of a watch into its objects. Most take one line; one may come indented, over several."""

    def __init__(self) -> None:
        self._line = b""  # the last one, while its end is still to come
        self._lines: list[bytes] = []  # of an object that has begun
        self._size = 0
        self.signs = 0  # of life: empty lines, objects that begin, objects that end

    def feed(self, data: bytes) -> list[Any]:
        """The objects that end in these bytes; raises ListError for what can be none."""
        begun = bool(self._lines or self._line.strip())
        *lines, self._line = (self._line + data).split(b"\n")
        found = []
        for line in lines:
            if line.strip():
                self._lines.append(line)
                self._size += len(line)
                # Only there can one end, and a first line shows whether one begins: a long list that comes
                # over many lines is not parsed anew at each.
                if len(self._lines) == 1 or line.rstrip().endswith(b"}"):
                    found += self._whole()
            elif self._lines:
                raise ListError("an object is cut short by an empty line")
            else:
                self.signs += 1
        self.signs += len(found) + (not begun and bool(self._lines or self._line.strip()))
        if self._size + len(self._line) > MAX_LIST:
            raise ListError(f"an object of over {MAX_LIST} bytes")
        return found

    def _whole(self) -> list[Any]:
        text = b"\n".join(self._lines).decode()
        try:
            found = json.loads(text)
        except json.JSONDecodeError as exc:
            if exc.pos >= len(text):  # all of it is right so far: more is to come
                return []
            raise ListError(f"broken JSON: {exc.msg}") from exc
        except RecursionError as exc:
            raise ListError("nested too deep") from exc
        if not isinstance(found, dict):
            raise ListError("a line that is no object")
        self._lines.clear()
        self._size = 0
        return [found]
