"""What can go wrong between a process and the service through which the fleet agrees."""

from __future__ import annotations

from lupinlink.errors import LupinError


class CoordinationError(LupinError):
    """Base of this package's errors."""

    code = "LL100"
    about = "the fleet's agreement cannot be used as it was asked for"
    remedy = "see docs/operators/coordination.md"


class UnreachableError(CoordinationError):
    """The call surely did nothing."""

    code = "LL101"
    about = "the agreement service does not answer, or has no leader"
    remedy = "look whether the service runs and is reached; proxies serve on, what needs agreement waits"


class BusyError(CoordinationError):
    """The call surely did nothing; ask again later."""

    code = "LL102"
    about = "the agreement service turns calls away because it has too many (429)"
    remedy = "nothing at once: calls are spread and repeated; look at the service's rate limits if it lasts"


class ConflictError(CoordinationError):
    """Nothing was written: somebody else was first, or a condition did not hold."""

    code = "LL103"
    about = "a commit did not fit the records as they stand"
    remedy = "nothing: it is decided anew on what stands there now"


class UncertainError(CoordinationError):
    """The answer to a write was lost; it may have happened."""

    code = "LL104"
    about = "the answer to a write was lost, it may have happened or not"
    remedy = "nothing: the records are read and the question settles itself"


class LeaseLostError(CoordinationError):
    """The lease has ended, or could not be renewed in time."""

    code = "LL105"
    about = "this process's lease has ended, another may act in its place"
    remedy = "nothing if another took over; else look for a process that stands still or a cut to the service"


class InvalidRequestError(CoordinationError):
    """The program asked for more than the service takes."""

    code = "LL106"
    about = "a commit has too many steps, or a record is too large"
    remedy = "keep the log and report it; nothing was written"


class RestoredError(CoordinationError):
    """The service's history went back."""

    code = "LL107"
    about = "the agreement service was restored to an older state"
    remedy = "check halts and releases asked for after that state was saved, and ask for them again"


class DeniedError(UnreachableError):
    """The call surely did nothing, and will not until somebody changes the token or its rights."""

    code = "LL108"
    about = "the agreement service does not let this process in"
    remedy = "set the token in the fleet file, and its rights: key and session write below the prefix"
