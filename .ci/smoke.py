"""Build and start the adapter as deploy/balancer.toml says, and have it answer a small batch."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

root = Path(__file__).resolve().parent.parent
deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
assert set(deploy) == {"build", "run", "sim", "policy", "node", "packages"}, sorted(deploy)
subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=root, check=True)
settings = json.dumps({"Classes": [{"AimMs": 300.0, "HardLimitMs": 1000.0, "Effect": "pure"}]})
batch = f"""BEGIN_BATCH 100.0
CREATE node_0 7 {settings}
UPDATE node_0 1 1 1
SERVER server.a 0 0 0 1 1 -
SUBMIT node_0 00000000000000aa 0 - - 1100.0 - 0 0
YOUR_TURN
"""
done = subprocess.run(
    ["/bin/sh", "-c", deploy["sim"]], cwd=root, input=batch, capture_output=True, text=True, timeout=60
)
lines = done.stdout.splitlines()
if (
    done.returncode
    or "SUBMIT_TO node_0 00000000000000aa server.a 1000.000" not in lines
    or lines[-1] != "YIELD"
):
    sys.exit(f"adapter failed: {done.returncode} {done.stdout!r} {done.stderr!r}")
print("deploy/balancer.toml starts the adapter; a small batch was answered")
