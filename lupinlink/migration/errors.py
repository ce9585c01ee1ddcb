"""What can be wrong with an order to migrate a listener, or with the migration itself."""

from __future__ import annotations

from lupinlink.errors import LupinError


class MigrationError(LupinError):
    """Base of this package's errors."""

    code = "LL400"
    about = "a migration cannot be done as it was asked for"
    remedy = "see docs/operators/migration.md"


class UnknownListenerError(MigrationError):
    """Nobody named such a listener, or several migrate and none was named."""

    code = "LL401"
    about = "no such listener, or none was named where several could be meant"
    remedy = "give listener=NAME, one of those that GET /control/migration shows"


class SamePoolError(MigrationError):
    """From a pool to itself."""

    code = "LL402"
    about = "a listener cannot migrate to the pool that has it"
    remedy = "give another pool, or nothing: it is where it should be"


class UnderWayError(MigrationError):
    """A second migration of the same listener."""

    code = "LL403"
    about = "this listener migrates already"
    remedy = "wait until it has settled, or turn it back first"


class CircleError(MigrationError):
    """Migrations that wait for each other's place."""

    code = "LL404"
    about = "open migrations would lead back to the pool this one starts from"
    remedy = "settle or turn back the others first, then move one after the other"


class PoolBusyError(MigrationError):
    """A proxy has one client address, so a pool serves one listener."""

    code = "LL405"
    about = "the target pool serves another listener, or takes part in another migration"
    remedy = "give a pool that is free, or move its listener away first"


class NotNowError(MigrationError):
    """The order does not fit the state in which the migration is."""

    code = "LL406"
    about = "the migration is in a state in which this cannot be done"
    remedy = "GET /control/migration says what may be done next"


class EmptyPoolError(MigrationError):
    """No proxy of that pool has been heard of."""

    code = "LL407"
    about = "no proxy of the target pool is known"
    remedy = "look at the pool's name and whether its proxies run with this fleet file"


class OrderLostError(MigrationError):
    """An order could not be written down."""

    code = "LL408"
    about = "an operator's order did not reach the fleet's records"
    remedy = "look at the agreement service, then give the order again; nothing has moved by it"


class HaltedError(MigrationError):
    """The migration stopped by itself."""

    code = "LL409"
    about = "a migration has halted by itself"
    remedy = "GET /control/migration says why; then go-on or back"
