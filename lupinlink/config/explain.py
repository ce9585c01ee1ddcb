"""Adds what is allowed to msgspec's validation errors, which name only key and fault. Performs no I/O."""

from __future__ import annotations

import re
from typing import Any

from msgspec import inspect

UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")
PLACE = re.compile(r"^(.*?)(?: - at `\$(.*)`)?$", re.DOTALL)


def explain(kind: Any, text: str) -> tuple[str, str, str]:
    """Split the text of a ValidationError for the type ``kind`` into key, what is wrong and what is allowed.

    The key is relative to the value, dotted as in the file; it is empty for the value itself.
    """
    found = PLACE.match(text)
    what, below = (found[1], found[2] or "") if found else (text, "")
    keys = [key for key in below.lstrip(".").split(".") if key]
    node = inspect.type_info(kind)
    for key in keys:
        node = _into(node, key)
    unknown = UNKNOWN.match(what)
    if unknown:
        return ".".join([*keys, unknown[1]]), "there is no such key", ", ".join(_keys(node))
    return ".".join(keys), what, allowed(node)


def _into(node: Any, key: str) -> Any:
    name, *items = key.split("[")
    node = _plain(node)
    if isinstance(node, inspect.StructType):
        node = next((field.type for field in node.fields if field.encode_name == name), node)
    for _ in items:
        node = getattr(_plain(node), "item_type", node)
    return node


def _plain(node: Any) -> Any:
    """The type without ``| None``, a value that TOML does not have."""
    if isinstance(node, inspect.UnionType):
        return next(one for one in node.types if not isinstance(one, inspect.NoneType))
    return node


def _keys(node: Any) -> list[str]:
    node = _plain(node)
    return [field.encode_name for field in node.fields] if isinstance(node, inspect.StructType) else []


def allowed(node: Any) -> str:
    """Describe the values that a type allows."""
    node = _plain(node)
    match node:
        case inspect.BoolType():
            return "true or false"
        case inspect.LiteralType():
            return "one of " + ", ".join(sorted(map(repr, node.values)))
        case inspect.IntType() | inspect.FloatType():
            return ("a whole number" if isinstance(node, inspect.IntType) else "a number") + _range(node)
        case inspect.StrType():
            return "a text" + (f" like {node.pattern}" if node.pattern else "") + _length(node)
        case inspect.ListType() | inspect.VarTupleType() | inspect.SetType():
            return f"a list, each {allowed(node.item_type)}"
        case inspect.StructType():
            return "a table of " + ", ".join(_keys(node))
    return "see deploy/fleet.toml"


def _range(node: Any) -> str:
    ends = [
        f"{word} {end:g}"
        for word, end in (("from", node.ge), ("over", node.gt), ("to", node.le), ("under", node.lt))
        if end is not None
    ]
    return "".join(" " + end for end in ends)  # fmt: skip


def _length(node: Any) -> str:
    least, most = node.min_length, node.max_length
    if least is None and most is None:
        return ""
    return (
        f" of {least or 0} to {most} characters" if most is not None else f" of {least} characters at least"
    )
