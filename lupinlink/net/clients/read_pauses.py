"""The reasons for which a client's connection is not read at present."""

from __future__ import annotations

from enum import Enum

from lupinlink.net.twisted_types import Transport


class PauseReason(Enum):
    """Why a client's connection is not read."""

    BODY = "the request's body is as long as it may be here"
    MEMORY = "memory is short"


class ReadPauses:
    """Reading stops with the first reason, and resumes as none is left."""

    def __init__(self) -> None:
        self._reasons: set[PauseReason] = set()

    def __bool__(self) -> bool:
        """Whether the connection is not read."""
        return bool(self._reasons)

    def has(self, why: PauseReason) -> bool:
        """Whether it is not read for this reason, among others."""
        return why in self._reasons

    def set(self, transport: Transport, why: PauseReason, on: bool) -> None:
        """Add or remove a reason."""
        before = bool(self._reasons)
        if on:
            self._reasons.add(why)
        else:
            self._reasons.discard(why)
        if before == bool(self._reasons):
            return
        if self._reasons:
            transport.pauseProducing()
        else:
            transport.resumeProducing()

    def clear(self) -> None:
        """Forget all reasons; the caller resumes reading."""
        self._reasons.clear()
