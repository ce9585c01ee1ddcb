"""A backend of the shared discovery whose address gets another owner."""

from __future__ import annotations

from typing import Any

from tests.drain_discovery import SharedDiscovery


def replace_backend(shared: SharedDiscovery, uid: str, row: dict[str, Any]) -> None:
    """Another backend takes the place of this one; every open watch gets both changes at once."""
    with shared.lock:
        shared.rev += 1
        gone = {**shared.rows.pop(uid), "state": "terminated"}
        shared.rows[row["uid"]] = row
        shared.changes += [(shared.rev, gone), (shared.rev, row)]
        if shared.speaking.is_set():
            shared._push_all()
