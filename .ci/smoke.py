"""Smoke test: builds and starts the adapter and the proxy with the commands of deploy/balancer.toml."""

import json
import os
import subprocess
import sys
import tempfile
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
adapter = subprocess.run(
    ["/bin/sh", "-c", deploy["sim"]], cwd=root, input=batch, capture_output=True, text=True, timeout=60
)
lines = adapter.stdout.splitlines()
if (
    adapter.returncode
    or "SUBMIT_TO node_0 00000000000000aa server.a 1000.000" not in lines
    or lines[-1] != "YIELD"
):
    sys.exit(f"adapter failed: {adapter.returncode} {adapter.stdout!r} {adapter.stderr!r}")
print("deploy/balancer.toml starts the adapter; a small batch was answered")

config = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "settings": {"Classes": [{"Name": "look", "HardLimitMs": 1000.0, "Effect": "pure"}]},
}
with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
    json.dump(config, file)
    file.flush()
    env = {"PATH": os.environ["PATH"], "LB_CONFIG": file.name}
    proxy = subprocess.Popen(
        ["/bin/sh", "-c", deploy["run"]], cwd=root, env=env, stderr=subprocess.PIPE, text=True
    )
    assert proxy.stderr is not None
    log_lines: list[str] = []
    # readline returns an empty text at the end of the output.
    while not log_lines or (log_lines[-1] and "msg=serving" not in log_lines[-1]):
        log_lines.append(proxy.stderr.readline())
    proxy.terminate()
    rest = proxy.communicate(timeout=60)[1]
if "msg=serving" not in log_lines[-1] or proxy.returncode:
    sys.exit(f"proxy failed: {proxy.returncode} {log_lines!r} {rest!r}")
print("deploy/balancer.toml starts the proxy; it served and ended on SIGTERM")
