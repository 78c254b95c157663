PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint format bench clean

setup: .venv/.installed

.venv/.installed: requirements.txt constraints.txt packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -c constraints.txt -r requirements.txt
	touch $@

demo: setup
	$(BIN)/python -m standins.demo

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m features.run

bench: setup
	$(BIN)/python -m bench.run

clean:
	rm -rf .venv .demo
