"""What a quota's ``match`` and ``by`` statements say."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from ipaddress import ip_network

from lark import Token

from lupinlink.quota.errors import PolicyError, StatementError, UnboundedError
from lupinlink.quota.language.parsing import Node, place_of
from lupinlink.quota.model import Match, Network, Place

MAX_VALUES = 100_000  # buckets of one quota; one with its entry is some 300 bytes
NAMED_VALUES = 1000  # buckets where the settings bound the values: classes, tenants, zones
BITS, BITS6 = 32, 64  # of an address: an IPv6 client has a network of 64 bits to itself


@dataclass(frozen=True, slots=True)
class Counted:
    """What a quota counts by."""

    by: str = ""
    bits: int = 0
    bits6: int = 0
    most: int = 1


def word(token: Token) -> str:
    """A name as it is written, or the text between quotes."""
    text = str(token)
    if token.type != "STRING":
        return text
    return text[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def whole(token: Token, least: int, most: int, what: str, findings: list[PolicyError]) -> int:
    """A number that must be whole and in a range."""
    number = float(str(token))
    if number != int(number) or not least <= number <= most:
        text = f"{what} must be a whole number from {least} to {most}, not {token}"
        findings.append(StatementError(text, place_of(token)))
        return least
    return int(number)


def matched(nodes: Iterable[Node], findings: list[PolicyError]) -> Match:
    """All ``match`` statements of a quota together; of each field one."""
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
            text = f"'match {field}' stands here a second time; give all values in one, with commas"
            findings.append(StatementError(text, place_of(node)))
        seen.add(kind)
        tokens = [child.children[0] for child in values if not isinstance(child, Token)]
        if kind == "try":
            second_try = field.type == "SECOND_TRY"
        elif kind == "address":
            networks += _networks(tokens, findings)
        else:
            names[kind] = tuple(word(token) for token in tokens if isinstance(token, Token))
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
            findings.append(StatementError(f"no address range: {exc}", place_of(token)))
    return found


def counted(nodes: list[Node], outer: Counted, findings: list[PolicyError]) -> Counted:
    """The ``by`` statement of a quota; ``outer``: that of the one round it, whose values count along."""
    if not nodes:
        return Counted(most=outer.most)
    for again in nodes[1:]:
        findings.append(StatementError("'by' stands here a second time; nest a quota", place_of(again)))
    node = nodes[0]
    field = str(node.children[0])
    tokens = [child for child in node.children[1:] if isinstance(child, Token)]
    mosts = [child for child in node.children if not isinstance(child, Token)]
    bits, bits6 = (BITS, BITS6) if field == "address" else (0, 0)
    if len(tokens) > 2:
        findings.append(StatementError("/BITS stand once for IPv4 and once for IPv6", place_of(tokens[2])))
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
        most = whole(number, 1, MAX_VALUES, "'most'", findings)
    elif field in ("key", "address") or outer.most > 1:
        inside = " inside another 'by'" if outer.most > 1 else ""
        text = f"'by {field}'{inside} has no bound on its values"
        findings.append(UnboundedError(text, place_of(node)))
        most = 1
    else:
        most = NAMED_VALUES
    return Counted(field, bits, bits6, most)
