#!/bin/sh
# The stand-ins of the cases 6 to 10 are scripts of the standard library: they are only looked at here.
# Run after the build line of deploy/balancer.toml, which makes .venv.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -c "import review.stand2.deployment"
