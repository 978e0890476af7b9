# `make demo` and `make test` require only Python 3.11 and pip.
PYTHON ?= python3.11
DEPLOYMENT ?= pacifico
# `own` for this project's interfaces, `platform` for the users' platform's.
DIALECT ?= own
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint clean

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --prefer-binary --editable '.[dev]'
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
