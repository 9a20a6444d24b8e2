PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test check bench faults soak

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python scripts/demo.py tiszavolgyi

test: $(VENV)/.installed
	$(BIN)/python -m pytest -m 'not crowd'
	$(BIN)/python -m pytest -m crowd -n 0

check: $(VENV)/.installed
	$(BIN)/black --check --quiet src tests scripts bench
	$(BIN)/ruff check src tests scripts bench
	$(BIN)/mypy

faults: $(VENV)/.installed
	$(BIN)/python -m tests.faults > docs/FAULTS.md

bench: $(VENV)/.installed
	$(BIN)/python -m bench.slopes

soak: $(VENV)/.installed
	$(BIN)/python -m tests.soak
