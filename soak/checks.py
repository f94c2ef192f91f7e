"""Checks of the guarantees against the records of callers and servers."""

from collections.abc import Iterator

from soak.callers import Callers, Outcome
from soak.world import World

#: Minimum share of the requests after all faults that must be answered.
RECOVERED_SHARE = 0.95


def find_violations(world: World, callers: Callers) -> Iterator[str]:
    """Yield each violated guarantee about a single request."""
    yield from callers.violations
    for request in callers.requests:
        runs = world.runs(request.request_id)
        if runs > 1 and not request.is_idempotent:
            yield f'{request.request_id} ran {runs} times'
        if request.outcome is Outcome.NOT_RUN and runs and not request.is_idempotent:
            yield f'{request.request_id} was answered with {request.status} and ran'
        if request.outcome is Outcome.ANSWERED and not runs:
            yield f'{request.request_id} was answered and never ran'


def find_unexpected_exits(world: World) -> Iterator[str]:
    """Yield the instances whose processes exited unexpectedly."""
    for instance in world.instances:
        code = instance.process.poll()
        if code is not None and not instance.exit_reason:
            yield f'{instance.name} exited unexpectedly with code {code}'


def find_unrecovered(callers: Callers, since: float) -> Iterator[str]:
    """Yield a violation if too few requests were answered after all faults."""
    late = [each for each in callers.requests if each.sent_at >= since and each.outcome]
    answered = sum(each.outcome is Outcome.ANSWERED for each in late)
    if not late or answered < RECOVERED_SHARE * len(late):
        yield f'only {answered} of {len(late)} requests answered after all faults'
