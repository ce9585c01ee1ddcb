"""Registers a process as a member of the fleet, in a record that is locked with its lease.

A locked record is a live member. An unlocked one is a member that was killed, is suspended or is cut off from
the service; after a restart the process has the same name and locks it again. A member that left in an
orderly way has no record.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.backoff import Backoff
from lupinlink.coordination.component import Member
from lupinlink.coordination.contract import Agreement, CheckHolder, Delete, Lease, Lock, Record, Step
from lupinlink.coordination.process_lease import ProcessLease
from lupinlink.errors import LupinError

log = logging.getLogger(__name__)
PREFIX = "alive/"  # the reports for releases are under members/
FIRST_RETRY_MS, MAX_RETRY_MS = 1000.0, 10000.0  # while a previous process still holds the record


def encode_member(member: Member) -> bytes:
    """Encode a member as its record's value."""
    return msgspec.json.encode(member)


def decode_member(value: bytes) -> Member | None:
    """Decode a record's value; None if it is not readable."""
    try:
        return msgspec.json.decode(value, type=Member)
    except msgspec.DecodeError:
        return None


class Presence:
    """Keeps one process registered."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        process_lease: ProcessLease,
        member: Member,
        draw: Callable[[], float],
    ) -> None:
        self._agreement, self._clock, self._process_lease, self._member = (
            agreement,
            clock,
            process_lease,
            member,
        )
        self._key, self._value = PREFIX + member.name, encode_member(member)
        self._backoff = Backoff(FIRST_RETRY_MS, MAX_RETRY_MS, draw)
        self._call = 0
        self._stopped = False
        self.registered = False  # whether the record is locked with the current lease

    def start(self) -> None:
        """Register whenever there is a lease."""
        self._process_lease.subscribe(lambda lease: self._register(), self._on_lost)

    def stop(self) -> None:
        """Remove the record at once, so that a process of the same name can register."""
        self._stopped = True
        self._clock.drop(self._call)
        lease = self._process_lease.lease
        if lease is not None and self.registered:
            steps: list[Step] = [CheckHolder(self._key, lease.name), Delete(self._key, None)]
            self._agreement.commit(steps).addErrback(lambda failure: None)
        self.registered = False

    def _on_lost(self, error: LupinError) -> None:
        self.registered = False
        self._clock.drop(self._call)

    def _register(self) -> None:
        lease = self._process_lease.lease
        if lease is not None and not self._stopped:
            locking = self._agreement.commit([Lock(self._key, self._value, lease.name)])
            locking.addCallbacks(self._on_registered, self._on_refused, callbackArgs=(lease,))

    def _on_registered(self, records: dict[str, Record], lease: Lease) -> None:
        if lease is self._process_lease.lease:
            self._backoff.reset()
            self.registered = not self._stopped
            log.info("joined", extra={"kv": {"member": self._member.name, "lease": lease.name}})

    def _on_refused(self, failure: Failure) -> None:
        if self._stopped:
            return
        if not isinstance(failure.value, LupinError):
            log.error("could not join", exc_info=failure.value)
        self._clock.drop(self._call)
        self._call = self._clock.at(self._clock.now() + self._backoff.next_ms(), self._register)
