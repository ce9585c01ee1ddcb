"""The laboratory's fault of second answers, on sockets."""

from __future__ import annotations

import json
import subprocess
import sys

from tests.proxy_process import ROOT

WORDS = ("run", "second-answers", "--drive=sockets", "--json", "--set=seconds=8", "--seed=3",
         "--set=faults.again.at_s=1", "--set=faults.again.for_s=6",
         "--set=faults.again.share=0.2")  # fmt: skip


# Guards against second answers that are taken for those to other requests.
def test_second_answers_break_no_rule_on_sockets() -> None:
    command = [sys.executable, "-m", "lupinlink", "lab", *WORDS]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=90)
    found = json.loads(run.stdout)
    assert (run.returncode, sum(found["rules_broken"].values())) == (0, 0), found["broken"][:3]
    assert found["tally"]["served"] > 0.9 * found["tally"]["firsts"]
