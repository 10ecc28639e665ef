# Every target sets up the virtual environment itself when it is missing or stale.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
BENCH_STAMP := $(VENV)/.bench-installed
SOURCES := $(shell find clementinespar -name '*.py' -not -path '*/tests/*')

.PHONY: setup test lint types check demo soak soak-moves soak-many soak-regressions review bench bench-capacity bench-takeover binary proto clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt -r requirements-dev.txt
	touch $(STAMP)

$(BENCH_STAMP): $(STAMP) requirements-bench.txt
	$(BIN)/pip install --quiet -r requirements-bench.txt
	touch $(BENCH_STAMP)

# A fixed hash seed gives the same order of sets, and so the same verdict, in each run.
test: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

check: test lint types

binary: dist/clementinespar

dist/clementinespar: $(STAMP) requirements.txt pyproject.toml $(SOURCES)
	rm -rf build dist
	mkdir -p dist
	$(BIN)/shiv --quiet -p '/usr/bin/env python3' -c clementinespar \
		-o dist/clementinespar -r requirements.txt . >/dev/null
	rm -rf build clementinespar.egg-info

demo: $(STAMP) dist/clementinespar
	$(BIN)/python -m demo --program dist/clementinespar

# One seed of the soak; without SEED, a fresh one.
soak: $(STAMP)
	PYTHONPATH=.:platform $(BIN)/python -m soak $(if $(SEED),--seed $(SEED))

# As above, while the queue moves between two pools and its requests arrive again.
soak-moves: $(STAMP)
	PYTHONPATH=.:platform $(BIN)/python -m soak --moves $(if $(SEED),--seed $(SEED))

soak-many: $(STAMP)
	PYTHONPATH=.:platform $(BIN)/python -m soak --seeds 50

soak-regressions: $(STAMP)
	PYTHONPATH=.:platform $(BIN)/python -m soak --regressions --seconds 8

# By hand before each landing; takes some five minutes and needs the build of deploy/system.toml.
review: $(STAMP)
	PYTHONPATH=.:platform $(BIN)/python -m soak.review_cases $(if $(JOBS),--jobs $(JOBS))

bench: $(BENCH_STAMP)
	$(BIN)/python -m bench

bench-capacity: $(BENCH_STAMP)
	$(BIN)/python -m bench.capacity

bench-takeover: $(STAMP)
	PYTHONPATH=.:platform $(BIN)/python -m bench.takeover

# Regenerates the committed gRPC code; only needed after a change of a .proto file.
proto: $(STAMP)
	$(BIN)/pip install --quiet -r requirements-codegen.txt
	PATH=$(abspath $(BIN)):$$PATH $(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
		--grpclib_python_out=. clementinespar/peers/peer.proto

clean:
	rm -rf $(VENV) build dist
