"""The simulator's adapter: its protocol, isolation of nodes, determinism, and messages on invalid input."""

from __future__ import annotations

import contextlib
import io
import json
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lupinlink.adapter import NodeHost, SimulatorProtocolError
from lupinlink.settings import Effect, parse_settings

SETTINGS = json.dumps(
    {
        "Classes": [{"AimMs": 300.0, "HardLimitMs": 1000.0, "Effect": "pure", "Novel": 1}],
        "Limits": {"AttemptsCap": 3, "Cancel": True, "Probes": True},
        "Report": {"How": "answers", "Fields": ["rif"]},
        "Unknown": {"x": 1},
    }
)
ROOT = Path(__file__).resolve().parent.parent


def create(node: str, seed: int = 7) -> str:
    return (
        f"CREATE {node} {seed} {SETTINGS}\n"
        f"UPDATE {node} 1 41 2\nSERVER server.a 0 0 0 1 1 -\nSERVER server.b 0 0 0 1 1.5 6100.0\n"
    )


def run(text: str) -> str:
    output = io.StringIO()
    NodeHost().serve(io.StringIO(text), output)
    return output.getvalue()


def batch(now: float, body: str) -> str:
    return f"BEGIN_BATCH {now}\n{body}YOUR_TURN\n"


BATCHES = (
    batch(0.0, create("node_1"))
    + batch(5.0, "SUBMIT node_1 00aa 0 - - 1005.0 - 0 0\n")
    + batch(25.0, "RESOLVED node_1 00aa OK 18.5 0 1 server.a rif:3,new:9\n")
    + batch(30.0, "ECHO node_1 server.a 1.4 OK rif:7\nALARM node_1 99\nTIMED_OUT_CLIENT node_1 00aa\n")
)


def test_empty_batch() -> None:
    assert run("BEGIN_BATCH 8412.25\nYOUR_TURN\n") == "YIELD\n"


def test_a_request_is_sent_and_each_batch_answered() -> None:
    reply = run(BATCHES)
    assert reply.count("YIELD\n") == 4 and "SUBMIT_TO node_1 00aa server." in reply


def test_a_node_acts_the_same_alone_or_beside_another() -> None:
    def renamed(text: str) -> str:
        return text.replace("node_1", "node_2")

    body = create("node_1") + create("node_2")
    requests = "".join(f"SUBMIT node_1 {i:04x} 0 - - 2000.0 - 0 0\n" for i in range(20))
    both = run(batch(0.0, body) + batch(1.0, requests + renamed(requests)))
    alone = run(batch(0.0, create("node_1")) + batch(1.0, requests))
    assert [x for x in both.splitlines() if " node_1 " in x] == [
        x for x in alone.splitlines() if " node_1 " in x
    ]


def test_defaults_and_unknown_keys() -> None:
    got = parse_settings('{"Classes": [{"HardLimitMs": 500, "Surprise": []}], "More": 1}')
    assert got.classes[0].effect == Effect.UNSAFE and got.max_attempts == 1 and not got.may_probe


@pytest.mark.parametrize(
    "text",
    [
        "HELLO\n",
        batch(0.0, "SUBMIT node_9 00aa 0 - - 1.0 - 0 0\n"),
        batch(0.0, "CREATE node_1 7 {not json\n"),
        batch(0.0, 'CREATE node_1 7 {"Classes": []}\n'),
        batch(0.0, create("node_1") + "SUBMIT node_1 00aa\n"),
        batch(0.0, create("node_1") + "RESOLVED node_1 00aa WEIRD 1 0 1 server.a -\n"),
        batch(0.0, create("node_1") + "UPDATE node_1 2 1 3\nSERVER server.a 0 0 0 1 1 -\n"),
        "BEGIN_BATCH 1.0\n",
    ],
)
def test_malformed_input_stops_with_one_plain_line(text: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "lupinlink.adapter"], input=text, capture_output=True, text=True, cwd=ROOT
    )
    assert done.returncode != 0 and done.stdout == ""
    assert done.stderr.startswith("lupinlink: line ") and done.stderr.count("\n") == 1


def test_an_exception_in_the_decision_module_is_reported_for_its_node() -> None:
    reply = run(batch(0.0, create("node_1") + "SUBMIT node_1 00aa 5 - - 1.0 - 0 0\n"))
    assert "BROKEN node_1 IndexError" in reply and reply.endswith("YIELD\n")


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.text(alphabet="SUBMITRESOLVD node_1 0a:-.5\n{}", max_size=120))
def test_fuzzed_lines_never_produce_a_partial_reply(noise: str) -> None:
    output = io.StringIO()
    with contextlib.suppress(SimulatorProtocolError, ValueError, KeyError, IndexError):
        NodeHost().serve(io.StringIO(batch(0.0, create("node_1")) + batch(1.0, noise + "\n")), output)
    assert output.getvalue().endswith("YIELD\n")


def test_readme_example_runs() -> None:
    readme = (ROOT / "README.md").read_text()
    code = readme.split("```python\n")[1].split("```")[0]
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 0 and done.stdout == "True\n", done.stderr
