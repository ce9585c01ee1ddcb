"""What each gateway may be using at this moment, as far as the allocator can be sure. Pure.

This is the ledger behind the promise that all gateways together never let in more than a quota. It believes
nothing that a lost, late or repeated message could make false:

- An answer counts from its writing until its slices' time is over by this clock, slack included, or until a
  gateway says that it obeys a later one. Of several that count, the largest share is charged.
- The time of a slice began before the ask that it answers was read; of a promise it began after the answer
  that the ask says it saw was written. Each bound is the one that errs on the safe side.
- An ask that is not newer than the last one of its process says nothing: the service may have been restored.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from lupinlink.quota.model import Charge
from lupinlink.quota.sharing.messages import Ask
from lupinlink.quota.sharing.terms import Terms

Quota = tuple[str, Charge]  # a version's name and a quota in it
Key = tuple[str, str]  # a gateway: its name, and what tells this process from others of that name


@dataclass(frozen=True, slots=True)
class Slice:
    """Shares of one quota's rate and burst, 0 to 1, beside the floor."""

    rate: float = 0.0
    depth: float = 0.0


NONE = Slice()


@dataclass(slots=True)
class Given:
    """One answer that was written, or may have been."""

    number: int
    written_ms: float  # before it was written
    ends_ms: float  # when none of its slices can be spent any more
    slices: Mapping[Quota, Slice]


@dataclass(slots=True)
class Holder:
    """One gateway, as one process."""

    ask: Ask
    heard_ms: float  # when its newest ask was read
    answered: int = 0  # the newest ask that was answered
    given: list[Given] = field(default_factory=list)  # that may count, oldest first
    kept: dict[Quota, tuple[float, float]] = field(default_factory=dict)  # promised: at most, until
    gifts: dict[Quota, float] = field(default_factory=dict)  # tokens, with the answers to its newest ask
    gift: int = 0  # the answer in which they were given first
    backs: dict[Quota, float] = field(default_factory=dict)  # tokens, in all
    back: dict[Quota, float] = field(default_factory=dict)  # of them not yet given to anybody
    lapsed: bool = False  # since its last ask some answer counted no more by its time alone

    @property
    def key(self) -> Key:
        return self.ask.name, self.ask.born

    def charged(self, now: float) -> dict[Quota, Slice]:
        """The most that it may be using of each quota, beside its floor."""
        self.end(now)
        most: dict[Quota, Slice] = dict(self.given[0].slices) if self.given else {}
        for given in self.given[1:]:
            for quota, one in given.slices.items():
                held = most.get(quota, NONE)
                most[quota] = Slice(max(held.rate, one.rate), max(held.depth, one.depth))
        return most

    def end(self, now: float) -> None:
        """Count no more what cannot be spent any more."""
        live = [given for given in self.given if given.ends_ms > now]
        self.lapsed |= len(live) < len(self.given)
        self.given = live

    def last(self, quota: Quota) -> Slice:
        """What the newest answer gave."""
        return self.given[-1].slices.get(quota, NONE) if self.given else NONE

    def keeps(self, quota: Quota, until: float) -> float | None:
        """The share of its floor that it surely uses at most up to that time; None: it promised nothing."""
        kept = self.kept.get(quota)
        return kept[0] if kept is not None and kept[1] >= until else None


class Book:
    """All gateways."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self._holders: dict[Key, Holder] = {}
        self.fences: set[int] = set()  # under which this allocator has written

    def __iter__(self) -> Iterator[Holder]:
        return iter(self._holders.values())

    def __len__(self) -> int:
        return len(self._holders)

    def get(self, key: Key) -> Holder | None:
        return self._holders.get(key)

    def hear(self, ask: Ask, now: float) -> None:
        """Take an ask that was read. ``now``: the time after that."""
        holder = self._holders.get((ask.name, ask.born))
        if holder is None:
            holder = self._holders[ask.name, ask.born] = Holder(ask, now)
        elif ask.number <= holder.ask.number:
            return
        holder.ask, holder.heard_ms = ask, now
        holder.end(now)
        lapsed, holder.lapsed = holder.lapsed, False
        seen = next((given for given in holder.given if given.number == ask.seen), None)
        if seen is None or ask.fence not in self.fences:
            return
        holder.given = [given for given in holder.given if given.number >= seen.number]
        made_ms = seen.written_ms + ask.age_ms * (1.0 - self._terms.drift)  # no later than the ask was made
        for version, wants in ask.wants.items():
            for want in wants:
                quota = (version, want.charge)
                if want.keeps >= 0.0:
                    holder.kept[quota] = (want.keeps, made_ms + self._terms.promised_ms)
                # Danger: tokens come back only while the share in which they lay is still charged.
                if (more := want.back - holder.backs.get(quota, 0.0)) > 0.0:
                    holder.backs[quota] = want.back
                    if not lapsed:
                        holder.back[quota] = holder.back.get(quota, 0.0) + more

    def write(self, holder: Holder, number: int, now: float, slices: Mapping[Quota, Slice]) -> None:
        """An answer to its newest ask goes out after this."""
        holder.given.append(Given(number, now, holder.heard_ms + self._terms.over_ms, slices))
        holder.answered = holder.ask.number

    def forget(self, key: Key) -> None:
        """A gateway's record is gone; what it was given counts until its time is over."""
        holder = self._holders.get(key)
        if holder is not None:
            holder.ask = Ask(holder.ask.name, holder.ask.born, -1, holder.ask.number, leaving=True)

    def newest(self) -> dict[str, Holder]:
        """By name the process that was heard last."""
        found: dict[str, Holder] = {}
        for holder in self._holders.values():
            if holder.heard_ms >= found.setdefault(holder.ask.name, holder).heard_ms:
                found[holder.ask.name] = holder
        return found

    def sweep(self, now: float) -> list[Key]:
        """Drop what says nothing any more: who left, and who was replaced under its name and is silent."""
        newest, gone = self.newest(), []
        for key, holder in list(self._holders.items()):
            holder.end(now)
            old = holder.ask.leaving or holder is not newest[holder.ask.name]
            if old and not holder.given and holder.heard_ms + self._terms.over_ms < now:
                del self._holders[key]
                gone.append(key)
        return gone
