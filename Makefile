# `make demo` and `make test`; each makes .venv from the pinned requirements if it isn't there.
PYTHON ?= python3
VENV := .venv
MADE := $(VENV)/.made

.PHONY: demo test soak bench

$(MADE): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -r requirements-dev.txt
	touch $(MADE)

demo: $(MADE)
	$(VENV)/bin/python -m saltport demo $(ARGS)

test: $(MADE)
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy
	$(VENV)/bin/pytest -q -n 8 --dist loadfile --no-loadscope-reorder

soak: $(MADE)
	$(VENV)/bin/python -m benchmarks.soak $(ARGS)

bench: $(MADE)
	$(VENV)/bin/python -m benchmarks.relay
	$(VENV)/bin/python -m benchmarks.decisions
	$(VENV)/bin/python -m benchmarks.startup
