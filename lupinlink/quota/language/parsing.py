"""Parses a policy into a lark tree and turns syntax errors into one-line messages."""

from __future__ import annotations

from contextlib import suppress
from functools import cache
from importlib.resources import files

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedEOF, UnexpectedInput, UnexpectedToken
from lark.lexer import PatternStr

from lupinlink.quota.errors import PolicySyntaxError
from lupinlink.quota.model import Place

Node = Tree[Token]
DESCRIPTIONS = {  # of terminals that are not keywords
    "NAME": "a name",
    "STRING": 'a text in "quotes"',
    "NUMBER": "a number",
    "UNIT": "/s, /min or /h",
    "BITS": "/BITS",
    "DAY": "a day as 12-24",
    "DATE": "a date as 2026-12-24",
    "NETWORK": "an address range",
    "IP": "an address",
    "PATH": "a quota's path",
    "PERIOD": "weeks or days",
    "FEAST": "christmas or easter",
    "$END": "the end of the file",
}
MAX_SHOWN = 20  # characters of the unexpected text in a message


@cache
def _parser() -> Lark:
    grammar = files(__package__).joinpath("policy.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


@cache
def _name(terminal: str) -> str:
    pattern = next((t.pattern for t in _parser().terminals if t.name == terminal), None)
    if terminal in DESCRIPTIONS or not isinstance(pattern, PatternStr):
        return DESCRIPTIONS.get(terminal, terminal.lower())
    return f"'{pattern.value}'"


def parse(text: str) -> Node:
    """Parse a text by ``policy.lark``. Raises PolicySyntaxError at the first error."""
    try:
        return _parser().parse(text)
    except UnexpectedInput as exc:
        raise _syntax_error(text, exc) from exc


def _syntax_error(text: str, exc: UnexpectedInput) -> PolicySyntaxError:
    at_end = isinstance(exc, UnexpectedEOF) or (isinstance(exc, UnexpectedToken) and exc.token.type == "$END")
    if at_end:
        lines = text.split("\n")
        place, found = Place(len(lines), len(lines[-1]) + 1), "unexpected end of the file"
    else:
        place = Place(exc.line, exc.column)
        rest = text.split("\n")[exc.line - 1][exc.column - 1 :]
        found = f"unexpected {(rest.split() or [rest])[0][:MAX_SHOWN]!r}"
    expected = ", ".join(sorted(_name(terminal) for terminal in _accepted(text)))
    return PolicySyntaxError(f"{found}; expected one of: {expected}", place)


def _accepted(text: str) -> set[str]:
    """The terminals accepted at the first error; lark's own list has some that are not accepted there."""
    parsing = _parser().parse_interactive(text)
    with suppress(UnexpectedInput):
        parsing.exhaust_lexer()
    return set(parsing.accepts())  # type: ignore[no-untyped-call]


def place_of(node: Node | Token) -> Place:
    """The start position of a node or token."""
    if isinstance(node, Token):
        return Place(node.line or 0, node.column or 0)
    return Place(node.meta.line, node.meta.column)
