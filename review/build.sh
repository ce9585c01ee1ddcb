#!/bin/sh
# Builds the stand-ins of all cases: Python of the standard library, run by the interpreter of the deploy
# file's build. So there is nothing to build but to check that they compile there.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
