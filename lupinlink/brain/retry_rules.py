"""What may be tried again or turned away without a second effect; no decision on which server."""

from lupinlink.interface import Attempt, DedupScope, Effect, Endpoint, Request, RequestClass


def may_follow(a: Attempt, cls: RequestClass, row: Endpoint, now: float) -> bool:
    """Whether an attempt at that endpoint after this one is no second effect."""
    at, known = a.server.endpoint, cls.effect == Effect.KEYED and now < a.sent_at + cls.dedup_ms
    near = row.zone == at.zone and (cls.scope == DedupScope.ZONE or row.cell == at.cell)
    return (
        cls.effect == Effect.SAFE or not a.may_have_run() or (known and (near or cls.scope == DedupScope.ALL))
    )


def bound_to_cell(request: Request) -> Endpoint | None:
    """Whose zone and cell a further attempt has to stay in; None: others may take it too, or none may."""
    if request.cls.effect != Effect.KEYED or request.cls.scope != DedupScope.CELL:
        return None
    return next((a.server.endpoint for a in request.attempts if a.may_have_run()), None)


def may_follow_anywhere(a: Attempt, cls: RequestClass, now: float) -> bool:
    """Whether an attempt at any endpoint at all after this one is no second effect."""
    return may_follow(a, cls, a.server.endpoint, now)


def begin_by(request: Request) -> float:
    """Until when one more may arrive there: in time, and while repeats of what may have run are dropped."""
    ran = [a.sent_at for a in request.attempts if a.may_have_run() and request.cls.effect == Effect.KEYED]
    return min([request.arrival.deadline, *(t + request.cls.dedup_ms for t in ran)])


def may_refuse(request: Request) -> bool:
    """The guard for every refusal, which says that trying again is harmless."""
    cls, ran = request.cls, any(a.may_have_run() for a in request.attempts)
    return (
        not ran or cls.effect == Effect.SAFE or (cls.effect == Effect.KEYED and cls.scope == DedupScope.ALL)
    )
