VENV ?= .venv
BIN := $(VENV)/bin
export PYTHONPATH := src

.PHONY: setup demo test lint format bench package

setup:
	VENV=$(VENV) bash scripts/setup.sh

demo: setup
	VENV=$(VENV) bash scripts/demo.sh

lint: setup
	$(BIN)/black --check --quiet src tests scripts || $(BIN)/black --check src tests scripts
	$(BIN)/ruff check --no-cache src tests scripts
	$(BIN)/mypy

format: setup
	$(BIN)/black --quiet src tests scripts
	$(BIN)/ruff check --no-cache --fix src tests scripts

test: lint
	$(BIN)/python -m pytest

package: setup
	VENV=$(VENV) bash scripts/package.sh
