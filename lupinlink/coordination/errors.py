"""Errors of the calls to the agreement service."""

from __future__ import annotations

from lupinlink.errors import LupinError


class CoordinationError(LupinError):
    """Base of this package's errors."""

    code = "LL100"
    about = "a call to the agreement service failed"
    remedy = "see docs/operators/coordination.md"


class UnreachableError(CoordinationError):
    """The call has had no effect."""

    code = "LL101"
    about = "the agreement service does not answer, or has no leader"
    remedy = "check that the service runs and is reachable; proxies keep serving, coordinated actions wait"


class BusyError(CoordinationError):
    """The call has had no effect; it can be retried later."""

    code = "LL102"
    about = "the agreement service rejects calls because it receives too many (429)"
    remedy = "nothing at first: calls are spread and retried; if it persists, check the service's rate limits"


class ConflictError(CoordinationError):
    """Nothing was written, since another writer was first or a condition of the commit did not hold."""

    code = "LL103"
    about = "a condition of a commit did not hold for the current records"
    remedy = "nothing: the process decides again from the current records"


class UncertainError(CoordinationError):
    """The response to a write was lost; the write may have been applied."""

    code = "LL104"
    about = "the response to a write was lost; it may or may not have been applied"
    remedy = "nothing: the process reads the records to find out"


class LeaseLostError(CoordinationError):
    """The lease has ended, or could not be renewed in time."""

    code = "LL105"
    about = "this process's lease has ended; another process may act in its place"
    remedy = "nothing if another took over; else check for a suspended process or a lost network path"


class InvalidRequestError(CoordinationError):
    """The service does not accept the request, for example because it is too large."""

    code = "LL106"
    about = "a request is invalid: too many steps, a too large record or an invalid key"
    remedy = "nothing was written; keep the log and report the defect"


class RestoredError(CoordinationError):
    """The service returned to an older state."""

    code = "LL107"
    about = "the agreement service was restored to an older state"
    remedy = "check halts and releases requested after that state was saved, and request them again"


class DeniedError(UnreachableError):
    """The call has had no effect, and will not until an operator changes the token or its rights."""

    code = "LL108"
    about = "the agreement service denies this process access"
    remedy = "set the token in the fleet file; it needs write access to sessions and to keys below the prefix"
