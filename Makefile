.PHONY: build test lint run

build:  ## as the platform builds: .venv with what run and sim need
	sh -c "$$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"

.dev/built: requirements.txt requirements-dev.txt
	python3 -m venv .dev
	.dev/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	touch $@

test: .dev/built  ## every test, the process tests included
	.dev/bin/python -m pytest -q

lint: .dev/built
	.dev/bin/ruff check .
	.dev/bin/ruff format --check .
	.dev/bin/mypy

run: build  ## one proxy, by LB_CONFIG
	.venv/bin/python -m lupinlink serve
