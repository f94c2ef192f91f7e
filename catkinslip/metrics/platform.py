"""Count of calls to the platform; a pending watch counts as one call."""

from collections.abc import Iterable

from attrs import Factory, define
from returns.result import Result

from catkinslip.metrics.base import Family, MetricSource
from catkinslip.metrics.calls import call_outcome, calls_family
from catkinslip.store.base import PlatformError
from catkinslip.store.wrapped import Answer, Send, WrappedStore


@define
class CountedStore(WrappedStore, MetricSource):
    """Store that forwards calls to another store and counts them."""

    count_by_call: dict[tuple[str, str], int] = Factory(dict)

    def families(self) -> Iterable[Family]:
        """Return the current metric families."""
        yield calls_family(self.count_by_call)

    async def _call(
        self, operation: str, send: Send[Answer]
    ) -> Result[Answer, PlatformError]:
        result = await send()
        call = (operation, call_outcome(result))
        self.count_by_call[call] = self.count_by_call.get(call, 0) + 1
        return result
