# Every target builds the environment it needs first.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: test check soak upgrade demo format binary generate matrix matrix-mutants golden \
  bench slopes experiments

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
	  --constraint constraints.txt --editable ".[dev]"
	touch $@

# Runs the tests, each module in a process of its own.
test: $(VENV)/.installed
	$(RUN) -m tests

# Checks format, style and types; changes nothing.
check: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

# Shows a whole deployment at work.
demo: $(VENV)/.installed
	$(VENV)/bin/acaciarack demo

# Builds the one-file program.
binary: $(VENV)/.installed
	$(RUN) packaging/build.py dist/acaciarack

# Generates the code of the operators' schema again.
generate: $(VENV)/.installed
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" buf generate

# Runs node processes under the faults of kept seeds; not part of CI.
soak: $(VENV)/.installed
	$(RUN) -m tests.soak --seed $$(cat tests/soak/seeds.txt)

# Replaces nodes of an earlier version by today's, and back; not part of CI.
upgrade: $(VENV)/.installed
	$(RUN) -m tests.upgrades.exchange
	$(RUN) -m tests.upgrades --back

# Runs the whole fault matrix.
matrix: $(VENV)/.installed
	$(RUN) -m tests.matrix

# Shows that each mechanism switched off turns the matrix red.
matrix-mutants: $(VENV)/.installed
	$(RUN) -m tests.matrix.mutants

# Writes the golden sessions again; read the difference before committing.
golden: $(VENV)/.installed
	$(RUN) -m tests.sessions

# Measures what relaying a token costs.
bench: $(VENV)/.installed
	$(RUN) -m acaciarack_bench.relay_cost

# Measures the slopes that docs/CAPACITY.md is worked out from.
slopes: $(VENV)/.installed
	$(RUN) -m acaciarack_bench.slopes --out out/slopes.json

# Compares the routing policies for both deployments.
experiments: $(VENV)/.installed
	$(VENV)/bin/acaciarack-bench experiment experiments/haugland.toml
	$(VENV)/bin/acaciarack-bench experiment experiments/coulee.toml
