"""Scenario files, by name or path, with what they include; each flaw is told by file, key and reason."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, field
from importlib.resources import files
from pathlib import Path
from typing import Any

from lupinlink.lab.errors import LibraryError as LibraryError
from lupinlink.lab.model.flaws import Flaw, ScenarioError
from lupinlink.lab.model.scenario import Scenario
from lupinlink.lab.model.scenario_check import read

DEEPEST = 8  # includes within includes
FOLDER = Path(str(files("lupinlink.lab"))) / "scenarios"


@dataclass(slots=True)
class Loaded:
    """A scenario with its tables as merged and the file that each key came from."""

    scenario: Scenario
    raw: dict[str, Any]
    origin: dict[str, Path] = field(default_factory=dict)


def shipped() -> list[Path]:
    """The scenarios that come with the program, in order of name."""
    return sorted(path for path in FOLDER.glob("*.toml") if not path.stem.startswith("base"))


def find(name: str) -> Path:
    """A path, or the name of a shipped scenario."""
    path = Path(name)
    if path.suffix == ".toml" or path.exists():
        return path
    found = FOLDER / f"{name}.toml"
    if not found.exists():
        names = ", ".join(p.stem for p in shipped())
        raise LibraryError([f"{name}: no such scenario; shipped are {names}; else name a .toml file"])
    return found


def load(name: str, overrides: dict[str, Any] | None = None) -> Loaded:
    """Read a scenario with its includes; ``overrides`` are dotted keys that go before all files."""
    path = find(name)
    origin: dict[str, Path] = {}
    raw = _tables(path, origin, ())
    for key, value in (overrides or {}).items():
        _set(raw, key, value)
        origin[key] = Path("command line")
    try:
        return Loaded(read(raw), raw, origin)
    except ScenarioError as exc:
        raise LibraryError([_line(flaw, origin, path) for flaw in exc.flaws]) from exc


def _line(flaw: Flaw, origin: dict[str, Path], path: Path) -> str:
    """A flaw with the file that the nearest key that stands in one came from."""
    key = flaw.key
    while key and key not in origin:
        key = key.rpartition(".")[0]
    return f"{origin.get(key, path)}: {flaw}"


def _tables(path: Path, origin: dict[str, Path], above: tuple[Path, ...]) -> dict[str, Any]:
    place = path.resolve()
    if place in above:
        raise LibraryError([f"{path}: include: includes itself by way of {above[-1].name}"])
    if len(above) >= DEEPEST:
        raise LibraryError([f"{path}: include: more than {DEEPEST} files deep"])
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise LibraryError([f"{path}: {exc.strerror or exc}"]) from exc
    except UnicodeDecodeError as exc:
        raise LibraryError([f"{path}: is not UTF-8 text (byte {exc.start})"]) from exc
    except tomllib.TOMLDecodeError as exc:
        raise LibraryError([f"{path}: {exc}"]) from exc
    included = raw.pop("include", [])
    if not isinstance(included, list) or not all(isinstance(name, str) for name in included):
        raise LibraryError([f"{path}: include: must be a list of file names"])
    merged: dict[str, Any] = {}
    for name in included:
        _merge(merged, _tables(path.parent / name, origin, (*above, place)))
    _merge(merged, raw)
    _mark(raw, "", path, origin)
    return merged


def _merge(into: dict[str, Any], tables: dict[str, Any]) -> None:
    """Tables are merged key by key, all else is replaced."""
    for key, value in tables.items():
        if isinstance(value, dict) and isinstance(into.get(key), dict):
            _merge(into[key], value)
        elif isinstance(value, dict):
            into[key] = {}
            _merge(into[key], value)
        else:
            into[key] = value


def _mark(tables: dict[str, Any], above: str, path: Path, origin: dict[str, Path]) -> None:
    for key, value in tables.items():
        name = f"{above}.{key}" if above else key
        origin[name] = path
        if isinstance(value, dict):
            _mark(value, name, path, origin)


def _set(raw: dict[str, Any], key: str, value: Any) -> None:
    *tables, last = key.split(".")
    at = raw
    for name in tables:
        below = at.setdefault(name, {})
        if not isinstance(below, dict):
            raise LibraryError([f"{key}: {name} is no table"])
        at = below
    at[last] = value
