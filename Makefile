PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo check format lint types test fuzz soak binary clean

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

demo: $(STAMP)
	$(BIN)/poplaryard demo

check: format lint types test

format: $(STAMP)
	$(BIN)/ruff format --check src tests

lint: $(STAMP)
	$(BIN)/ruff check src tests

types: $(STAMP)
	$(BIN)/mypy

test: $(STAMP)
	$(BIN)/python -m pytest

fuzz: $(STAMP)
	$(BIN)/poplaryard fuzz --seed 1 --steps 100000

soak: $(STAMP)
	$(BIN)/python -m tests.soak --seed 1 --count 50

binary: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv --quiet --console-script poplaryard --output-file dist/poplaryard.pyz \
		--reproducible --no-build-isolation --constraint requirements.lock .

clean:
	rm -rf $(VENV) build dist
