VENV ?= .venv
PYTHON ?= python3

.PHONY: setup demo test lint

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --requirement requirements.lock
	$(VENV)/bin/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

setup: $(VENV)/.ready

demo: setup
	$(VENV)/bin/paddle-demo $(DEMO_OPTIONS)

test: setup
	$(VENV)/bin/python -m tests

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/flake8 sapphirepaddle tests bench soak
	$(VENV)/bin/mypy
