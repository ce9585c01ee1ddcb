"""From a policy's text to the tree of the grammar by lark, and a syntax error in one clear line."""

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
WORDS = {  # what a person calls those that are no keyword
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
SHOWN = 20  # characters of what was met instead


@cache
def _parser() -> Lark:
    grammar = files(__package__).joinpath("policy.lark").read_text(encoding="utf-8")
    return Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=False)


@cache
def _name(terminal: str) -> str:
    pattern = next((t.pattern for t in _parser().terminals if t.name == terminal), None)
    if terminal in WORDS or not isinstance(pattern, PatternStr):
        return WORDS.get(terminal, terminal.lower())
    return f"'{pattern.value}'"


def parse(text: str) -> Node:
    """The tree of ``policy.lark``. Raises SyntaxFaultError with the first place that does not fit."""
    try:
        return _parser().parse(text)
    except UnexpectedInput as exc:
        raise _fault(text, exc) from exc


def _fault(text: str, exc: UnexpectedInput) -> PolicySyntaxError:
    at_end = isinstance(exc, UnexpectedEOF) or (isinstance(exc, UnexpectedToken) and exc.token.type == "$END")
    if at_end:
        lines = text.split("\n")
        place, met = Place(len(lines), len(lines[-1]) + 1), "the text ends here"
    else:
        place = Place(exc.line, exc.column)
        rest = text.split("\n")[exc.line - 1][exc.column - 1 :]
        met = f"{(rest.split() or [rest])[0][:SHOWN]!r} cannot stand here"
    words = ", ".join(sorted(_name(terminal) for terminal in _wanted(text)))
    return PolicySyntaxError(f"{met}; there may stand: {words}", place)


def _wanted(text: str) -> set[str]:
    """What may stand where the text first does not fit; the error itself names some that may not."""
    parsing = _parser().parse_interactive(text)
    with suppress(UnexpectedInput):
        parsing.exhaust_lexer()
    return set(parsing.accepts())  # type: ignore[no-untyped-call]


def place_of(node: Node | Token) -> Place:
    """Where a part of the tree begins."""
    if isinstance(node, Token):
        return Place(node.line or 0, node.column or 0)
    return Place(node.meta.line, node.meta.column)
