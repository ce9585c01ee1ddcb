"""Print the version.

Usage:
  lupinlink version
  lupinlink version (-h | --help)

Options:
  -h --help  Show this text.
"""

from __future__ import annotations

from docopt import docopt

from lupinlink import __version__


def main(argv: list[str]) -> int:
    """Print it; returns the exit code."""
    docopt(__doc__ or "", argv=argv)
    print(f"lupinlink {__version__}")
    return 0
