"""The operators' page of errors matches the error types; ``python -m tests.test_errors`` generates it."""

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

Each of these errors is printed, on a terminal or in a log, as its code, then what happened this time, then
what can be done. A code never changes its meaning; an error without a code has a message only. This page is
generated from the types under `lupinlink.errors.LupinError` (`python -m tests.test_errors`), and a test
checks that it is up to date.
"""
SECTIONS = {
    "LL0": "All",
    "LL1": "Agreement between processes",
    "LL2": "Drains and releases",
    "LL3": "Quotas",
    "LL4": "Migration of listeners",
    "LL5": "The fleet file",
    "LL6": "One proxy, its adapter and the laboratory",
}


def all_error_types() -> list[type[LupinError]]:
    """All error types of the program, sorted by code."""
    for module in pkgutil.walk_packages(lupinlink.__path__, "lupinlink."):
        if not module.name.endswith("__main__"):
            import_module(module.name)
    return [kind for kind in error_types() if kind.__module__.startswith("lupinlink.")]


def page_lines(types: list[type[LupinError]]) -> Iterator[str]:
    yield HEAD
    for section, group in groupby(types, lambda kind: kind.code[:3]):
        yield f"## {SECTIONS[section]}\n\n| code | what happened | what to do |\n| --- | --- | --- |"
        yield "\n".join(f"| {kind.code} | {kind.about} | {kind.remedy} |" for kind in group) + "\n"


def test_each_type_has_a_unique_code_and_one_line_each_for_about_and_remedy() -> None:
    types = all_error_types()
    codes = [kind.code for kind in types]
    assert sorted(set(codes)) == codes and len(codes) > 10
    for kind in types:
        assert re.fullmatch(r"LL\d{3}", kind.code) and {"code", "about", "remedy"} <= vars(kind).keys(), kind
        for text in (kind.about, kind.remedy):
            assert len(text) > 8 and text == " ".join(text.split()) and not re.search(r"\||\.$", text), kind


def test_the_operators_page_is_up_to_date() -> None:
    assert PAGE.read_text() == "\n".join(
        page_lines(all_error_types())
    ), "generate it with python -m tests.test_errors"


def test_an_error_is_formatted_as_one_line_with_its_code_and_remedy() -> None:
    for kind in all_error_types():
        if kind.__init__ is LupinError.__init__:
            assert kind("this\n  time").line() == f"{kind.code} this time; {kind.remedy}"


if __name__ == "__main__":
    PAGE.write_text("\n".join(page_lines(all_error_types())))
