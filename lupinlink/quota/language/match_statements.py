"""Reads the ``match`` and ``by`` statements of a quota."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from ipaddress import ip_network

from lark import Token

from lupinlink.quota.errors import PolicyError, StatementError, UnboundedError
from lupinlink.quota.language.parsing import Node, place_of
from lupinlink.quota.model import Match, Network, Place

MAX_VALUES = 100_000  # buckets of one quota; each takes about 300 bytes with its table entry
NAMED_VALUES = 1000  # default for classes, tenants and zones, whose number the settings bound
BITS, BITS6 = 32, 64  # default prefix lengths; an IPv6 client has a /64 network to itself


@dataclass(frozen=True, slots=True)
class ByStatement:
    """The ``by`` statement of a quota."""

    by: str = ""
    bits: int = 0
    bits6: int = 0
    most: int = 1


def text_of(token: Token) -> str:
    """The text of a name or of a quoted string."""
    text = str(token)
    if token.type != "STRING":
        return text
    return text[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def integer(token: Token, least: int, most: int, what: str, findings: list[PolicyError]) -> int:
    """The value of a token that must be an integer in a range; otherwise adds a finding."""
    number = float(str(token))
    if number != int(number) or not least <= number <= most:
        text = f"{what} must be a whole number from {least} to {most}, not {token}"
        findings.append(StatementError(text, place_of(token)))
        return least
    return int(number)


def read_match(nodes: Iterable[Node], findings: list[PolicyError]) -> Match:
    """Combine the ``match`` statements of a quota, at most one per field."""
    names: dict[str, tuple[str, ...]] = {}
    networks: list[Network] = []
    second_try: bool | None = None
    seen: set[str] = set()
    places: dict[tuple[str, str], Place] = {}
    for node in nodes:
        field, values = node.children[0], node.children[1:]
        assert isinstance(field, Token)
        kind = "try" if field.type in ("SECOND_TRY", "FIRST_TRY") else str(field)
        if kind in seen:
            text = f"'match {field}' is stated twice; list all values in one statement, with commas"
            findings.append(StatementError(text, place_of(node)))
        seen.add(kind)
        tokens = [child.children[0] for child in values if not isinstance(child, Token)]
        if kind == "try":
            second_try = field.type == "SECOND_TRY"
        elif kind == "address":
            networks += _networks(tokens, findings)
        else:
            names[kind] = tuple(text_of(token) for token in tokens if isinstance(token, Token))
            places |= {(kind, name): place_of(t) for name, t in zip(names[kind], tokens, strict=True)}
            if not all(names[kind]) and kind in ("class", "key"):
                findings.append(StatementError(f"an empty {kind} matches nothing", place_of(node)))
    return Match(
        names.get("class", ()),
        names.get("tenant", ()),
        names.get("zone", ()),
        names.get("key", ()),
        tuple(networks),
        second_try,
        places,
    )


def _networks(tokens: Iterable[Token | Node], findings: list[PolicyError]) -> list[Network]:
    found = []
    for token in tokens:
        try:
            found.append(ip_network(str(token)))
        except ValueError as exc:
            findings.append(StatementError(f"invalid address range: {exc}", place_of(token)))
    return found


def read_by(nodes: list[Node], parent: ByStatement, findings: list[PolicyError]) -> ByStatement:
    """Read the ``by`` statement of a quota; ``parent``: that of the parent quota, with which it nests."""
    if not nodes:
        return ByStatement(most=parent.most)
    for repeated in nodes[1:]:
        findings.append(StatementError("'by' is stated twice; nest a quota instead", place_of(repeated)))
    node = nodes[0]
    field = str(node.children[0])
    tokens = [child for child in node.children[1:] if isinstance(child, Token)]
    mosts = [child for child in node.children if not isinstance(child, Token)]
    bits, bits6 = (BITS, BITS6) if field == "address" else (0, 0)
    if len(tokens) > 2:
        findings.append(StatementError("give /BITS at most twice: for IPv4, then IPv6", place_of(tokens[2])))
    for i, token in enumerate(tokens[:2]):
        given = int(str(token)[1:])
        if not 1 <= given <= (32, 128)[i]:
            findings.append(StatementError(f"{token} must be /1 to /{(32, 128)[i]}", place_of(token)))
        elif i == 0:
            bits = given
        else:
            bits6 = given
    if mosts:
        number = mosts[0].children[0]
        assert isinstance(number, Token)
        most = integer(number, 1, MAX_VALUES, "'most'", findings)
    elif field in ("key", "address") or parent.most > 1:
        inside = " inside another 'by'" if parent.most > 1 else ""
        text = f"'by {field}'{inside} has no bound on its values"
        findings.append(UnboundedError(text, place_of(node)))
        most = 1
    else:
        most = NAMED_VALUES
    return ByStatement(field, bits, bits6, most)
