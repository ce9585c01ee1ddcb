"""The fleet file: its valid content, and the one-line errors for invalid files."""

from __future__ import annotations

import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Annotated, Any
from unittest import mock

from msgspec import Meta, Struct

from lupinlink.config.errors import FleetComponentError, FleetFileError, FleetFileUnreadableError
from lupinlink.config.files import load_fleet
from lupinlink.config.fleet import AgreementSettings, MemberSettings, read_fleet
from lupinlink.errors import LupinError
from tests.proxy_process import ROOT


class ComponentError(LupinError):
    code = "LL999"


class Inner(Struct, forbid_unknown_fields=True):
    share: Annotated[float, Meta(gt=0.0, lt=1.0)] = 0.5


class ComponentSettings(Struct, forbid_unknown_fields=True):
    """Settings as a component defines them."""

    count: Annotated[int, Meta(ge=1, le=9)] = 1
    names: tuple[Annotated[str, Meta(min_length=2)], ...] = ()
    inner: Inner | None = None
    on: bool = True

    def check(self) -> None:
        if self.count == 5:
            raise ComponentError("count: 5 is never right; allowed: others")


class FleetFileTest(unittest.TestCase):
    def read(self, text: str) -> Any:
        with mock.patch.dict(
            "lupinlink.config.fleet.COMPONENTS", {"release": f"{__name__}:ComponentSettings"}
        ):
            return read_fleet(tomllib.loads(text), "f.toml")

    def test_the_deployed_file_holds_every_key_at_its_default(self) -> None:
        path = ROOT / "deploy" / "fleet.toml"
        raw = tomllib.loads(path.read_text())
        found = load_fleet(str(path))
        self.assertEqual((found.agreement, found.member), (AgreementSettings(), MemberSettings()))
        self.assertEqual(raw["agreement"].keys(), set(AgreementSettings.__struct_fields__))
        self.assertEqual(raw["member"].keys(), set(MemberSettings.__struct_fields__))
        self.assertEqual(found.folder, str(path.parent))

    def test_a_component_is_on_when_its_table_exists(self) -> None:
        self.assertEqual(dict(self.read("").parts), {})
        self.assertEqual(self.read("[release]\ncount = 3").parts["release"].count, 3)

    def test_an_invalid_file_is_reported_in_one_line(self) -> None:
        for text, line in (
            ("[agreement]\nlease_s = 0.5", "f.toml: agreement.lease_s: Expected `float` >= 1.0; "
             "allowed: a number from 1 to 86400"),
            ("[agreement]\nlease_s = 'x'", "f.toml: agreement.lease_s: Expected `float`, got `str`; "
             "allowed: a number from 1 to 86400"),
            ("[agreement]\nform = 'etcd'", "f.toml: agreement.form: Invalid enum value 'etcd'; "
             "allowed: one of 'consul', 'memory'"),
            ("[agreement]\naddress = '::1:8500'", "f.toml: agreement.address: Expected `str` matching regex"),
            ("[agreement]\naddress = 'h:99999'", "agreement.address: port 99999; allowed: 1 to 65535"),
            ("[agreement]\ncall_ms = 5000.0", "agreement.call_ms: 5000 is over a third of lease_s"),
            ("[agreement]\ntoken = '" + "x" * 201 + "'", "allowed: a text of 0 to 200 characters"),
            ("[member]\nzones = 'a'", "member.zones: there is no such key; allowed: zone, version, pool"),
            ("[agrement]", "f.toml: agrement: there is no such table; allowed: agreement, member, release"),
            ("agreement = 1", "f.toml: agreement: Expected `object`, got `int`; allowed: a table of form"),
            ("[release]\ncount = 0", "f.toml: release.count: Expected `int` >= 1; "
             "allowed: a whole number from 1 to 9"),
            ("[release.inner]\nshare = 1.0", "f.toml: release.inner.share: Expected `float` < 1.0; "
             "allowed: a number over 0 under 1"),
            ("[release.inner]\nshares = 1.0", "f.toml: release.inner.shares: there is no such key; "
             "allowed: share"),
            ("[release]\nnames = ['ab', 'c']", "allowed: a text of 2 characters at least"),
            ("[release]\nnames = 3", "allowed: a list, each a text of 2 characters at least"),
            ("[release]\non = 3", "allowed: true or false"),
        ):  # fmt: skip
            with self.subTest(text=text):
                with self.assertRaises(FleetFileError) as caught:
                    self.read(text)
                self.assertIn(line, str(caught.exception))
                self.assertTrue(str(caught.exception).startswith("f.toml: "))
                self.assertEqual(caught.exception.line().count("\n"), 0)

    def test_a_component_s_own_error_keeps_its_code(self) -> None:
        with self.assertRaises(ComponentError) as caught:
            self.read("[release]\ncount = 5")
        self.assertEqual(str(caught.exception), "f.toml: release: count: 5 is never right; allowed: others")

    def test_a_table_for_a_missing_component_is_reported(self) -> None:
        with (
            mock.patch.dict("lupinlink.config.fleet.COMPONENTS", {"quota": "lupinlink.nowhere:Settings"}),
            self.assertRaises(FleetComponentError) as caught,
        ):
            read_fleet({"quota": {}}, "f.toml")
        self.assertIn("f.toml: quota: ", str(caught.exception))

    def test_an_unreadable_file_is_reported(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "f.toml"
            self.assertRaisesRegex(FleetFileUnreadableError, "f.toml: no such file", load_fleet, str(path))
            path.write_text("[agreement\n")
            self.assertRaisesRegex(FleetFileUnreadableError, r"f.toml: .*line 1", load_fleet, str(path))
