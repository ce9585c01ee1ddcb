"""What may be tried again or turned away without a second effect; no decision on which server."""

from lupinlink.interface import Attempt, Effect, Endpoint, Request, RequestClass, Scope


def may_follow(a: Attempt, cls: RequestClass, row: Endpoint, now: float) -> bool:
    """Whether an attempt at that endpoint after this one is no second effect."""
    free = cls.effect == Effect.SAFE or not a.may_have_run()
    known = cls.effect == Effect.KEYED and now < a.sent_at + cls.dedup_ms
    known = known and (cls.scope == Scope.ALL or row.zone == a.server.row.zone)
    return free or (known and (cls.scope != Scope.CELL or row.cell == a.server.row.cell))


def may_refuse(request: Request) -> bool:
    """The guard for every refusal, which says that trying again is harmless."""
    cls = request.cls
    free = cls.effect == Effect.SAFE or (cls.effect == Effect.KEYED and cls.scope == Scope.ALL)
    return free or not any(a.may_have_run() for a in request.attempts)
