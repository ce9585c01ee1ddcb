"""The operators' page of errors against the types: ``python -m tests.test_errors`` writes it anew."""

from __future__ import annotations

import pkgutil
import re
from collections.abc import Iterator
from importlib import import_module
from itertools import groupby

import lupinlink
from lupinlink.errors import LupinError, error_types
from tests.proxy_process import ROOT

PAGE = ROOT / "docs" / "operators" / "errors.md"
HEAD = """# Errors by code

Where one of these errors is told, on a terminal or in a log, its code stands first, then what happened this
time, then what can be done. A code never changes its meaning; what has none is told in words alone. This
page is written from the types under `lupinlink.errors.LupinError` (`python -m tests.test_errors`), and a test
keeps the two equal.
"""
PARTS = {
    "LL0": "All",
    "LL1": "What processes agree on",
    "LL2": "Drains and releases",
    "LL3": "Quotas",
    "LL4": "Listeners that migrate",
    "LL5": "The fleet's file",
    "LL6": "One proxy, its adapter and the laboratory",
}


def own() -> list[type[LupinError]]:
    """Every type of the program, by code."""
    for module in pkgutil.walk_packages(lupinlink.__path__, "lupinlink."):
        if not module.name.endswith("__main__"):
            import_module(module.name)
    return [kind for kind in error_types() if kind.__module__.startswith("lupinlink.")]


def lines(found: list[type[LupinError]]) -> Iterator[str]:
    yield HEAD
    for part, group in groupby(found, lambda kind: kind.code[:3]):
        yield f"## {PARTS[part]}\n\n| code | what happened | what to do |\n| --- | --- | --- |"
        yield "\n".join(f"| {kind.code} | {kind.about} | {kind.remedy} |" for kind in group) + "\n"


def test_each_type_has_a_code_of_its_own_and_says_in_a_line_what_happened_and_what_to_do() -> None:
    found = own()
    codes = [kind.code for kind in found]
    assert sorted(set(codes)) == codes and len(codes) > 10
    for kind in found:
        assert re.fullmatch(r"LL\d{3}", kind.code) and {"code", "about", "remedy"} <= vars(kind).keys(), kind
        for text in (kind.about, kind.remedy):
            assert len(text) > 8 and text == " ".join(text.split()) and not re.search(r"\||\.$", text), kind


def test_the_operators_page_says_what_the_types_say() -> None:
    assert PAGE.read_text() == "\n".join(lines(own())), "python -m tests.test_errors writes it anew"


def test_an_error_is_told_in_one_line_with_its_code_and_remedy() -> None:
    for kind in own():
        if kind.__init__ is LupinError.__init__:
            assert kind("this\n  time").line() == f"{kind.code} this time; {kind.remedy}"


if __name__ == "__main__":
    PAGE.write_text("\n".join(lines(own())))
