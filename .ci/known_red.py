"""Tests that are known to fail for a real fault: KNOWN-RED.txt, one line each: test, cause, issue.

Prints the lines, and with ``--options`` what pytest has to be told to pass over just these. A line is
``tests/test_x.py::Class::test_name, cause, issue NN``. Ends with 1 where there are more than three, or where
one names no test.
"""

from __future__ import annotations

import ast
import sys
from pathlib import Path

MOST, LIST = 3, "KNOWN-RED.txt"


def tests_of(path: Path) -> set[str]:
    """The tests that stand in a file, as ``Class::test`` or ``test``."""
    if not path.is_file():
        return set()
    tree, found = ast.parse(path.read_text()), set()
    for node in tree.body:
        inner = node.body if isinstance(node, ast.ClassDef) else [node]
        prefix = f"{node.name}::" if isinstance(node, ast.ClassDef) else ""
        for one in inner:
            if isinstance(one, ast.FunctionDef | ast.AsyncFunctionDef) and one.name.startswith("test"):
                found.add(prefix + one.name)
    return found


def read(root: Path) -> tuple[list[str], list[str]]:
    """The tests that the list names, and its faults, a line each."""
    path = root / LIST
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    faults = [f"{LIST} has {len(lines)} lines, {MOST} at most"] if len(lines) > MOST else []
    names = []
    for number, line in enumerate(lines, 1):
        name, cause, issue = [*(part.strip() for part in line.split(",")), "", ""][:3]
        file, _, test = name.partition("::")
        if not test or test not in tests_of(root / file):
            faults.append(f"{LIST}:{number}: {name!r} names no test")
        if not cause or not issue:
            faults.append(f"{LIST}:{number}: wanted are test, cause, issue")
        names.append(name)
    return names, faults


def main() -> int:
    """Look at the repository this file is in."""
    names, faults = read(Path(__file__).resolve().parent.parent)
    for fault in faults:
        print(fault, file=sys.stderr)
    if "--options" in sys.argv:
        print(" ".join(f"--deselect={name}" for name in names))
    else:
        for name in names:
            print(f"known red, passed over: {name}")
    return bool(faults)


if __name__ == "__main__":
    sys.exit(main())
