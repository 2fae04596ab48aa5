# build creates the virtual environment with what the tests need. run starts the balancer with the configuration
# that GW_CONFIG names, or the demonstration where GW_CONFIG is not set.
PY = .venv/bin/python

# The folder of the test bench's kit. sites copies the kit's site files to deploy/sites, where git ignores them.
KIT = ../given/kit

.PHONY: build test lint run sites

build:
	test -x $(PY) || python3 -m venv .venv
	$(PY) -m pip -q install -r requirements-dev.txt

test: build
	PATH="$(CURDIR)/.venv/bin:$$PATH" bash tests/run.sh

lint: build
	PATH="$(CURDIR)/.venv/bin:$$PATH" sh -c 'ruff check . && ruff format --check . && mypy'

run: build
	exec $(PY) -m walkloom $(if $(GW_CONFIG),,demo)

sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
