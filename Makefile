# Two commands do all set-up: `make demo` and `make test`.

VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench clean

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	@$(PY) -m carawayhub demo

lint: $(STAMP)
	$(PY) -m black --check carawayhub tests benchmarks
	$(PY) -m ruff check carawayhub tests benchmarks
	$(PY) -m mypy

test: lint
	$(PY) -m tests

format: $(STAMP)
	$(PY) -m black --quiet carawayhub tests benchmarks
	$(PY) -m ruff check --fix carawayhub tests benchmarks

bench: $(STAMP)
	$(PY) -m benchmarks

clean:
	rm -rf $(VENV)
