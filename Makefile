VENV := .venv
BIN := $(VENV)/bin
PYTHON ?= python3

.PHONY: demo test lint counts unit bench bench-check report failures binary upgrade schema lock format explore

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/oleanderbay demo

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

unit: $(VENV)/.installed
	$(BIN)/python -m pytest

counts: $(VENV)/.installed
	$(BIN)/python -m bench --counts --check

# The deterministic counts come before the tests, whose summary closes the run.
test: lint counts unit

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(VENV)/.installed
	$(BIN)/python -m bench

bench-check: $(VENV)/.installed
	$(BIN)/python -m bench --check

report: $(VENV)/.installed
	$(BIN)/python -m bench --report

failures: $(VENV)/.installed
	$(BIN)/python -m bench.failures

# Searches interleavings of faults for one that breaks a rule of groups, such as
# make explore EXPLORE="--seconds 600 --jobs 4".
EXPLORE ?= --seconds 60
explore: $(VENV)/.installed
	$(BIN)/python -m tests.gateway.explore_group_runs $(EXPLORE)

binary: $(VENV)/.installed
	$(BIN)/python -m bench.binary

# Replaces gateways of an earlier version under load; needs COMMIT.
upgrade: $(VENV)/.installed
	$(BIN)/python -m bench.upgrade_trial $(COMMIT) $(OPTIONS)

# The generated code is committed; run this only after changing the schema.
schema: $(VENV)/.installed
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --grpc_python_out=. \
	  oleanderbay/schema/operators.proto

# Regenerates the pinned dependencies, and from them those of the gateway
# alone; needs pip-tools in the environment.
lock:
	CUSTOM_COMPILE_COMMAND="make lock" pip-compile -q --extra dev --generate-hashes --allow-unsafe \
	  --no-emit-index-url --no-emit-find-links --no-emit-trusted-host \
	  --strip-extras -o requirements.lock pyproject.toml
	$(PYTHON) -m scripts.gateway_requirements
