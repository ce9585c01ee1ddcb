"""A small fleet that agrees, with real processes: what befalls it, what operators ask, and what was seen."""

from __future__ import annotations

import subprocess
import sys
import tomllib
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from lupinlink.lab import library, results
from lupinlink.lab.fleet.fleet_file import bound, pools_of
from lupinlink.lab.fleet_desk import FAULTS
from lupinlink.lab.library import LibraryError
from lupinlink.lab.model.agreement import Agreement
from tests.proxy_process import ROOT

LONG = 100.0  # a whole fleet, on a busy machine
PLAY = """include = ["{base}"]
name = "agreed"
seconds = 5.0
[load]
rate = 60.0
[classes]
status = {{ give_up_ms = 1000.0 }}
lookup = {{ give_up_ms = 1000.0 }}
update = {{ give_up_ms = 1000.0 }}
record = {{ give_up_ms = 1000.0 }}
[agreement]
ready_after_s = 0.0
notice_s = 0.5
[orders.drain]
at_s = 1.0
call = "PUT /control/out-of-service"
to = "n1"
[orders.state]
at_s = 2.0
call = "GET /control/fleet"
[faults.cut]
kind = "agreement_cut"
at_s = 1.0
for_s = 2.0
share = 0.4
[faults.restarted]
kind = "agreement_restarted"
at_s = 3.2
for_s = 0.3
[faults.restored]
kind = "agreement_restored"
at_s = 4.2
save_at_s = 0.5
[faults.killed]
kind = "proxies_killed"
at_s = 2.0
for_s = 1.0
share = 0.25
when = {{ key = "alive/n0", holds = "n0" }}
"""


class Agreed(unittest.TestCase):
    def test_a_fleet_agrees_while_its_service_fails_and_the_referee_sees_who_was_out(self) -> None:
        with TemporaryDirectory() as name:
            folder = Path(name)
            file = folder / "agreed.toml"
            file.write_text(PLAY.format(base=library.FOLDER / "fleet-agreed.toml"))
            run = subprocess.run(
                [sys.executable, "-m", "lupinlink", "lab", "fleet", str(file), "--proxies=4", "--servers=4",
                 f"--out={folder / 'run'}"],
                cwd=ROOT, capture_output=True, text=True, timeout=LONG,
            )  # fmt: skip
            self.assertEqual((run.returncode, run.stderr), (0, ""), run.stdout)
            found = results.read_summary(folder / "run")
        agreed = found.fleet["agreed"]
        self.assertEqual((agreed["proxies_chosen"], agreed["proxies_out_most"]), (1, 1))
        self.assertEqual((agreed["servers_out_most"], agreed["connections_lost"]), (0, 0))
        answers = {order["name"]: order for order in agreed["orders"]}
        self.assertEqual([answers[name]["status"] for name in ("drain", "state")], [200, 200])
        self.assertIn("below fleet/", answers["state"]["text"])
        self.assertGreater(agreed["calls_a_process_s"], 0.0)
        (killed,) = [fault for fault in found.faults if fault["name"] == "killed"]
        self.assertEqual(len(killed["targets"]), 1)
        self.assertEqual(found.drive_figures["fleet_starts"], 5.0)


class Written(unittest.TestCase):
    def flaw(self, **sets: Any) -> str:
        with self.assertRaises(LibraryError) as caught:
            library.load("fleet-agreed", {key.replace("__", "."): value for key, value in sets.items()})
        return caught.exception.lines[0]

    def test_pools_and_bounds_follow_from_the_scenario(self) -> None:
        spec = Agreement("[release.proxies]\nshare = 0.3\nnumber = 2\n", pools={"old": 3.0, "new": 1.0})
        pools = pools_of(spec, 8)
        self.assertEqual([pools[i] for i in range(8)], ["old"] * 6 + ["new"] * 2)
        self.assertEqual([bound(spec, what).allowed(10) for what in ("proxies", "servers")], [2, 1])

    def test_what_cannot_be_played_is_told_by_its_key(self) -> None:
        killed = {"kind": "proxies_killed", "at_s": 1.0}
        self.assertIn("either a share or whom", self.flaw(faults__x=killed))
        self.assertIn("either a share or whom", self.flaw(faults__x={**killed, "whom": "lead", "share": 0.1}))
        restored = {"kind": "agreement_restored", "at_s": 1.0, "save_at_s": 2.0}
        self.assertIn("faults.x.save_at_s", self.flaw(faults__x=restored))
        self.assertIn("orders.x.to", self.flaw(orders__x={"at_s": 1.0, "call": "GET /x", "to": "n99"}))
        self.assertIn("orders.x.call", self.flaw(orders__x={"at_s": 1.0, "call": "nonsense"}))
        self.assertIn("quotas.x.member", self.flaw(quotas__x={"rate_per_s": 1, "burst": 1, "member": "no"}))
        with self.assertRaisesRegex(LibraryError, "needs the table agreement"):
            library.load("fleet", {"faults.x": {"kind": "agreement_gone", "at_s": 1.0}})

    def test_every_named_fault_fits_the_release(self) -> None:
        for name, table in tomllib.loads(FAULTS.read_text()).items():
            self.assertIn(name, library.load("fleet-release", {f"faults.{name}": table}).scenario.faults)
