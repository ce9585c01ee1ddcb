"""Reads the fleet file from disk; the only I/O of this package."""

from __future__ import annotations

import tomllib
from pathlib import Path

from lupinlink.config.errors import FleetFileUnreadableError
from lupinlink.config.fleet import FleetFile, read_fleet


def load_fleet(path: str) -> FleetFile:
    """Read and validate a fleet file. Raises FleetFileUnreadableError, and what ``read_fleet`` raises."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise FleetFileUnreadableError(f"{path}: {(exc.strerror or str(exc)).lower()}") from exc
    except ValueError as exc:
        raise FleetFileUnreadableError(f"{path}: {exc}") from exc
    return read_fleet(raw, path, str(Path(path).resolve().parent))
