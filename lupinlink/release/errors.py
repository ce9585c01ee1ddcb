"""What can go wrong with permits to be out and with releases."""

from __future__ import annotations

from lupinlink.errors import LupinError


class ReleaseError(LupinError):
    """Base of this package's errors. ``status``: what the operators' door answers."""

    code = "LL200"
    about = "a drain or a release cannot be carried on as it was asked for"
    remedy = "see docs/operators/release.md"
    status = 409


class RefusedPermitError(ReleaseError):
    """Not now: as many are out as may be, or the rest would not bear the load."""

    code = "LL201"
    about = "a permit to be out is not given for now"
    remedy = "wait, or bring back what is out: GET /control/release names it; ?now=1 drains without a permit"


class HaltedError(ReleaseError):
    """A halt stands."""

    code = "LL202"
    about = "a halt stands, releases do not go on"
    remedy = "read why (GET /control/release), then PUT /control/release/go-on or /control/release/back"


class UnderWayError(ReleaseError):
    """One release at a time."""

    code = "LL203"
    about = "another release is under way"
    remedy = "wait for its end, or send it back; then start this one"


class NoReleaseError(ReleaseError):
    """Nothing is there that the order could apply to."""

    code = "LL204"
    about = "there is no release, halt or permit to which this order applies"
    remedy = "read GET /control/release; it may have ended, or the order was given to another fleet"


class OvertakenError(ReleaseError):
    """Somebody else's order came first."""

    code = "LL205"
    about = "an order was overtaken by another one and did nothing"
    remedy = "read GET /control/release, then give the order again if it is still wanted"


class RecordError(ReleaseError):
    """A record that this program cannot read."""

    code = "LL206"
    about = "a record of the release in the agreement service cannot be read"
    remedy = "look who writes below the fleet's prefix; a newer program may have: finish its release with it"
    status = 500


class SameNameError(ReleaseError):
    """A later process reports under this process's name."""

    code = "LL207"
    about = "a later process reports under the same name, this one stands aside"
    remedy = "nothing in an upgrade or after a stop; else give each proxy of the fleet a name of its own"


class ReleaseSettingsError(ReleaseError):
    """Settings of the release that contradict each other."""

    code = "LL208"
    about = "the fleet file's settings for drains and releases contradict each other"
    remedy = "mend the keys that the text names; the units and ranges stand in docs/operators/release.md"


class NoWordError(ReleaseError):
    """Without the agreement service nothing is known of the others."""

    code = "LL209"
    about = "the agreement service is not heard, nothing can be asked of the fleet"
    remedy = "mend the service first; in need PUT /control/out-of-service?now=1 drains this one proxy unasked"
    status = 503


class UnknownNameError(ReleaseError):
    """No such proxy or server."""

    code = "LL210"
    about = "no proxy or server of that name is known to the fleet"
    remedy = "see the names in GET /control/release; a proxy is known once it has reported"
    status = 404


class AskError(ReleaseError):
    """An order that says too little, or nonsense."""

    code = "LL211"
    about = "an order's query cannot be understood"
    remedy = "see the call's query in docs/operators/release.md"
    status = 400
