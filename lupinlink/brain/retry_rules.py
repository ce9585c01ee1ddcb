"""Rules for retries and refusals that rule out a second effect; they do not choose a server."""

import math

from lupinlink.interface import Attempt, DedupScope, Effect, Endpoint, Request, RequestClass


def may_retry_at(attempt: Attempt, cls: RequestClass, endpoint: Endpoint, now: float) -> bool:
    """Whether another attempt at ``endpoint`` after this one cannot cause a second effect."""
    earlier, deduplicated = (
        attempt.server.endpoint,
        cls.effect == Effect.KEYED and now < attempt.sent_at + cls.dedup_ms,
    )
    same_memory = endpoint.zone == earlier.zone and (
        cls.scope == DedupScope.ZONE or endpoint.cell == earlier.cell
    )
    return (
        cls.effect == Effect.SAFE
        or not attempt.may_have_run()
        or (deduplicated and (same_memory or cls.scope == DedupScope.ALL))
    )


def bound_to_cell(request: Request) -> Endpoint | None:
    """The endpoint in whose zone and cell a further attempt has to stay; None if there is no such bound."""
    if request.cls.effect != Effect.KEYED or request.cls.scope != DedupScope.CELL:
        return None
    return next((attempt.server.endpoint for attempt in request.attempts if attempt.may_have_run()), None)


def may_retry_anywhere(attempt: Attempt, cls: RequestClass, now: float) -> bool:
    """Whether there is any endpoint where another attempt after this one cannot cause a second effect."""
    return may_retry_at(attempt, cls, attempt.server.endpoint, now)


def arrive_by(request: Request) -> float:
    """Until when a further attempt has to arrive: while servers still drop it as a duplicate, if any may."""
    if request.cls.effect != Effect.KEYED:
        return math.inf
    ran = (attempt.sent_at for attempt in request.attempts if attempt.may_have_run())
    return min((sent_at + request.cls.dedup_ms for sent_at in ran), default=math.inf)


def may_refuse(request: Request) -> bool:
    """Whether a request may be refused: a refusal promises the client that a retry is harmless."""
    cls, ran = request.cls, any(attempt.may_have_run() for attempt in request.attempts)
    return (
        not ran or cls.effect == Effect.SAFE or (cls.effect == Effect.KEYED and cls.scope == DedupScope.ALL)
    )
