"""Finds the limits that apply to a request without testing each of them. Performs no I/O.

For each combination of class, tenant, zone and retry mark that occurs, the limits that can apply are
collected once, as packet classifiers separate the fields with few combinations from the others (Gupta and
McKeown, "Algorithms for Packet Classification", IEEE Network 15(2), 2001). The conditions on key and address
that are left are looked up in tables of prefixes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lupinlink.quota.model import Charge, Limit, QuotaRequest
from lupinlink.quota.request_values import AddressRanges, parse_address, value_getter

MAX_LINEAR_SEARCH = 4  # up to this many children are tested one by one; more are looked up in tables


@dataclass(slots=True, eq=False)
class LimitStep:
    """A limit that can apply to requests of one combination of names."""

    limit: int
    shadow: bool
    value: Callable[[QuotaRequest], str] | None
    nested: bool  # its values start with those of its ancestors
    prefixes: tuple[str, ...]
    ranges: AddressRanges | None
    charge: Charge  # used where there are no values
    unconditional: bool = field(init=False)  # matches every key and address
    children: ChildLimits | None = field(init=False)

    def __post_init__(self) -> None:
        self.unconditional = not self.prefixes and self.ranges is None

    def matches(self, request: QuotaRequest) -> bool:
        """Whether the key and the address of the request match."""
        if self.prefixes and not request.key.startswith(self.prefixes):
            return False
        return self.ranges is None or request.address in self.ranges


class ChildLimits:
    """The children of a limit that can apply; a request belongs to the first that matches."""

    def __init__(self, steps: Sequence[LimitStep], limits: Sequence[Limit]) -> None:
        """``steps``: in the order of the file, up to the first unconditional one."""
        self.steps = tuple(steps)
        self._fallback = steps[-1] if steps and steps[-1].unconditional else None
        self._linear = len(steps) <= MAX_LINEAR_SEARCH
        self._by_prefix: dict[str, list[int]] = {}
        self._by_range: dict[tuple[int, int, int], list[int]] = {}
        for i, step in enumerate(steps):
            for prefix in step.prefixes:
                self._by_prefix.setdefault(prefix, []).append(i)
            for network in limits[step.limit].match.networks if not step.prefixes else ():
                shift = network.max_prefixlen - network.prefixlen
                found = (network.version, shift, int(network.network_address) >> shift)
                self._by_range.setdefault(found, []).append(i)
        # Whether a table entry alone proves that a child matches.
        self._match_is_certain = [not step.prefixes or step.ranges is None for step in steps]
        self._lengths = sorted({len(prefix) for prefix in self._by_prefix})
        self._shifts = sorted({(version, shift) for version, shift, _ in self._by_range})

    def find_child(self, request: QuotaRequest) -> LimitStep | None:
        """The child that the request belongs to, or None."""
        if self._linear:
            for step in self.steps:
                if step.unconditional or step.matches(request):
                    return step
            return None
        candidates: list[int] = []
        key = request.key
        for length in self._lengths:
            if length > len(key):
                break
            candidates += self._by_prefix.get(key[:length], ())
        if self._shifts:
            version, number = parse_address(request.address)
            for family, shift in self._shifts:
                if family == version:
                    candidates += self._by_range.get((version, shift, number >> shift), ())
        if len(candidates) > 1:
            candidates.sort()
        for i in candidates:
            if self._match_is_certain[i] or self.steps[i].matches(request):
                return self.steps[i]
        return self._fallback


class LimitLookup:
    """Finds the roots and their children for one combination of names."""

    def __init__(self, limits: Sequence[Limit]) -> None:
        self._limits = limits
        self._children_of: dict[str, list[int]] = {}
        for i, limit in enumerate(limits):
            self._children_of.setdefault(limit.parent, []).append(i)

    def find(self, request: QuotaRequest) -> tuple[LimitStep, ...]:
        """The roots that can apply to requests with the class, tenant, zone and retry mark of this one."""
        return tuple(self._steps("", request, nested=False, first=False))

    def _steps(self, path: str, request: QuotaRequest, nested: bool, first: bool) -> list[LimitStep]:
        found = []
        for i in self._children_of.get(path, ()):
            limit, match = self._limits[i], self._limits[i].match
            if (
                (match.classes and request.class_name not in match.classes)
                or (match.tenants and request.tenant not in match.tenants)
                or (match.zones and request.zone not in match.zones)
                or (match.second_try is not None and request.second_try != match.second_try)
            ):
                continue
            ranges = AddressRanges(match.networks) if match.networks else None
            step = LimitStep(
                i, limit.shadow, value_getter(limit), nested, match.key_prefixes, ranges, Charge(i)
            )
            inner = self._steps(limit.path, request, nested or bool(limit.by), first=True)
            step.children = ChildLimits(inner, self._limits) if inner else None
            found.append(step)
            if first and step.unconditional:
                break  # it takes all remaining requests
        return found
