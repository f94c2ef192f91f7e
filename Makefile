# Every target installs what it needs into VENV; only Python 3.11 to 3.13 and make are required.
PYTHON ?= python3
VENV ?= .venv
RUN = $(VENV)/bin/python
STAMP = $(VENV)/.installed

.PHONY: install
install: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt --editable .
	touch $(STAMP)

.PHONY: lint
lint: install
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

.PHONY: format
format: install
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

.PHONY: test
test: lint
	$(RUN) -m tests

.PHONY: demo
demo: install
	$(RUN) -m standins.demo
	$(RUN) -m soak.demo

.PHONY: bench-logs
bench-logs: install
	$(RUN) -m benchmarks.logs

.PHONY: bench-config
bench-config: install
	$(RUN) -m benchmarks.configuration
	$(RUN) -m benchmarks.configuration_in_force

.PHONY: bench-policy
bench-policy: install
	$(RUN) -m benchmarks.policy --processes 12

.PHONY: bench-fleet
bench-fleet: install
	$(RUN) -m benchmarks.fleet

.PHONY: model
model: install
	$(RUN) -m model

.PHONY: bench-members
bench-members: install
	$(RUN) -m benchmarks.peers
	$(RUN) -m benchmarks.store_calls
	$(RUN) -m benchmarks.failover

.PHONY: bench-drain
bench-drain: install
	$(RUN) -m benchmarks.drain

.PHONY: bench-probes
bench-probes: install
	$(RUN) -m benchmarks.probes

.PHONY: bench-path
bench-path: install
	$(RUN) -m benchmarks.path

.PHONY: bench-tickets
bench-tickets: install
	$(RUN) -m benchmarks.tickets

.PHONY: clean
clean:
	rm -rf $(VENV) build

.PHONY: bench-limits
bench-limits: install
	$(RUN) -m benchmarks.limits --seeds 3 --processes 12

.PHONY: bench-throttling
bench-throttling: install
	$(RUN) -m benchmarks.throttling

.PHONY: soak
soak: install
	$(RUN) -m soak --seeds $(SEED)

.PHONY: bench-overload
bench-overload: install
	$(RUN) -m benchmarks.overload --ablation --bound

.PHONY: bench-quotas
bench-quotas: install
	$(RUN) -m benchmarks.quotas
