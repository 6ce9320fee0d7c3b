VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup test demo check format proto

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --require-hashes -r requirements.lock
	$(PYTHON) -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

test: setup
	$(PYTHON) -m pytest

demo: setup
	$(VENV)/bin/lycheestair demo --deployment zecca
	$(VENV)/bin/lycheestair demo --deployment vakharia

check: setup
	$(VENV)/bin/pyink --check -q src tests
	$(VENV)/bin/ruff check src tests
	$(VENV)/bin/mypy src

format: setup
	$(VENV)/bin/pyink -q src tests
	$(VENV)/bin/ruff check --fix -q src tests

proto: setup
	$(PYTHON) -m grpc_tools.protoc -I src --python_out=src --pyi_out=src \
	  --grpc_python_out=src src/lycheestair/*.proto
