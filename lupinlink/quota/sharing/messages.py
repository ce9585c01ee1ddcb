"""What gateways and the allocator write for each other, as msgspec writes it. Decides nothing.

A gateway's record is replaced by each ask, an allocator's answer by each next one: neither is a queue, and
whoever reads a newer one needs none before it. A quota is named by its version's name, the index of its limit
there, and the value of ``by``.
"""

from __future__ import annotations

import hashlib

import msgspec
from msgspec import Struct

from lupinlink.quota.model import Charge

ASKS = "quota/ask/"
DEALT = "quota/dealt/"
POLICY = "quota/policy"
LEAD = "quota/lead"
MOST_WANTS = 64  # quotas and values that one ask tells of, those with most requests first
MOST_TEXT = 200 * 1024  # bytes of a policy's text: two must fit into one record


class Want(Struct, frozen=True, array_like=True):
    """What one gateway wants of one quota."""

    limit: int
    value: str
    per_s: float  # requests that asked for it, let in or not
    level: float = 0.0  # whole tokens that it holds
    back: float = 0.0  # tokens that it gave up unspent when its share was lowered; counted from its start
    keeps: float = -1.0  # of its floor it uses only so much, as a share of the quota; under 0: all of it

    @property
    def charge(self) -> Charge:
        return Charge(self.limit, self.value)


class Ask(Struct, frozen=True):
    """A gateway's record."""

    name: str
    born: str  # of this process alone
    place: int
    number: int  # rises with each ask of this process
    fence: int = 0  # the highest that it has met
    seen: int = 0  # the last answer that it obeys
    age_ms: float = 0.0  # how long before this ask it saw it
    leaving: bool = False  # it ends soon, and uses no floor any more
    wants: dict[str, list[Want]] = {}  # by version
    epoch: int = 0  # the highest of the policies' record that it has met
    holds: list[str] = []  # versions that it enforces
    cannot: dict[str, str] = {}  # versions that it cannot use, and why


class Part(Struct, frozen=True, array_like=True):
    """A slice of one quota."""

    limit: int
    value: str
    rate: float  # share of the quota's rate, beside the floor
    depth: float  # share of its burst, beside the floor
    gift: float = 0.0  # tokens given at once, if the gift is not known yet

    @property
    def charge(self) -> Charge:
        return Charge(self.limit, self.value)


class Dealt(Struct, frozen=True):
    """The allocator's answer to one gateway; in place of all before."""

    born: str  # whom it is for
    fence: int
    lead: str  # of this allocator alone
    number: int  # rises with each answer of this allocator
    answers: int  # the ask from before which the slices' life counts
    gift: int = 0  # the answer in which the gifts here were made first
    hurry: bool = False  # somebody waits for what was taken away here: ask again at once
    parts: dict[str, list[Part]] = {}  # by version
    short: dict[str, list[tuple[int, str]]] = {}  # quotas that others need more of: leave them your floor
    promised: dict[str, list[tuple[int, str]]] = {}  # left to others under this name by a process before


class Text(Struct, frozen=True):
    """One version of the policy: a text, and the schedules that hold."""

    version: str
    text: str
    holding: list[str] = []

    @property
    def name(self) -> str:
        """What this version is called in all messages: another text or another season is another version."""
        digest = hashlib.sha256(self.text.encode()).hexdigest()[:6]
        return "@".join([f"{self.version}-{digest}", *self.holding])


class Policies(Struct, frozen=True):
    """The record of the versions in force."""

    epoch: int  # rises with each change, also over a restore
    settled: Text
    coming: Text | None = None
    refused: str = ""  # why the last one that came was withdrawn


_ASK: msgspec.msgpack.Decoder[Ask] = msgspec.msgpack.Decoder(Ask)
_DEALT: msgspec.msgpack.Decoder[Dealt] = msgspec.msgpack.Decoder(Dealt)
_POLICIES: msgspec.json.Decoder[Policies] = msgspec.json.Decoder(Policies)
_PACK = msgspec.msgpack.Encoder()


def pack(message: Ask | Dealt) -> bytes:
    """The value of its record."""
    return _PACK.encode(message)


def read_ask(value: bytes) -> Ask:
    """Raises msgspec.DecodeError (also when a field is of another type)."""
    return _ASK.decode(value)


def read_dealt(value: bytes) -> Dealt:
    """Raises msgspec.DecodeError."""
    return _DEALT.decode(value)


def read_policies(value: bytes) -> Policies:
    """Raises msgspec.DecodeError."""
    return _POLICIES.decode(value)


def write_policies(policies: Policies) -> bytes:
    """As JSON: an operator may read it with the service's own tools."""
    return msgspec.json.encode(policies)
