# `make demo` runs a rollout under live calls; `make test` runs the tests.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
ARGS ?=

.PHONY: setup demo test lint protocol bench

setup: $(VENV)/.stamp

$(VENV)/.stamp: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

demo: setup
	@$(BIN)/bamboolever demo $(ARGS)

test: setup
	$(BIN)/python -m pytest $(ARGS)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

# Needs thrift-compiler. The generated code is committed, so no other target needs it.
protocol:
	rm -rf build/protocol && mkdir -p build/protocol
	thrift --gen py:slots -out build/protocol protocol/bamboolever.thrift
	thrift --gen py:slots -out build/protocol protocol/exchange.thrift
	cp build/protocol/protocol/*.py src/bamboolever/_protocol/
	mkdir -p src/bamboolever/_exchange_protocol
	cp build/protocol/exchange_protocol/*.py src/bamboolever/_exchange_protocol/

bench: setup
	@$(BIN)/bamboolever bench $(ARGS)
