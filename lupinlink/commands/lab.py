"""The lab: run scenarios against the proxies and report the results.

Usage:
  lupinlink lab scenarios [--json]
  lupinlink lab check FILE... [--json]
  lupinlink lab run SCENARIO [--drive=DRIVE] [--seed=N] [--out=DIR] [--proxies=N] [--set=KEY=VALUE]...
                    [--json]
  lupinlink lab sweep SCENARIO --vary=KEY=A:B:STEP --out=DIR [--seeds=N] [--drive=DRIVE] [--set=KEY=VALUE]...
  lupinlink lab compare DIR DIR... [--json]
  lupinlink lab report DIR
  lupinlink lab variants [--scenarios=NAMES] [--seeds=N] [--jobs=N] [--against=SCORES]
                         [--set=KEY=VALUE]...
  lupinlink lab scaling --out=DIR [--jobs=N]
  lupinlink lab load --target=HOST:PORT --rate=N --seconds=S [--path=PATH] [--give-up=MS] [--connections=N]
                     [--seed=N] [--json]
  lupinlink lab operate KIND [--times=N] [--rate=N] [--crowd=N] [--sockets=N] [--memory=MB] [--seed=N]
                        [--json]
  lupinlink lab fleet SCENARIO [--seed=N] [--out=DIR] [--proxies=N] [--servers=N] [--program=DIR] [--logs=DIR]
                      [--fault=NAMES] [--set=KEY=VALUE]... [--json]
  lupinlink lab herd [--proxies=N] [--calls=N] [--seed=N] [--json]
  lupinlink lab server [--port=PORT] [--work=MS] [--cores=N] [--seed=N]
  lupinlink lab (-h | --help)

Commands:
  scenarios  List the scenarios that come with the program.
  check      Validate scenario files and print each defect on a line.
  run        Run one scenario, by name or file.
  sweep      Run one scenario repeatedly with one value of it varied.
  compare    Compare runs or sweeps with the first one, and tell which differences are noise.
  report     Write DIR/report.html from the results of a run.
  variants   Run variants of the decision module that each lack one mechanism, and rank them.
  scaling    Measure how the cost of simulation grows with servers, proxies and requests.
  load       Send requests to a loopback address, open-loop, and measure the results.
  operate    Run upgrade, drain, restart or bulk (bodies of 32 MB) on a real proxy under load.
  fleet      Run one scenario on a fleet of real proxy processes, with faults between them.
  herd       Start many proxies at one moment while discovery is overloaded, in simulated time.
  server     Run one emulated application server on loopback until a signal ends it.

Options:
  --drive=DRIVE      virtual: simulated time, any size; sockets: real proxies on loopback, in real time.
                     [default: virtual]
  --seed=N           Seed of all random numbers. [default: 1]
  --seeds=N          Seeds 1 to N at each step. [default: 1]
  --out=DIR          Write the results there; without it only the summary is printed.
  --proxies=N        Short for --set=proxies.count=N; for herd 48 by default.
  --servers=N        Short for --set=farm.servers=N.
  --program=DIR      A built checkout to run, as its deploy file says; without it, this program.
  --logs=DIR         Keep the proxies' logs there.
  --fault=NAMES      Further faults by name, separated by commas: docs/operators/fleet-rig.md lists them.
  --set=KEY=VALUE    Override a value of the scenario: load.rate=300, faults.jump.size=3.
  --vary=KEY=A:B:STEP  From A to B in steps.
  --scenarios=NAMES  Separated by commas; by default a set of scenarios with faults.
  --jobs=N           Parallel processes. [default: 4]
  --against=SCORES   Another ranking, as today=0.9,random=0.1,...; Kendall's tau measures the agreement.
  --target=HOST:PORT Where to send requests; on loopback only.
  --rate=N           Requests per second, up to 50000; for operate 200 by default.
  --seconds=S        Duration, up to 600.
  --path=PATH        Path of the requests; a number is appended. [default: /look/]
  --give-up=MS       Time-out of a request. [default: 2000]
  --connections=N    Maximum number of connections. [default: 512]
  --calls=N          Calls per second that discovery handles. [default: 5]
  --times=N          Number of rounds. [default: 5]
  --crowd=N          Additional idle connections. [default: 0]
  --sockets=N        The proxy's limit of sockets. [default: 384]
  --memory=MB        The proxy's limit of memory. [default: 80]
  --port=PORT        0: any free port. [default: 0]
  --work=MS          Mean work per request, exponential; 0: immediate responses. [default: 0]
  --cores=N          Cores of the emulated server. [default: 2]
  --json             Print JSON.
  -h --help          Show this text.

Exit: 0 done; 1 a file is invalid, a run broke a rule, lost something or did not end; 2 invalid arguments.
"""

from __future__ import annotations

import json
import sys
from typing import Any

from docopt import docopt


def main(argv: list[str]) -> int:
    """Run one lab command; returns the exit code."""
    args = docopt(__doc__ or "", argv=argv)
    try:
        from lupinlink.lab import desk
    except ModuleNotFoundError as exc:
        if (exc.name or "").split(".")[0] == "lupinlink":
            raise
        print(f"lupinlink: lab needs {exc.name}: install lupinlink[lab]", file=sys.stderr)
        return 2
    try:
        if args["scenarios"]:
            return desk.scenarios(args["--json"])
        if args["check"]:
            return desk.check(args["FILE"], args["--json"])
        if args["run"]:
            sets = with_short_options(args)
            whole = whole_number(args["--seed"], "--seed")
            return desk.run(
                args["SCENARIO"], args["--drive"], whole, args["--out"], key_values(sets), args["--json"]
            )
        if args["sweep"]:
            seeds = whole_number(args["--seeds"], "--seeds", 1)
            key, steps = varied_values(args["--vary"])
            given = key_values(args["--set"])
            return desk.sweep(args["SCENARIO"], key, steps, args["--out"], seeds, args["--drive"], given)
        if args["compare"]:
            return desk.compare(args["DIR"], args["--json"])
        if args["load"]:
            return desk.load(
                args["--target"], number(args["--rate"], "--rate"), number(args["--seconds"], "--seconds"),
                args["--path"], number(args["--give-up"], "--give-up"),
                whole_number(args["--connections"], "--connections", 1),
                whole_number(args["--seed"], "--seed"), args["--json"],
            )  # fmt: skip
        if args["operate"]:
            return desk.operate(
                args["KIND"], whole_number(args["--times"], "--times", 1),
                number(args["--rate"] or "200", "--rate"), whole_number(args["--crowd"], "--crowd"),
                whole_number(args["--sockets"], "--sockets"), number(args["--memory"], "--memory"),
                whole_number(args["--seed"], "--seed"), args["--json"],
            )  # fmt: skip
        if args["fleet"]:
            from lupinlink.lab import fleet_desk

            return fleet_desk.fleet(
                args["SCENARIO"], args["--program"], whole_number(args["--seed"], "--seed"), args["--out"],
                args["--logs"], key_values(with_short_options(args)), args["--fault"] or "", args["--json"],
            )  # fmt: skip
        if args["herd"]:
            return desk.herd(
                whole_number(args["--proxies"] or "48", "--proxies", 1), number(args["--calls"], "--calls"),
                whole_number(args["--seed"], "--seed"), args["--json"],
            )  # fmt: skip
        if args["server"]:
            return desk.server(
                whole_number(args["--port"], "--port"), number(args["--work"], "--work"),
                whole_number(args["--cores"], "--cores", 1), whole_number(args["--seed"], "--seed"),
            )  # fmt: skip
        if args["scaling"]:
            return desk.scaling(args["--out"], whole_number(args["--jobs"], "--jobs", 1))
        if args["variants"]:
            names = tuple(args["--scenarios"].split(",")) if args["--scenarios"] else ()
            seeds = whole_number(args["--seeds"], "--seeds", 1)
            jobs = whole_number(args["--jobs"], "--jobs", 1)
            against = key_values(args["--against"].split(",")) if args["--against"] else {}
            return desk.variants(names, seeds, jobs, against, key_values(args["--set"]))
        return desk.report(args["DIR"][0])
    except desk.WrongError as exc:
        print("\n".join(f"lupinlink: {line}" for line in str(exc).splitlines()), file=sys.stderr)
        return exc.code


def with_short_options(args: dict[str, Any]) -> list[str]:
    """The values of --set, with the short options added in the same form."""
    found = list(args["--set"])
    for option, key in (("--proxies", "proxies.count"), ("--servers", "farm.servers")):
        if args[option]:
            found.append(f"{key}={args[option]}")
    return found


def whole_number(text: str, what: str, least: int = 0) -> int:
    """Parse a whole number of at least ``least``. Raises WrongError."""
    from lupinlink.lab.desk import WrongError

    if not text.isascii() or not text.isdigit() or int(text) < least:
        raise WrongError(f"{what}: {text!r} is no whole number of at least {least}", 2)
    return int(text)


def number(text: str, what: str) -> float:
    """Parse a number of at least 0. Raises WrongError."""
    from lupinlink.lab.desk import WrongError

    try:
        found = float(text)
    except ValueError:
        found = -1.0
    if not 0.0 <= found < float("inf"):
        raise WrongError(f"{what}: {text!r} is no number of at least 0", 2)
    return found


def key_values(texts: list[str]) -> dict[str, Any]:
    """Parse KEY=VALUE arguments; a value is JSON if it parses as such, else a text. Raises WrongError."""
    from lupinlink.lab.desk import WrongError

    found: dict[str, Any] = {}
    for text in texts:
        key, equals, value = text.partition("=")
        if not key or not equals:
            raise WrongError(f"--set: {text!r} is not KEY=VALUE", 2)
        try:
            found[key] = json.loads(value)
        except ValueError:
            found[key] = value
    return found


def varied_values(text: str) -> tuple[str, list[float]]:
    """Parse KEY=A:B:STEP into the key and its values. Raises WrongError."""
    from lupinlink.lab.desk import WrongError

    key, _, span = text.partition("=")
    try:
        low, high, step = map(float, span.split(":"))
    except ValueError:
        raise WrongError(f"--vary: {text!r} is not KEY=A:B:STEP", 2) from None
    count = int((high - low) / step + 1e-9) + 1 if step > 0.0 else 0
    if not key or not 1 <= count <= 1000:
        raise WrongError(f"--vary: {text!r} gives no steps, or more than 1000", 2)
    return key, [round(low + i * step, 9) for i in range(count)]
