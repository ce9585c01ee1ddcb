"""Whole runs of the lab: scenario files, folders, both drives, the load tool."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from lupinlink.lab import comparing, herd, library, page, results
from lupinlink.lab.library import LibraryError
from lupinlink.lab.virtual import VirtualDrive
from tests.proxy_process import ROOT, WAIT

SMALL = ["--set=seconds=4", "--set=load.rate=100"]
BAD: dict[str, tuple[str, str, str]] = {  # in the file, the key and the reason told
    "no TOML": ("load = [", "", "Invalid value"),
    "unknown table": ("[lod]\nrate = 1.0", "", "unknown field `lod`"),
    "unknown key": ("[load]\nrat = 1.0", "load", "unknown field `rat`"),
    "text for a number": ('[load]\nrate = "fast"', "load.rate", "got `str`"),
    "no rate": ("[load]\nrate = 0.0", "load.rate", "> 0.0"),
    "a share over one": ("[clients]\nhonours = 1.5", "clients.honours", "<= 1.0"),
    "half a proxy": ("[proxies]\ncount = 1.5", "proxies.count", "`int`"),
    "no proxy": ("[proxies]\ncount = 0", "proxies.count", ">= 1"),
    "too many descriptors": ("[proxies]\nsockets = 4096", "proxies.sockets", "<= 1024"),
    "fewer servers than none": ("[farm]\nservers = -1", "farm.servers", ">= 0"),
    "more cold than there are": ("[farm]\ncold = 9", "farm.cold", "over farm.servers"),
    "one zone twice": ('[network]\nzones = ["a", "a"]', "network.zones", "names one twice"),
    "weights": ("[goal]\nwhole = 0.9", "goal", "add up to"),
    "patience under the aim": (
        "[classes.status]\ngive_up_ms = 100.0",
        "classes.status.give_up_ms",
        "under aim_ms",
    ),
    "a key without a window": (
        "[classes.record]\nwindow_ms = 0.0",
        "classes.record.window_ms",
        "needs a window",
    ),
    "a window without a key": (
        "[classes.status]\nwindow_ms = 5.0",
        "classes.status.window_ms",
        "only a keyed",
    ),
    "unknown effect": ('[classes.status]\neffect = "maybe"', "classes.status", "invalid enum value"),
    "a path in a class": (
        '[classes."a/b"]\nshare = 1.0\nwork_ms = 1.0\naim_ms = 1.0\ngive_up_ms = 2.0',
        "classes.a/b",
        "plain letters",
    ),
    "bursts without end": (
        '[load]\nshape = "bursty"\nburst_factor = 9.0\nburst_share = 0.5',
        "load.burst_factor",
        "under 1",
    ),
    "unknown fault": ('[faults.x]\nkind = "flod"\nat_s = 1.0', "faults", "invalid enum value"),
    "a fault without its size": ('[faults.x]\nkind = "surge"\nat_s = 1.0', "faults.x.size", "needs it"),
    "a fault with too much": (
        '[faults.x]\nkind = "roster_down"\nat_s = 1.0\ncount = 2',
        "faults.x.count",
        "does not take it",
    ),
    "a fault after the end": (
        '[faults.x]\nkind = "roster_down"\nat_s = 99.0',
        "faults.x.at_s",
        "not before the end",
    ),
    "an unknown member": (
        '[faults.x]\nkind = "member_surge"\nat_s = 1.0\nsize = 2.0\nmember = "west"',
        "faults.x.member",
        "none of north",
    ),
    "an unknown zone": (
        '[faults.x]\nkind = "zone_lost"\nat_s = 1.0\nzone = "moon"',
        "faults.x.zone",
        "none of west",
    ),
    "a proxy too many": (
        '[faults.x]\nkind = "hot_proxy"\nat_s = 1.0\nshare = 0.5\nproxy = 7',
        "faults.x.proxy",
        "proxies.count",
    ),
    "more crashes than servers": (
        '[faults.x]\nkind = "crash"\nat_s = 1.0\ncount = 99',
        "faults.x.count",
        "over farm.servers",
    ),
}


class ScenarioFiles(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, text: str, name: str = "s.toml") -> Path:
        path = self.folder / name
        path.write_text(text)
        return path

    def refused(self, path: Path) -> list[str]:
        with self.assertRaises(LibraryError) as caught:
            library.load(str(path))
        return caught.exception.lines

    def test_bad_ones_are_refused_by_file_key_and_reason(self) -> None:
        base = str(library.FOLDER / "base.toml")
        for name, (text, key, why) in BAD.items():
            with self.subTest(name):
                path = self.file(f'include = ["{base}"]\n{text}')
                lines = self.refused(path)
                told = [line for line in lines if line.startswith(f"{path}: {key}") and why in line]
                self.assertTrue(told or (not key and any(why in line for line in lines)), lines)

    def test_includes_that_lead_nowhere_or_round_in_a_circle(self) -> None:
        self.assertIn("No such file", self.refused(self.file('include = ["none.toml"]'))[0])
        self.file('include = ["b.toml"]', "a.toml")
        self.assertIn("includes itself", self.refused(self.file('include = ["a.toml"]', "b.toml"))[0])
        self.assertIn("list of file names", self.refused(self.file("include = 3"))[0])

    def test_several_flaws_are_told_at_once(self) -> None:
        base = str(library.FOLDER / "base.toml")
        text = f'include = ["{base}"]\n[farm]\ncold = -1\n[load]\nrat = 1\n[clients]\nhonours = 3'
        self.assertEqual(len(self.refused(self.file(text))), 3)

    def test_every_shipped_one_is_good_and_an_include_is_overridden_key_by_key(self) -> None:
        for path in library.shipped():
            self.assertEqual(library.load(str(path)).scenario.name, path.stem)
        ten, hundred = (library.load(f"times-{n}").scenario for n in ("ten", "hundred"))
        self.assertEqual((ten.faults["dead"].count, hundred.faults["dead"].count), (8, 80))
        self.assertEqual(ten.faults["dead"].at_s, hundred.faults["dead"].at_s)


class Runs(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def start(self, *words: str) -> subprocess.Popen[str]:
        process = subprocess.Popen(
            [sys.executable, "-m", "lupinlink", "lab", *words],
            cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        return process

    def lab(self, *words: str, code: int = 0) -> str:
        process = self.start(*words)
        out, err = process.communicate(timeout=90)
        self.assertEqual(process.returncode, code, out + err)
        return out

    def test_a_run_leaves_a_folder_that_can_be_reported_and_compared(self) -> None:
        for seed in (1, 2, 3):
            for name, rate in (("a", 100), ("b", 100), ("c", 1500)):
                out = f"--out={self.folder / name / str(seed)}"
                sets = ("--set=seconds=4", f"--set=load.rate={rate}", "--set=faults.dead.at_s=1")
                self.lab("run", "crash", f"--seed={seed}", out, *sets)
        one = self.folder / "a" / "1"
        summary = results.read_summary(one)
        self.assertTrue(summary.complete)
        records = list(results.read_records(one))
        self.assertEqual(len(records), summary.tally["tries"])
        self.assertEqual(sum(s.offered for s in results.read_seconds(one)), summary.tally["firsts"])
        served = sum(1 for r in records if r.answers and r.answers[0][1] == "served")
        self.assertEqual(served, summary.tally["served"])
        members = [HdrHistogram.decode(t) for n, t in summary.histograms.items() if n.startswith("member")]
        self.assertEqual(sum(h.get_total_count() for h in members), served)
        text = page.page(summary, results.read_seconds(one))
        self.assertEqual(text.count("<svg"), 5)
        self.assertNotRegex(text, r'(src|href)="http')
        same = comparing.compare(self.folder / "a", self.folder / "b")
        self.assertEqual({row.verdict for row in same}, {"noise"})
        worse = comparing.compare(self.folder / "a", self.folder / "c")
        self.assertEqual({row.verdict for row in worse if row.figure == "G"}, {"worse"})

    def test_a_run_killed_midway_says_so_and_reports_what_it_has(self) -> None:
        process = self.start("run", "calm", f"--out={self.folder}", "--set=seconds=3000")
        until = time.monotonic() + WAIT
        path = self.folder / "summary.json"
        while time.monotonic() < until and (
            not path.exists() or json.loads(path.read_text())["tally"]["tries"] < 500
        ):
            time.sleep(0.05)
        process.kill()
        process.wait(WAIT)
        summary = results.read_summary(self.folder)
        self.assertFalse(summary.complete)
        self.assertGreater(len(list(results.read_records(self.folder))), 400)
        self.assertIn("did not come to its end", self.page())

    def page(self) -> str:
        return page.write(self.folder).read_text()

    def test_a_run_that_is_told_to_stop_ends_with_one_and_a_whole_folder(self) -> None:
        process = self.start("run", "calm", f"--out={self.folder}", "--set=seconds=3000")
        until = time.monotonic() + WAIT
        while time.monotonic() < until and not (self.folder / "summary.json").exists():
            time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(WAIT), 1)
        summary = results.read_summary(self.folder)
        self.assertFalse(summary.complete)
        records = len(list(results.read_records(self.folder)))
        self.assertEqual(records, summary.tally["tries"] - summary.open_tries)

    def test_two_socket_runs_at_once_keep_the_rules_and_agree_with_the_virtual_drive(self) -> None:
        words = ("crash", "--set=seconds=6", "--set=load.rate=80", "--set=faults.dead.at_s=2", "--json")
        both = [self.start("run", *words, "--drive=sockets", f"--seed={seed}") for seed in (1, 2)]
        for seed, process in enumerate(both, 1):
            out, err = process.communicate(timeout=90)
            self.assertEqual(process.returncode, 0, out[-2000:] + err)
            found = json.loads(out)
            virtual = json.loads(self.lab("run", *words, f"--seed={seed}"))
            self.assertEqual(found["tally"]["firsts"], virtual["tally"]["firsts"])
            self.assertLess(abs(found["service"]["whole"] - virtual["service"]["whole"]), 0.05)

    def test_a_flood_of_silent_connections_is_opened_again_and_again(self) -> None:
        out = self.lab("run", "flood", "--drive=sockets", "--set=seconds=4", "--set=load.rate=60", "--json",
                       "--set=faults.silent.at_s=1", "--set=faults.silent.for_s=2.5")  # fmt: skip
        found = json.loads(out)
        self.assertGreater(found["drive_figures"]["flood_connections"], 500)
        self.assertGreater(found["service"]["whole"], 0.9)
        self.assertLess(found["drive_figures"]["proxy_memory_mb"], 80.0)

    def test_the_load_tool_is_open_loop_and_stays_on_loopback(self) -> None:
        server = self.start("server", "--work=20", "--cores=1")
        assert server.stdout is not None
        target = server.stdout.readline().split()[-1]
        # Twice what one core can do: a closed loop would send half of it.
        out = self.lab("load", f"--target={target}", "--rate=100", "--seconds=2", "--give-up=700", "--json")
        found: dict[str, Any] = json.loads(out)
        self.assertTrue(150 <= found["sent"] <= 250, found["sent"])
        self.assertEqual(sum(found["answers"].values()), found["sent"])
        self.assertGreater(found["answers"]["0"], 20)
        self.assertLess(found["send_error"]["quantiles_ms"]["p50"], 50.0)
        server.send_signal(signal.SIGTERM)
        self.assertEqual(server.wait(WAIT), 0)
        for target in ("10.0.0.1:80", "example.org:80", "127.0.0.1"):
            self.lab("load", f"--target={target}", "--rate=1", "--seconds=1", code=2)


class HardCases(unittest.TestCase):
    def played(self, name: str, **sets: Any) -> VirtualDrive:
        drive = VirtualDrive(library.load(name, sets).scenario, 4)
        drive.run()
        referee = drive.world.referee
        self.assertEqual(referee.counts, [0, 0, 0, 0, 0], referee.broken[:2])
        self.assertEqual((referee.open, len(drive.asks)), (0, 0))
        return drive

    def test_an_empty_farm_answers_everybody_in_time(self) -> None:
        drive = self.played("empty-farm", **{"seconds": 6.0, "faults": {}})
        tally = drive.world.referee.tally
        self.assertEqual((tally.served, tally.attempts), (0, 0))
        self.assertEqual(tally.refused + tally.failed, tally.tries)

    def test_tries_too_short_for_any_answer_cost_the_farm_nothing(self) -> None:
        drive = self.played("hurried", **{"seconds": 8.0})
        tally = drive.world.referee.tally
        self.assertGreater(tally.tries, 1.5 * tally.firsts)
        self.assertLess(
            tally.attempts, 1.1 * tally.firsts
        )  # 1.5 where they are sent and servers blamed for it
        self.assertGreater(tally.served, 0.98 * tally.firsts)  # 0.78

    def test_clients_that_leave_while_an_attempt_is_out(self) -> None:
        drive = self.played("calm", **{"seconds": 6.0, "load.rate": 100.0, "clients.leaves": 0.5,
                                       "classes.status.work_ms": 400.0, "farm.servers": 4})  # fmt: skip
        counters = {
            name: sum(c[name] for c in drive.counters) for name in ("clients_gone", "attempts_cancelled")
        }
        self.assertGreater(min(counters.values()), 5, counters)

    def test_a_server_back_at_once_under_its_old_id(self) -> None:
        drive = self.played(
            "restarts", **{"seconds": 14.0, "load.rate": 120.0, "faults.rolling.for_s": 0.001}
        )
        happened = drive.world.script.happened[0]
        starts = {drive.world.farm.places[name].server.started_at for name in happened.targets}
        self.assertTrue(all(start >= happened.start_ms for start in starts))

    def test_a_fault_in_the_very_tick_in_which_a_request_ends(self) -> None:
        # The first run tells when requests end at servers; the second crashes all servers at such a moment.
        ends: list[float] = []
        scenario = library.load("calm", {"seconds": 3.0, "load.rate": 60.0}).scenario
        first = VirtualDrive(scenario, 4, lambda t: ends.extend(a[0] for a in t.answers))
        first.run()
        middle = sorted(ends)[len(ends) // 2]
        for shift in (0.0, 1e-9):
            at_s = (middle - first.world.began) / 1000.0 + shift
            drive = self.played("crash", **{"seconds": 3.0, "load.rate": 60.0, "faults.dead.at_s": at_s,
                                            "faults.dead.count": 8, "faults.dead.for_s": 0.5})  # fmt: skip
            self.assertEqual(len(drive.world.script.happened[0].targets), 8)


class Herds(unittest.TestCase):
    def test_a_herd_gets_its_watches_before_discovery_must_have_been_asked(self) -> None:
        # All in the first second, calls piled up, failed and came back: the last proxy watched after 11.2 s.
        many, few = herd.start(48, 5.0, 1), herd.start(8, 5.0, 1)
        self.assertTrue(0.0 < many.all_watch_ms < 10_000.0, many)
        self.assertLess(many.calls, 2 * 48)
        self.assertEqual((few.calls, few.calls_failed), (8, 0))
        self.assertLess(many.connections_a_proxy, few.connections_a_proxy)
