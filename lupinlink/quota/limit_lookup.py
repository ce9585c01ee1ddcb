"""Which limits a request comes to, without looking at each: what names decide is decided beforehand. Pure.

For each combination of class, tenant, zone and second try that comes along, the limits that it can come to
are put together once, as Bernstein's and others' packet classifiers split what repeats from what does not
(Gupta and McKeown, "Algorithms for Packet Classification", IEEE Network 15(2), 2001). What is left to look at
a request's key and address is found by tables of prefixes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lupinlink.quota.model import Charge, Limit, QuotaRequest
from lupinlink.quota.request_values import AddressRanges, parsed, value_of

MAX_LINEAR_SEARCH = 4  # so many parts are tried one after another


@dataclass(slots=True, eq=False)
class LimitStep:
    """One limit on the way of such requests."""

    limit: int
    shadow: bool
    value: Callable[[QuotaRequest], str] | None
    nested: bool  # its values begin with those of the limits round it
    prefixes: tuple[str, ...]
    ranges: AddressRanges | None
    charge: Charge  # of one without values
    free: bool = field(init=False)  # every key and address matches
    parts: ChildLimits | None = field(init=False)  # None: there are none

    def __post_init__(self) -> None:
        self.free = not self.prefixes and self.ranges is None

    def fits(self, asked: QuotaRequest) -> bool:
        """Whether key and address match."""
        if self.prefixes and not asked.key.startswith(self.prefixes):
            return False
        return self.ranges is None or asked.address in self.ranges


class ChildLimits:
    """The parts of a limit that such requests can come to; the first that fits has them."""

    def __init__(self, steps: Sequence[LimitStep], limits: Sequence[Limit]) -> None:
        """``steps``: in the order of the file, none behind the first free one."""
        self.steps = tuple(steps)
        self._last = steps[-1] if steps and steps[-1].free else None
        self._few = len(steps) <= MAX_LINEAR_SEARCH
        self._by_prefix: dict[str, list[int]] = {}
        self._by_range: dict[tuple[int, int, int], list[int]] = {}
        for i, step in enumerate(steps):
            for prefix in step.prefixes:
                self._by_prefix.setdefault(prefix, []).append(i)
            for network in limits[step.limit].match.networks if not step.prefixes else ():
                shift = network.max_prefixlen - network.prefixlen
                found = (network.version, shift, int(network.network_address) >> shift)
                self._by_range.setdefault(found, []).append(i)
        self._sure = [not step.prefixes or step.ranges is None for step in steps]  # found is fitting
        self._lengths = sorted({len(prefix) for prefix in self._by_prefix})
        self._shifts = sorted({(version, shift) for version, shift, _ in self._by_range})

    def pick(self, asked: QuotaRequest) -> LimitStep | None:
        """The part that has this request; None: it is of none."""
        if self._few:
            for step in self.steps:
                if step.free or step.fits(asked):
                    return step
            return None
        met: list[int] = []
        key = asked.key
        for length in self._lengths:
            if length > len(key):
                break
            met += self._by_prefix.get(key[:length], ())
        if self._shifts:
            version, number = parsed(asked.address)
            for of, shift in self._shifts:
                if of == version:
                    met += self._by_range.get((version, shift, number >> shift), ())
        if len(met) > 1:
            met.sort()
        for i in met:
            if self._sure[i] or self.steps[i].fits(asked):
                return self.steps[i]
        return self._last


class LimitLookup:
    """Finds the roots and parts for one combination of names."""

    def __init__(self, limits: Sequence[Limit]) -> None:
        self._limits = limits
        self._inside: dict[str, list[int]] = {}
        for i, limit in enumerate(limits):
            self._inside.setdefault(limit.parent, []).append(i)

    def find(self, asked: QuotaRequest) -> tuple[LimitStep, ...]:
        """The roots that requests named like this one can come to."""
        return tuple(self._steps("", asked, nested=False, first=False))

    def _steps(self, path: str, asked: QuotaRequest, nested: bool, first: bool) -> list[LimitStep]:
        found = []
        for i in self._inside.get(path, ()):
            limit, match = self._limits[i], self._limits[i].match
            if (
                (match.classes and asked.class_name not in match.classes)
                or (match.tenants and asked.tenant not in match.tenants)
                or (match.zones and asked.zone not in match.zones)
                or (match.second_try is not None and asked.second_try != match.second_try)
            ):
                continue
            ranges = AddressRanges(match.networks) if match.networks else None
            step = LimitStep(i, limit.shadow, value_of(limit), nested, match.key_prefixes, ranges, Charge(i))
            inner = self._steps(limit.path, asked, nested or bool(limit.by), first=True)
            step.parts = ChildLimits(inner, self._limits) if inner else None
            found.append(step)
            if first and step.free:
                break  # it takes all that is left
        return found
