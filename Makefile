# Every target builds the environment it needs first.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: test check demo format binary

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
	  --constraint constraints.txt --editable ".[dev]"
	touch $@

test: $(VENV)/.installed
	$(RUN) -m tests

check: $(VENV)/.installed
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(VENV)/.installed
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: $(VENV)/.installed
	$(VENV)/bin/acaciarack demo

binary: $(VENV)/.installed
	$(RUN) packaging/build.py dist/acaciarack
