# Every target installs what it needs into VENV; only Python 3.11 and make are required.
PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: install lint format test demo model bench-config bench-drain bench-members bench-probes clean

install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	touch $(STAMP)

lint: install
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: install
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

test: lint
	$(RUN) -m tests

demo: install
	$(RUN) -m standins.demo

bench-config: install
	$(RUN) -m benchmarks.configuration
	$(RUN) -m benchmarks.configuration_in_force

model: install
	$(RUN) -m model

bench-members: install
	$(RUN) -m benchmarks.peers
	$(RUN) -m benchmarks.failover

bench-drain: install
	$(RUN) -m benchmarks.drain

bench-probes: install
	$(RUN) -m benchmarks.probes

clean:
	rm -rf $(VENV) build
