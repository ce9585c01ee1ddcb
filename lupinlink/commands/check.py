"""Validate a proxy's configuration, print a summary or what is wrong with it, and exit.

Usage:
  lupinlink check [--config=FILE] [--policy=FILE]
  lupinlink check (-h | --help)

Options:
  --config=FILE  The configuration; else LB_CONFIG names it.
  --policy=FILE  A quota policy, checked against that configuration (needs lupinlink[fleet]).
  -h --help      Show this text.

LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_MGMT override the configuration.

Exit: 0 valid; 1 the list of backends in it, or the policy, is invalid; 2 the configuration is invalid.
"""

from __future__ import annotations

import os
import sys

from docopt import docopt

from lupinlink.commands.input_errors import report_input_error
from lupinlink.settings import Settings, load_config


def main(argv: list[str]) -> int:
    """Check one configuration; returns the exit code."""
    args = docopt(__doc__ or "", argv=argv)
    from lupinlink.net.list_format import ListError
    from lupinlink.net.list_reader import ListReader

    try:
        config = load_config(os.environ, args["--config"])
        known = ListReader(config.settings).read(
            config.initial_list or {"rev": 0, "all": True, "targets": []}
        )
        if known.rejected:
            raise ListError(f"known: {known.rejected} entries can't be read, the first: {known.fault}")
    except ValueError as exc:
        return report_input_error(exc)
    if args["--policy"] and not _policy_is_good(args["--policy"], config.settings):
        return 1
    host, port = config.listen
    classes = len(config.settings.classes)
    print(f"{config.name}: listens on {host}:{port}, {classes} classes, {len(known.entries)} known")
    return 0


def _policy_is_good(file: str, settings: Settings) -> bool:
    """Print what is wrong with a policy, one line each, or its summary."""
    try:
        from lupinlink.quota.loading import check_text, read_policy_file
    except ImportError as exc:
        print(f"lupinlink: {exc}; a policy needs lupinlink[fleet]", file=sys.stderr)
        return False
    from lupinlink.quota.errors import PolicyFileError
    from lupinlink.quota.reachability import KnownNames

    try:
        policy, findings = check_text(read_policy_file(file), KnownNames.of(settings))
    except PolicyFileError as exc:
        print(f"lupinlink: {exc.line()}", file=sys.stderr)
        return False
    for finding in findings:
        print(finding.finding(file), file=sys.stderr)
    if policy is not None:
        cases = len(policy.expected_cases)
        print(f"{file}: policy {policy.version}, {len(policy.limits)} quotas, {cases} expected cases hold")
    return policy is not None
