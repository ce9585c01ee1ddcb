"""Checks the size of source files; prints one line for each fault and exits with 1 if there are any.

The files under policy in deploy/balancer.toml have to name the whole decision package, with at most 110
columns. No Python file may have more than 250 lines, except those listed in .ci/large-files with their
present number of lines, which may only shrink.
"""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

MAX_COLUMNS, MAX_LINES = 110, 250
LIST = ".ci/large-files"


def policy_faults(files: dict[str, str], package: set[str]) -> list[str]:
    """Check the files named under policy, path to text; ``package``: the files of the decision package."""
    faults = [
        f"{path} is not named under policy in deploy/balancer.toml" for path in sorted(package - files.keys())
    ]
    for path, text in files.items():
        for number, line in enumerate(text.splitlines(), 1):
            if len(line) > MAX_COLUMNS:
                faults.append(f"{path}:{number} has {len(line)} columns, {MAX_COLUMNS} at most")
    return faults


def ratchet_faults(counts: dict[str, int], listed: dict[str, int]) -> list[str]:
    """Check all files, given as path to number of lines, against the list of long files."""
    faults = []
    for path, lines in sorted(counts.items()):
        known = listed.get(path)
        if known is None and lines > MAX_LINES:
            faults.append(f"{path} has {lines} lines, {MAX_LINES} at most: split it by concern")
        elif known is not None and lines > known:
            faults.append(
                f"{path} grew from {known} to {lines} lines: a file over {MAX_LINES} may only shrink"
            )
        elif known is not None and MAX_LINES < lines < known:
            faults.append(f"{path} has shrunk to {lines} lines: put {lines} for {known} in {LIST}")
    for path in sorted(listed):
        if counts.get(path, 0) <= MAX_LINES:
            faults.append(f"{path} is no longer over {MAX_LINES} lines: take it out of {LIST}")
    return faults


def main() -> int:
    """Check the repository that contains this file."""
    root = Path(__file__).resolve().parent.parent
    named = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["policy"]
    package = {str(path.relative_to(root)) for path in (root / "lupinlink" / "brain").rglob("*.py")}
    faults = policy_faults({path: (root / path).read_text() for path in named}, package)
    command = ["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard", "*.py"]
    found = subprocess.run(command, cwd=root, check=True, capture_output=True, text=True).stdout
    paths = {path for path in found.split("\0") if path and (root / path).exists()}
    counts = {path: len((root / path).read_text().splitlines()) for path in paths}
    rows = [row.split() for row in (root / LIST).read_text().splitlines() if row and not row.startswith("#")]
    faults += ratchet_faults(counts, {path: int(lines) for path, lines in rows})
    for fault in faults:
        print(fault, file=sys.stderr)
    return bool(faults)


if __name__ == "__main__":
    sys.exit(main())
