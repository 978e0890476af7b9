# `make demo` and `make test` need nothing but Python 3.11 and pip.
PYTHON ?= python3.11
DEPLOYMENT ?= pacifico
# own, or platform for the interfaces of the users' platform.
DIALECT ?= own
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: $(VENV)/.installed
ifeq ($(DIALECT),platform)
	$(BIN)/python -m standins.platform_demo
else
	$(BIN)/python -m standins.demo --deployment $(DEPLOYMENT)
endif

test: $(VENV)/.installed
	$(BIN)/python -m nose2 --start-dir briartack/test --top-level-directory .

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .
	$(BIN)/mypy

clean:
	rm -rf $(VENV)
