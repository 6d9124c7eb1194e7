PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SEED ?= 1
QUICK ?=
WORKERS ?= 6
SECONDS ?= 600

.PHONY: help setup test lint types check format demo report capacity soak soak-gateways clean

help:  ## list the targets
	@grep -hE '^[a-z-]+%?:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /  /'
	@echo 'bench-NAME  run benchmarks/NAME.py (SEED=n QUICK=1)'

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps -e .
	@touch $@

setup: $(VENV)/.installed  ## make the virtual environment with the pinned libraries

test: setup  ## run unit tests, failure tests, model checks and doctests
	$(BIN)/python -m pytest -q -n $(WORKERS) --dist loadgroup

lint: setup  ## check formatting and lint rules
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup  ## check types
	$(BIN)/mypy carobroute

check: lint types test  ## everything that CI runs

format: setup  ## format the code and apply safe lint fixes
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup  ## run the whole path as separate processes
	$(BIN)/python -m benchmarks.demo

report: setup  ## run every benchmark with --quick and write docs/REPORT.md
	$(BIN)/python -m benchmarks.report

capacity: setup  ## regenerate the tables and plots of docs/CAPACITY.md
	$(BIN)/python -m benchmarks.capacity --seed $(SEED)

soak: setup  ## run both desks under random pairs of faults (SECONDS=n SEED=n)
	$(BIN)/python -m benchmarks.soak --seconds $(SECONDS) --seed $(SEED)

soak-gateways: setup  ## run gateways under random faults (SECONDS=n SEED=n)
	$(BIN)/python -m benchmarks.gateway_soak --seconds $(SECONDS) --seed $(SEED)

bench-%: setup  ## run one benchmark
	$(BIN)/python -m benchmarks.$(subst -,_,$*) --seed $(SEED) $(if $(QUICK),--quick)

clean:  ## remove the virtual environment and caches
	rm -rf $(VENV) build dist *.egg-info .pytest_cache .mypy_cache .ruff_cache
