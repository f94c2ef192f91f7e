"""Check every specification, and print a summary line at the end."""

import sys
import time

from attrs import define

from model.checker import (
    MAX_STEPS,
    find_counterexample,
    find_gaps,
    find_run,
    make_state,
)
from model.config_changes import ConfigChangeSpecification
from model.config_gossip import ConfigGossipSpecification
from model.lease import LeaseSpecification
from model.quotas import QuotaSpecification
from model.records import RecordSpecification
from model.relays import RelaySpecification
from model.senders import SenderSpecification
from model.specification import Specification
from model.tickets import TicketSpecification

SPECIFICATIONS = (
    TicketSpecification,
    RecordSpecification,
    ConfigChangeSpecification,
    ConfigGossipSpecification,
    LeaseSpecification,
    SenderSpecification,
    QuotaSpecification,
    RelaySpecification,
)


@define
class Summary:
    """Counts of the properties, mutants and mistakes of all specifications."""

    properties: int = 0
    guards: int = 0
    mistakes: int = 0

    def check(self, kind: type[Specification]) -> None:
        """Check one specification and its mutants, and print the results."""
        self._check_proof(kind())
        for name, guard in kind.guard_by_name.items():
            self.guards += 1
            run = find_counterexample(kind(without=name))
            if run is None:
                self.mistakes += 1
                print(f'  SURVIVES without {name}: {guard.violates!r} was not violated')
                continue
            steps = ', '.join(run.actions())
            print(f'  refuted without {name} ({guard.reason}),')
            print(f'    not {guard.violates!r} after {len(run.steps)} steps: {steps}')

    def _check_proof(self, specification: Specification) -> None:
        state = make_state(specification.initial_values(), 'any')
        properties = list(specification.properties(state))
        actions = list(specification.actions(state))
        print(
            f'{specification.name}: {specification.bounds}; '
            f'{len(state)} variables, {len(actions)} actions'
        )
        gaps = find_gaps(specification)
        for gap in gaps:
            print(f'  GAP {gap}')
        self.mistakes += len(gaps)
        self.properties += len(properties)
        if not gaps:
            print(f'  proved for runs of any length: {", ".join(properties)}')
        for goal in specification.goals(state):
            run = find_run(specification, lambda s, g=goal: specification.goals(s)[g])
            self.mistakes += run is None
            found = 'NOT REACHED' if run is None else f'{len(run.steps)} steps'
            print(f'  reached: {goal}, {found}')


def main() -> int:
    """Check all specifications; return 0 if all proofs hold and mutants are refuted."""
    summary = Summary()
    began = time.monotonic()
    for kind in SPECIFICATIONS:
        start = time.monotonic()
        summary.check(kind)
        print(f'  {time.monotonic() - start:.1f} s')
    seconds = time.monotonic() - began
    print(
        f'model: {len(SPECIFICATIONS)} specifications, '
        f'{summary.properties} properties proved, {summary.guards} mutants, '
        f'{summary.mistakes} mistakes, searches up to {MAX_STEPS} steps, '
        f'{seconds:.1f} s'
    )
    return 1 if summary.mistakes else 0


if __name__ == '__main__':
    sys.exit(main())
