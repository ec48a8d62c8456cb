PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint types format spec spec-traces soak platform-soak guards examples \
	experiment bench-placement bench-replay bench-requests bench-cell bench-explain capacity clean

# Run the whole path on loopback, and end.
demo: $(STAMP)
	$(BIN)/python -m bench.demo

# Formatter, linter, types, model checks and features; what CI runs.
test: $(STAMP) lint types spec
	$(BIN)/python -m features.run

# Model checks; spec-traces shows each mutant's counterexample.
spec: $(STAMP)
	$(BIN)/python -m spec.run

spec-traces: $(STAMP)
	$(BIN)/python -m spec.run --traces

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .

types: $(STAMP)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --fix-only .
	$(BIN)/ruff format .

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(STAMP)

clean:
	rm -rf $(VENV) build *.egg-info

# Placement decisions, packing, waiting and fairness, in virtual time.
bench-placement: $(STAMP)
	$(BIN)/python -m bench.placement

# The cell's decisions against drawn arrivals, beside simpler policies; LOAD is quiet,
# bursts, outage, zones or backlog.
LOAD ?= bursts
bench-replay: $(STAMP)
	$(BIN)/python -m bench.replay --load $(LOAD) --seconds 20 --seed $(SEED)

# Ways of deciding on the same drawn days, with confidence intervals and a plot; ARGS as
# --load 'hot account' --way 'as built' --way 'no shares' --seeds 4.
experiment: $(STAMP)
	$(BIN)/python -m bench.experiment $(ARGS)

# Example settings and contracts, written again.
examples: $(STAMP)
	$(BIN)/python -m bench.make_examples

# Random faults on a whole cell; SEED and SECONDS may be given.
SEED ?= 1
SECONDS ?= 60
soak: $(STAMP)
	$(BIN)/python -m bench.soak --seed $(SEED) --seconds $(SECONDS)

# Random faults on entry hosts and their platform; SEED, SECONDS and ARGS (--restarts,
# --accounts) may be given.
platform-soak: $(STAMP)
	$(BIN)/python -m bench.platform_soak --seed $(SEED) --seconds $(SECONDS) $(ARGS)

# What a daemon adds to a request, against calling the runner directly.
bench-requests: $(STAMP)
	$(BIN)/python -m bench.requests

# Idle cost, control bytes, take-over and publication times, appends.
bench-cell: $(STAMP)
	$(BIN)/python -m bench.cell

# How long the story of a job takes on logs of 100 MB, and how much memory.
bench-explain: $(STAMP)
	$(BIN)/python -m bench.explain

# Slopes of the idle cost, the cost at letter 1's size, and docs/capacity.png.
capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

# Weakens one guard at a time; the feature that is meant for it must fail.
guards: $(STAMP)
	$(BIN)/python -m bench.guards
