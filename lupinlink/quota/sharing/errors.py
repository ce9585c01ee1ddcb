"""What can go wrong with sharing quotas; LL320 and on."""

from __future__ import annotations

from lupinlink.errors import LupinError


class SharingError(LupinError):
    """Base of this package's errors."""

    code = "LL320"
    about = "quotas cannot be shared as they should"
    remedy = "see docs/operators/quota.md; no quota is exceeded, requests may be refused early"


class OnFloorError(SharingError):
    """No answer of the allocator came in time."""

    code = "LL321"
    about = "this gateway's slices have run out, it lets in no more than its floor"
    remedy = "look whether the agreement service is reached and a gateway leads (GET /control/quota)"


class PlaceTakenError(SharingError):
    """Their floors are one and the same, and would be used twice without the service."""

    code = "LL322"
    about = "two gateways claim one place, or a place that there is not"
    remedy = "give every gateway a Rank of its own, from 0, under the fleet file's 'gateways'"


class HeldUpError(SharingError):
    """A new policy is not in force alone yet."""

    code = "LL323"
    about = "a new policy waits for gateways that have not taken it; the lesser of both holds meanwhile"
    remedy = "bring the named gateways back; one gone for good: PUT /control/quota/forget?name=NAME"


class WithdrawnError(SharingError):
    """Some gateway could not use it, so none does."""

    code = "LL324"
    about = "a new policy was withdrawn because a gateway cannot use it"
    remedy = "read why in the state call, mend the policy or that gateway's program, and put it again"


class GarbledError(SharingError):
    """Somebody else wrote there, or a newer program."""

    code = "LL325"
    about = "a record of quotas in the agreement service cannot be read"
    remedy = "look who writes below 'quota/' beside this program; the record is left out until it is replaced"


class PolicyTooLargeError(SharingError):
    """It would not fit beside another into one record."""

    code = "LL326"
    about = "a policy's text is too large to be shared"
    remedy = "keep it under 200 KiB"
