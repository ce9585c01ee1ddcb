"""Starts the program by the run line of the deploy file, and runs a case to its exit code."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

from review.stand2.parts import HOST, Record

ROOT = Path(__file__).resolve().parent.parent.parent
CASE_S = 110.0
SETTLE_S = 0.1
TOLD = ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_MGMT", "LB_FLEET")


class Proxy:
    """One process of the program, started with the run line of the deploy file."""

    started: ClassVar[list[Proxy]] = []

    def __init__(self, config: dict[str, Any], folder: str, record: Record) -> None:
        self.config, self._folder, self._record = config, folder, record
        self.port = 0
        self.log: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self._serving = asyncio.Event()
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        file = Path(self._folder) / f"{self.config['name']}.json"
        file.write_text(json.dumps(self.config))
        temporary = Path(self._folder) / f"{self.config['name']}.tmp"
        temporary.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        env = {name: value for name, value in os.environ.items() if name not in TOLD}
        env |= {"LB_CONFIG": str(file), "TMPDIR": str(temporary)}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.started.append(self)
        self._reading = asyncio.create_task(self._read())
        async with asyncio.timeout(30):
            await self._serving.wait()
        self._record.add("proxy serves", name=self.config["name"])

    async def _read(self) -> None:
        assert self.process is not None and self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode(errors="replace").rstrip():
            self.log.append(line)
            if "msg=serving" in line:
                self.port = int(line.rsplit("port=", 1)[1])
                self._serving.set()

    async def up(self, within_s: float = 15.0) -> None:
        """Wait until /up answers yes, as a front does."""
        async with asyncio.timeout(within_s):
            while True:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                said = await reader.read()
                writer.close()
                if b" 200 " in said.split(b"\r\n")[0]:
                    return
                await asyncio.sleep(0.1)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        if self._reading is not None:
            await self._reading


def play(folder: Path, case: Callable[[Record, bool, str], Awaitable[list[str]]]) -> int:
    """Run a case, which returns how the rule was broken; returns 1, 0 or, where it couldn't run, 2."""
    record, trouble = Record(), os.environ.get("TROUBLE", "1") != "0"
    record.add("begin", trouble=int(trouble))

    async def bounded(temporary: str) -> list[str]:
        try:
            async with asyncio.timeout(CASE_S):
                return await case(record, trouble, temporary)
        finally:
            for proxy in Proxy.started:
                await proxy.kill()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(SETTLE_S)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(bounded(temporary))
        code = 1 if broken else 0
        for line in broken:
            record.add("BROKEN", what=line)
    except Exception as exc:
        record.add("could not run", why=repr(exc))
        traceback.print_exc()
        code = 2
    record.add("end", exit=code)
    record.write(folder)
    print("\n".join(record.lines[-12:]), file=sys.stderr)
    return code
