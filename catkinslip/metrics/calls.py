"""Metric family of calls to the platform; a pending watch counts as one call."""

from collections.abc import Mapping

from returns.result import Failure, Result

from catkinslip.metrics.base import Family, counter

ANSWERED = 'answered'


def call_outcome(result: Result) -> str:
    """Return the outcome label of a platform call: answered or its error type."""
    failed = isinstance(result, Failure)
    return type(result.failure()).__name__ if failed else ANSWERED


def calls_family(count_by_call: Mapping[tuple[str, str], int]) -> Family:
    """Return the family of platform calls by operation and outcome."""
    family = counter(
        'catkinslip_platform_calls_total',
        'Calls of the platform; those over budget were not sent.',
        'operation',
        'outcome',
    )
    for (operation, outcome), count in sorted(count_by_call.items()):
        family.add(count, operation, outcome)
    return family
