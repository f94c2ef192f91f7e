"""The promises, checked against what callers and servers saw."""

from collections.abc import Iterator

from soak.callers import Callers, Told
from soak.world import World

#: Share of the requests after all faults that must be answered.
RECOVERED_SHARE = 0.95


def find_broken(world: World, callers: Callers) -> Iterator[str]:
    """Yield each broken promise about single requests."""
    yield from callers.violations
    for request in callers.requests:
        runs = world.runs(request.request_id)
        if runs > 1 and not request.is_idempotent:
            yield f'{request.request_id} ran {runs} times'
        if request.told is Told.NOT_RUN and runs and not request.is_idempotent:
            yield f'{request.request_id} was told {request.status} and ran'
        if request.told is Told.ANSWERED and not runs:
            yield f'{request.request_id} was answered and never ran'


def find_ended(world: World) -> Iterator[str]:
    """Yield the instances that ended by themselves."""
    for instance in world.instances:
        code = instance.process.poll()
        if code is not None and not instance.may_end:
            yield f'{instance.name} ended by itself with {code}'


def find_unrecovered(callers: Callers, since: float) -> Iterator[str]:
    """Yield whether too few requests are answered after all faults."""
    late = [each for each in callers.requests if each.sent_at >= since and each.told]
    answered = sum(each.told is Told.ANSWERED for each in late)
    if not late or answered < RECOVERED_SHARE * len(late):
        yield f'only {answered} of {len(late)} requests answered after all faults'
