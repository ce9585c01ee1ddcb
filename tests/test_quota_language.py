"""The policy language: reading, printing, and the code and position of each error."""

from __future__ import annotations

import datetime
import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupinlink.commands.check import main
from lupinlink.quota.errors import BadPolicyError, PolicyFileError
from lupinlink.quota.language.printing import print_policy
from lupinlink.quota.language.reading import read_policy
from lupinlink.quota.loading import check_text, load_policy, load_policy_file
from lupinlink.quota.model import ExpectedCase, Policy, QuotaRequest, Schedule
from lupinlink.quota.reachability import KnownNames
from lupinlink.quota.schedules import applies_on, easter, schedule_combinations, schedules_on
from tests.proxy_process import SETTINGS
from tests.quota_reference import CLASSES, TENANTS, ZONES, policies, requests

KNOWN = KnownNames(CLASSES, TENANTS, ZONES, 2000.0, True)
EXAMPLE = Path(__file__).resolve().parent.parent / "deploy" / "quota.policy"

FEASTS = st.sampled_from(("easter", "christmas"))
schedules = st.lists(
    st.one_of(
        st.builds(Schedule, st.sampled_from("xy"), FEASTS, st.integers(1, 366)),
        st.builds(Schedule, st.sampled_from("xy"), first=st.just((12, 20)), last=st.just((1, 6))),
    ),
    max_size=2,
    unique_by=lambda schedule: schedule.name,
)
expected_cases = st.builds(
    ExpectedCase,
    requests.filter(lambda one: one.address != "none"),
    st.just(3),
    st.sampled_from((0, 2)),
    st.sampled_from(("", "t0")),
    st.sampled_from((None, (), ("t0", "t0/q0"))),
    st.sampled_from((None, datetime.date(2026, 12, 1))),
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(policies(), schedules, st.lists(expected_cases, max_size=2), st.text('ab"\\ #{é', min_size=1))
def test_a_printed_policy_reads_back_the_same(
    policy: Policy, dates: list[Schedule], cases: list[ExpectedCase], version: str
) -> None:
    whole = Policy(version, policy.limits, tuple(dates), tuple(cases))
    assert read_policy(print_policy(whole)) == (whole, [])
    assert print_policy(read_policy(print_policy(whole))[0]) == print_policy(whole)


def test_the_example_policy_is_valid_and_round_trips() -> None:
    known = KnownNames(("look", "order"), ("acme",), ZONES, 2000.0, True)
    policy = load_policy_file(str(EXAMPLE), known)
    assert load_policy(print_policy(policy), known, "printed") == policy


def test_schedules_units_and_defaults() -> None:
    policy, findings = read_policy("""policy "p" schedule s: 1 week before easter
        quota f { rate 600/min during s { rate 1200/min }
            quota g { guaranteed 60/min }
            quota h { rate 2/s by address /24 most 9 } }""")
    assert findings == []
    default_parameters, season = policy.limits_during(frozenset()), policy.limits_during(frozenset("s"))
    assert [(one.rate_per_s, one.burst, one.guaranteed_per_s) for one in default_parameters] == [
        (10.0, 10.0, 0.0), (10.0, 10.0, 1.0), (2.0, 2.0, 0.0)]  # fmt: skip
    assert [(one.rate_per_s, one.burst) for one in season] == [(20.0, 20.0), (20.0, 20.0), (2.0, 2.0)]
    assert (policy.limits[2].by_ipv4_bits, policy.limits[2].by_ipv6_bits) == (24, 64)


FAULTS = {  # text after the first line: code, line, column, and a part of the message
    "quota f { rat 3/s }": ("LL301", 2, 11, "unexpected 'rat'"),
    "quota f { rate 3/s": ("LL301", 2, 19, "unexpected end of the file"),
    "quota f { rate 3/m }": ("LL301", 2, 17, "/s, /min or /h"),
    'quota f { rate 3/s match key "k }': ("LL301", 2, 30, "a text in"),
    "quota f { rate 3/s\n match class look, lok }": ("LL302", 3, 20, "no class 'lok'; they have look, scan"),
    "quota f { rate 3/s match tenant nobody }": ("LL302", 2, 33, "no tenant 'nobody'"),
    "quota f { rate 3/s match zone c }": ("LL302", 2, 31, "no zone 'c'"),
    "quota f { rate 3/s during x { rate 2/s } }": ("LL302", 2, 20, "no schedule x"),
    "quota f { rate 3/s }\nexpect class look: refused by g": ("LL302", 3, 1, "no quota g"),
    "quota f { rate 3/s quota a { match class look }\n quota b { match class look zone a } }":
        ("LL301", 3, 29, "unexpected 'zone'"),
    "quota f { rate 3/s quota a { match class look }\n quota b { match class look match zone a } }":
        ("LL303", 3, 2, "matched earlier by f/a"),
    "quota f { rate 3/s quota a { match class look } quota b { match class scan }\n quota c { } }":
        ("LL303", 3, 2, "matched earlier by several quotas together"),
    "quota f { rate 3/s match key u quota a { match key v quota b { } } }":
        ("LL303", 2, 32, "no request that matches f also matches f/a"),
    "quota f { rate 3/s quota a { match address 10.0.0.0/8 }\n quota b { match address 10.1.0.0/16 } }":
        ("LL303", 3, 2, "matched earlier by f/a"),
    "quota f { rate 3/s quota a { rate 4/s } }": ("LL304", 2, 20, "rate 4/s, its parent f 3/s"),
    "quota f { rate 3/s quota a { burst 4 } }": ("LL304", 2, 20, "burst 4"),
    "schedule s: 1 day before easter quota f {rate 3/s during s {rate 1/s}\n quota a {rate 2/s burst 1}}":
        ("LL304", 3, 2, "during s"),
    "quota f { rate 3/s by key }": ("LL305", 2, 20, "no bound"),
    "quota f { rate 3/s by tenant quota a { rate 2/s by class } }": ("LL305", 2, 49, "inside another"),
    "quota f { rate 3 }": ("LL306", 2, 11, "needs a unit"),
    "quota f { rate 3/s burst 9/s }": ("LL306", 2, 20, "is a number of requests"),
    "quota f { rate 60/min burst 9 quota a { rate 60/min guaranteed 1/s } }":
        ("LL306", 2, 53, "an earlier rate in /min"),
    "quota f { rate 9/s quota a { guaranteed 5/s match class look } quota b { guaranteed 5/s } }":
        ("LL307", 2, 1, "guaranteed 10/s, it has 9/s"),
    "quota f { rate 9/s burst 2 quota a { guaranteed 1/s match class look } quota b { guaranteed 1/s } }":
        ("LL307", 2, 1, "need a burst of 3"),
    "quota f { rate 3/s match class look retry-after no }": ("LL308", 2, 1, "refuses look without"),
    "quota q { rate 1/s " * 9 + "}" * 9: ("LL309", 2, 153, "at most 8 deep"),
    "quota f { burst 3 }": ("LL309", 2, 1, "has no rate"),
    "quota f { rate 3/s rate 4/s }": ("LL309", 2, 20, "'rate' is stated twice"),
    "quota f { rate 3/s } quota f { rate 3/s }": ("LL309", 2, 22, "already a quota f"),
    "quota f { rate 3/s match address 10.0.0.1/8 }": ("LL309", 2, 34, "has host bits set"),
    "quota f { rate 3/s guaranteed 1/s }": ("LL309", 2, 20, "and f has none"),
    "quota f { rate 3/s quota a { borrows no } }": ("LL309", 2, 20, "would admit nothing"),
    "quota f { rate 3/s burst 0 }": ("LL309", 2, 20, "must be 1"),
    "quota f { rate 3/s by key most 0 }": ("LL309", 2, 32, "whole number from 1"),
    "schedule s: from 12-01 to 13-01": ("LL309", 2, 27, "no day 13-01"),
    "quota f { rate 3/s }\nexpect 4 of class look: admitted": ("LL310", 3, 1, "3 are admitted, refused by f"),
    "quota f { rate 3/s } quota g { rate 9/s }\nexpect 4 of class look: admitted 3 refused by g":
        ("LL310", 3, 1, "refused by f"),
    "quota f { rate 3/s }\nexpect class look: admitted charged nothing": ("LL310", 3, 1, "is charged f"),
}  # fmt: skip


@pytest.mark.parametrize("text", FAULTS)
def test_each_fault_has_its_code_and_place(text: str) -> None:
    code, line, column, word = FAULTS[text]
    policy, found = check_text('policy "p"\n' + text, KNOWN)
    assert policy is None
    assert [(one.code, one.place.line, one.place.column) for one in found] == [(code, line, column)]
    assert word in found[0].finding("f.policy").splitlines()[0]
    assert found[0].finding("f.policy").startswith(f"f.policy:{line}:{column}: {code} ")


def test_conflicts_with_the_settings_are_found() -> None:
    bare = KnownNames(CLASSES, TENANTS, ZONES, 0.0, False)
    text = 'policy "p"\nquota f { rate 3/s quota a { match second-try } }\nquota s { rate 3/s shadow }'
    with pytest.raises(BadPolicyError) as caught:
        load_policy(text, bare, "f.policy")
    assert [one.code for one in caught.value.findings] == ["LL308", "LL303"]
    assert str(caught.value).startswith("f.policy:2:1: LL308 ")
    assert str(caught.value).endswith("(and 1 more)")
    assert check_text(text.replace("3/s quota a { match second-try }", "3/s retry-after no"), bare)[1] == []
    with pytest.raises(PolicyFileError):
        load_policy_file(str(EXAMPLE) + ".gone", KNOWN)


def test_quotas_partly_covered_by_earlier_ones_are_reachable() -> None:
    for parts in (
        "quota a { match class look } quota b { match zone a } quota c { }",
        "quota a { match class look match key u } quota b { match class look } quota c { match class scan }",
        "quota a { match address 10.0.0.0/9, 10.128.0.0/9 } quota b { match address 10.0.0.0/8 }",
        "quota a { match tenant acme, bolt } quota b { }",
        "quota a { match second-try } quota b { match first-try match class look } quota c { }",
    ):
        assert check_text(f'policy "p" quota f {{ rate 3/s {parts} }}', KNOWN)[1] == []


def test_easter_and_the_weeks_before_feasts() -> None:
    dates = {1818: "03-22", 1961: "04-02", 1983: "04-03", 2000: "04-23", 2024: "03-31", 2026: "04-05",
             2038: "04-25", 2285: "03-22"}  # fmt: skip
    assert {year: easter(year).strftime("%m-%d") for year in dates} == dates
    before_easter, before_christmas = Schedule("e", "easter", 14), Schedule("a", "christmas", 28)
    over_new_year = Schedule("t", first=(12, 20), last=(1, 6))
    days = [datetime.date(2026, 1, 1) + datetime.timedelta(days=i) for i in range(365)]
    days_of = {
        one.name: [day for day in days if applies_on(one, day)]
        for one in (before_easter, before_christmas, over_new_year)
    }
    assert (days_of["e"][0], days_of["e"][-1]) == (datetime.date(2026, 3, 22), datetime.date(2026, 4, 4))
    assert (days_of["a"][0], days_of["a"][-1]) == (datetime.date(2026, 11, 27), datetime.date(2026, 12, 24))
    assert len(days_of["t"]) == 6 + 12
    assert applies_on(
        Schedule("long", "easter", 200), datetime.date(2026, 12, 1)
    )  # before the Easter of the next year
    assert schedule_combinations((before_easter, before_christmas, over_new_year)) == {
        frozenset(names) for names in ("", "e", "a", "t", "at")}  # fmt: skip
    assert schedules_on(
        (before_easter, before_christmas, over_new_year), datetime.date(2026, 12, 24)
    ) == frozenset("at")


def test_request_fields_of_an_expected_case() -> None:
    case = 'expect 2 of class look tenant acme key "a b" address ::1 second-try: admitted'
    policy, findings = read_policy(f'policy "p" {case}')
    assert findings == []
    assert policy.expected_cases[0].request == QuotaRequest("look", "acme", "", "a b", "::1", True)


def test_check_reports_policy_errors(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    config, policy = tmp_path / "config.json", tmp_path / "f.policy"
    asked = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    config.write_text(json.dumps(asked))
    command = ["check", f"--config={config}", f"--policy={policy}"]
    assert main(command) == 1
    assert "LL311" in capsys.readouterr().err
    policy.write_text('policy "p"\nquota f { rate 3/s match class lok }')
    assert main(command) == 1
    assert capsys.readouterr().err.startswith(f"{policy}:2:32: LL302 ")
    policy.write_text('policy "p"\nquota f { rate 3/s match class look }\nexpect class look: admitted')
    assert main(command) == 0
    assert "policy p, 1 quotas, 1 expected cases hold" in capsys.readouterr().out
