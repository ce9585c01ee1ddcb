"""Which versions of the policy this process holds, as the record of the versions says."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import msgspec
from twisted.python.failure import Failure

from lupinlink.clock import Clock
from lupinlink.coordination.contract import ABSENT, Agreement, Put, Record, View
from lupinlink.errors import LupinError
from lupinlink.quota.model import Limit, Policy
from lupinlink.quota.sharing.errors import GarbledError, WithdrawnError
from lupinlink.quota.sharing.gateway import Gateway
from lupinlink.quota.sharing.messages import POLICY, Policies, Text, read_policies, write_policies
from lupinlink.quota.sharing.purse import SlicePurse
from lupinlink.quota.sharing.terms import Terms

log = logging.getLogger(__name__)
HEAL_MS = 2000.0  # within which one of those that know a newer record writes it again after a restore

Build = Callable[[str], Policy]
Holding = Callable[[Policy], frozenset[str]]


@dataclass(frozen=True, slots=True)
class InForce:
    """One version as this process holds it."""

    policy: Policy  # with the figures that hold in its season
    purse: SlicePurse


class KnownPolicies:
    """The record as this process knows it, and what it makes of it."""

    def __init__(
        self,
        agreement: Agreement,
        clock: Clock,
        gateway: Gateway,
        terms: Terms,
        text: str,
        build: Build,
        holding: Holding,
        changed: Callable[[Sequence[InForce]], None],
        told: Callable[[LupinError], None],
        draw: Callable[[], float],
    ) -> None:
        """``text``: of this process's own file, in force until the record is known.

        ``build``: raises LupinError for a text that cannot be used. ``holding``: the schedules of today.
        ``changed``: told of what is in force, the settled version first. ``told``: what a person should know.
        Raises what ``build`` raises, for its own text.
        """
        self._agreement, self._clock, self._gateway, self._terms = agreement, clock, gateway, terms
        self._build, self._holding, self._changed, self._told = build, holding, changed, told
        self._draw = draw
        self._built: dict[str, Policy] = {}
        own = build(text)
        self.now = Policies(0, Text(own.version, text, sorted(holding(own))))
        self.revision = ABSENT  # of the record
        self._healing = False
        self.since_ms = clock.now()  # of the last change
        self._adopt(self.now)

    def view(self, view: View) -> None:
        """The record as the service has it."""
        record = view.records.get(POLICY)
        self.revision = record.revision if record is not None else ABSENT
        if record is not None:
            self._read(record)
        elif self.now.epoch:
            self._heal_soon()

    def _read(self, record: Record) -> None:
        try:
            found = read_policies(record.value)
        except msgspec.DecodeError as exc:
            self._told(GarbledError(f"{POLICY}: {exc}"))
            return
        if found.epoch < self.now.epoch:
            # Danger: the service was restored; to go back one by one would split the fleet.
            self._heal_soon()
        elif found != self.now:
            self._adopt(found)

    def _heal_soon(self) -> None:
        if not self._healing:
            self._healing = True
            self._clock.after(self._draw() * HEAL_MS, self._heal)

    def _heal(self) -> None:
        self._healing = False
        revision = self.revision

        def look(view: View) -> None:
            record = view.records.get(POLICY)
            stands = record.revision if record is not None else ABSENT
            if stands == revision and (record is None or _epoch(record) < self.now.epoch):
                put = Put(POLICY, write_policies(self.now), revision)
                self._agreement.commit([put]).addErrback(_unheard)

        self._agreement.read(POLICY).addCallback(look).addErrback(_unheard)

    def _adopt(self, found: Policies) -> None:
        now = self._clock.now()
        if found.refused and found.refused != self.now.refused:
            self._told(WithdrawnError(found.refused))
        self.now, self.since_ms = found, now
        gateway, gateway_has = self._gateway, self._gateway.versions
        gateway.epoch = max(gateway.epoch, found.epoch)
        wanted = [found.settled] + ([found.coming] if found.coming is not None else [])
        gateway.cannot = {}
        held = False  # whether the settled one is
        for text in wanted:
            if text.name not in gateway_has and (policy := self._policy(text)) is not None:
                trial = text is found.coming and held
                purse = SlicePurse(policy.limits, self._terms, gateway.place, now, trial)
                gateway.add(text.name, purse, now)
            held |= text.name in gateway_has
            if text is found.settled and text.name in gateway_has:
                gateway_has[text.name].purse.trial = False
        # Danger: a gateway that cannot use what is settled would else be without any.
        if found.settled.name in gateway_has:
            for name in set(gateway_has) - {text.name for text in wanted}:
                gateway.drop(name)
                self._built.pop(name, None)
        order = [text.name for text in wanted if text.name in gateway_has]
        order += [name for name in gateway_has if name not in order]
        self._changed([InForce(self._built[name], gateway_has[name].purse) for name in order])

    def _policy(self, text: Text) -> Policy | None:
        try:
            policy = self._build(text.text)
        except LupinError as error:
            self._gateway.cannot[text.name] = str(error)
            self._told(error)
            return None
        policy = replace(policy, limits=policy.limits_during(frozenset(text.holding)))
        self._built[text.name] = policy
        return policy

    def holding(self) -> list[str]:
        """The schedules that hold today, by the settled version and this process's calendar."""
        policy = self._built.get(self.now.settled.name)
        return sorted(self._holding(policy)) if policy is not None else self.now.settled.holding

    def limits(self, name: str) -> tuple[Limit, ...]:
        """The limits of a version that this process has built."""
        return self._built[name].limits if name in self._built else ()


def _epoch(record: Record) -> int:
    try:
        return read_policies(record.value).epoch
    except msgspec.DecodeError:
        return 0


def _unheard(failure: Failure) -> None:
    # Another process heals it, or the next view calls for it again.
    failure.trap(LupinError)  # type: ignore[no-untyped-call]
    log.info("the policies' record was not healed", extra={"kv": {"why": str(failure.value)}})
