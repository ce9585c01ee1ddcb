"""The proxies of a fleet, each started exactly as the deploy page starts ``run``."""

from __future__ import annotations

import json
import os
import shlex
import signal
import subprocess
import sys
import tomllib
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lupinlink.lab.fleet.gate import FleetError

TAIL = 4096
STARTING = 10  # nice value until it is up: on the platform each has a core of its own
HOME = Path(__file__).resolve().parents[3]  # where the package of this very program lies


@dataclass(slots=True, frozen=True)
class Program:
    """A program to play: the shell's command for one proxy, and the folder that it is started in."""

    run: str
    root: Path


def program(folder: str | None) -> Program:
    """A checkout's program as its deploy file starts it; without a folder: this one, by this interpreter."""
    if folder is None:
        return Program(f"exec {shlex.quote(sys.executable)} -m lupinlink", HOME)
    path = Path(folder) / "deploy" / "balancer.toml"
    try:
        run = tomllib.loads(path.read_text(encoding="utf-8"))["run"]
    except OSError as exc:
        raise FleetError(f"{path}: {(exc.strerror or str(exc)).lower()}") from exc
    except KeyError:
        raise FleetError(f"{path}: names no run") from None
    except ValueError as exc:
        raise FleetError(f"{path}: {exc}") from exc
    if not isinstance(run, str):
        raise FleetError(f"{path}: run: is no text")
    return Program(run, Path(folder).resolve())


@dataclass(slots=True)
class Use:
    """What one process was seen to use, at most."""

    memory_mb: float = 0.0  # resident
    own_mb: float = 0.0  # resident and not shared with other processes' files
    descriptors: int = 0


@dataclass(slots=True, eq=False)
class FleetProxy:
    """One proxy: its name, its address and its folder stay, its processes come and go."""

    index: int
    program: Program
    folder: Path
    config: dict[str, Any]  # the deploy page's, all but what each start draws anew
    fleet: Callable[[], Path] | None = None  # writes its fleet file, where it has one
    process: subprocess.Popen[bytes] | None = None
    starts: int = 0
    leaving: bool = False  # it was told to end
    cpu_s: float = 0.0  # of all its processes
    use: Use = field(default_factory=Use)
    _dying: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _seen_cpu_s: float = 0.0  # of the one that runs

    def start(self, known: dict[str, Any], seed: int) -> None:
        """Start from nothing: an empty folder for files, a new seed, the list as it last had it."""
        self.bury()
        self.starts += 1
        self.leaving = False
        self.config |= {"known": known, "seed": f"{seed:016x}"}
        scratch = self.folder / f"tmp-{self.index}-{self.starts}"
        scratch.mkdir()
        path = self.write()
        env = {
            "PATH": os.environ.get("PATH", os.defpath), "TMPDIR": str(scratch),
            "LB_NAME": self.config["name"], "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"], "LB_CONFIG": str(path),
        }  # fmt: skip
        if self.fleet is not None:
            env |= {"LB_FLEET": str(self.fleet()), "LB_MGMT": self.config["mgmt"]}
        limit = f"ulimit -n {self.config['limits']['sockets']}; {self.program.run}"
        try:
            with self.log.open("ab") as log:
                self.process = subprocess.Popen(
                    ["/bin/sh", "-c", limit], cwd=self.program.root, env=env, stdin=subprocess.DEVNULL,
                    stdout=log, stderr=log, start_new_session=True,
                )  # fmt: skip
        except OSError as exc:
            raise FleetError(f"proxy {self.index} cannot be started: {(exc.strerror or '').lower()}") from exc
        self._nice(STARTING)

    def is_up(self) -> None:
        """It serves: from here on it goes before those that still start, where that is allowed."""
        self._nice(0)

    def _nice(self, value: int) -> None:
        if self.process is not None:
            with suppress(OSError):
                os.setpriority(os.PRIO_PROCESS, self.process.pid, value)

    @property
    def log(self) -> Path:
        """What all its processes wrote."""
        return self.folder / f"n{self.index}.log"

    def write(self) -> Path:
        """Write its configuration."""
        path = self.folder / f"n{self.index}.json"
        path.write_text(json.dumps(self.config))
        return path

    @property
    def runs(self) -> bool:
        """Whether its process is there."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to its process, if there is one."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """It dies at once; nobody waits for that, since a fleet's deaths one after another take a second."""
        self.look()
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self._dying.append(self.process)
            self._forget()

    def bury(self) -> None:
        """Wait until those that were killed are gone: their address is free, and nothing is left."""
        while self._dying:
            self._dying.pop().wait()

    def _forget(self) -> None:
        self.process = None
        self.cpu_s, self._seen_cpu_s = self.cpu_s + self._seen_cpu_s, 0.0

    def reap(self) -> int | None:
        """Wait for a process that is ending; its exit code."""
        if self.process is None:
            return None
        code = self.process.wait()
        self._forget()
        return code

    def look(self) -> None:
        """See what its process uses just now."""
        if self.process is None:
            return
        place = Path(f"/proc/{self.process.pid}")
        with suppress(OSError, ValueError, IndexError):
            _, resident, shared, *_ = map(int, (place / "statm").read_text().split())
            page = os.sysconf("SC_PAGE_SIZE") / 1048576.0
            fields = (place / "stat").read_text().rpartition(")")[2].split()
            self._seen_cpu_s = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
            use = self.use
            use.memory_mb = max(use.memory_mb, resident * page)
            use.own_mb = max(use.own_mb, (resident - shared) * page)
            use.descriptors = max(use.descriptors, len(os.listdir(place / "fd")))

    def last_words(self) -> str:
        """The last line of its log."""
        with suppress(OSError):
            lines = self.log.read_bytes()[-TAIL:].decode(errors="replace").strip().splitlines()
            if lines:
                return lines[-1]
        return "it said nothing"


def room(proxies: int, each_mb: float, rest_mb: float, read: Callable[[], str]) -> None:
    """Refuse a fleet that this machine's memory cannot hold. ``read`` gives /proc/meminfo's text."""
    rows = dict(line.split(":", 1) for line in read().splitlines() if ":" in line)
    free = int(rows["MemAvailable"].split()[0]) / 1024.0
    need = proxies * each_mb + rest_mb
    if need > free:
        raise FleetError(
            f"{proxies} proxies of {each_mb:.0f} MB and the rig's {rest_mb:.0f} MB need {need:.0f} MB; "
            f"{free:.0f} MB are free"
        )
