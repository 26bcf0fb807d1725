PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
SOURCES = packages/rhubarbbank-core/src packages/rhubarbbank-runtime/src \
  packages/rhubarbbank-router/src packages/rhubarbbank-entry/src \
  packages/rhubarbbank-sidecar/src platform \
  standins/src experiments/src
empty :=
space := $(empty) $(empty)
export PYTHONPATH = $(subst $(space),:,$(foreach s,$(SOURCES),$(CURDIR)/$(s)))
export UV_USE_IO_URING = 0
export PYTHONHASHSEED = 0

.PHONY: setup demo test quick format lint types

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
	  $(foreach s,$(filter %/src,$(SOURCES)),-e $(dir $(s)))
	touch $@

demo: setup
	$(BIN)/python -m rhubarbbank_experiments demo

test: setup
	$(BIN)/python -m rhubarbbank_experiments.run_features

# The scenarios that need no processes; for a check after each change.
quick: setup
	$(BIN)/python -m rhubarbbank_experiments.run_features --tags=quick

format: setup
	$(BIN)/ruff format --check .

lint: setup
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy $(SOURCES) deploy/build_release.py
