"""Begins a coroutine over the agreement; what nobody expected in it is logged and ends nothing else."""

from __future__ import annotations

import logging
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

log = logging.getLogger(__name__)


def spawn(work: Coroutine[Deferred[Any], Any, None], what: str) -> None:
    """Run ``work``; its failures of the expected kinds are its own to catch."""

    def fault(failure: Failure) -> None:
        log.error("%s failed", what, exc_info=failure.value)

    Deferred.fromCoroutine(work).addErrback(fault)
