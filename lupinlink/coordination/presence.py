"""A process's own record: who it is, held by its lease for as long as it lives.

A record that is held is a member that lives; one that nobody holds is a member that was killed, stands still
or is cut off (its name is the same after a restart, which takes it again); one that left in order has none.
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
PREFIX = "alive/"  # beside the release's reports, which stand under members/
FIRST_AGAIN_MS, MOST_AGAIN_MS = 1000.0, 10000.0  # while a process before this one still holds it


def member_record(member: Member) -> bytes:
    """A member as its record's value."""
    return msgspec.json.encode(member)


def read_member(value: bytes) -> Member | None:
    """A record's member; None if it cannot be read."""
    try:
        return msgspec.json.decode(value, type=Member)
    except msgspec.DecodeError:
        return None


class Presence:
    """The agent of one process."""

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
        self._key, self._value = PREFIX + member.name, member_record(member)
        self._backoff = Backoff(FIRST_AGAIN_MS, MOST_AGAIN_MS, draw)
        self._call = 0
        self._stopped = False
        self.known = False  # whether its record stands, held by the present lease

    def start(self) -> None:
        """Be known whenever there is a lease."""
        self._process_lease.listen(lambda lease: self._take(), self._lost)

    def stop(self) -> None:
        """Leave: the record goes at once, so that a process of the same name may take it."""
        self._stopped = True
        self._clock.drop(self._call)
        lease = self._process_lease.lease
        if lease is not None and self.known:
            steps: list[Step] = [CheckHolder(self._key, lease.name), Delete(self._key, None)]
            self._agreement.commit(steps).addErrback(lambda failure: None)
        self.known = False

    def _lost(self, error: LupinError) -> None:
        self.known = False
        self._clock.drop(self._call)

    def _take(self) -> None:
        lease = self._process_lease.lease
        if lease is not None and not self._stopped:
            taken = self._agreement.commit([Lock(self._key, self._value, lease.name)])
            taken.addCallbacks(self._taken, self._refused, callbackArgs=(lease,))

    def _taken(self, records: dict[str, Record], lease: Lease) -> None:
        if lease is self._process_lease.lease:
            self._backoff.reset()
            self.known = not self._stopped
            log.info("joined", extra={"kv": {"member": self._member.name, "lease": lease.name}})

    def _refused(self, failure: Failure) -> None:
        if self._stopped:
            return
        if not isinstance(failure.value, LupinError):
            log.error("could not join", exc_info=failure.value)
        self._clock.drop(self._call)
        self._call = self._clock.at(self._clock.now() + self._backoff.next_ms(), self._take)
