"""Count the calls of the platform, a waiting watch as one."""

from collections.abc import Iterable

from attrs import Factory, define
from returns.result import Failure, Result

from catkinslip.metrics.base import Family, MetricSource, counter
from catkinslip.store.base import PlatformError
from catkinslip.store.wrapped import Answer, Send, WrappedStore

ANSWERED = 'answered'


@define
class CountedStore(WrappedStore, MetricSource):
    """Pass calls on to a store and count them by operation and outcome."""

    count_by_call: dict[tuple[str, str], int] = Factory(dict)

    def families(self) -> Iterable[Family]:
        """Return the measured values of now."""
        family = counter(
            'catkinslip_platform_calls_total',
            'Calls of the platform; those over budget were not sent.',
            'operation',
            'outcome',
        )
        for (operation, outcome), count in sorted(self.count_by_call.items()):
            family.add(count, operation, outcome)
        yield family

    async def _call(
        self, operation: str, send: Send[Answer]
    ) -> Result[Answer, PlatformError]:
        result = await send()
        outcome = ANSWERED
        if isinstance(result, Failure):
            outcome = type(result.failure()).__name__
        counted = (operation, outcome)
        self.count_by_call[counted] = self.count_by_call.get(counted, 0) + 1
        return result
