"""The platform's lagging list of instances, and this instance's line on it."""

from collections.abc import Callable

from attrs import define
from returns.result import Success

from catkinslip.membership.members import MemberTable
from catkinslip.store.base import ListedInstance, ObjectStore

MAX_ABSENT_READS = 2


@define
class InstanceList:
    """Read the list and keep this instance on it."""

    store: ObjectStore
    members: MemberTable
    is_backend: Callable[[str], bool]

    is_announced: bool = False
    #: Reads in a row that lacked this instance; the list lags, so one says little.
    absent_reads: int = 0

    async def read(self) -> list[ListedInstance] | None:
        """Return the listed instances, None when the list can't be read.

        This instance is announced first, and again when the list goes on lacking it.
        """
        if not self.is_announced or self.absent_reads >= MAX_ABSENT_READS:
            await self.announce()
        result = await self.store.list_instances()
        if not isinstance(result, Success):
            return None
        listed = result.unwrap()
        is_listed = self._own_entry() in listed
        self.absent_reads = 0 if is_listed else self.absent_reads + 1
        return [each for each in listed if not self.is_backend(each.name)]

    async def announce(self) -> None:
        """Put this instance on the list, as leaving if it is."""
        result = await self.store.announce(self._own_entry())
        self.is_announced = isinstance(result, Success)
        self.absent_reads = 0

    def _own_entry(self) -> ListedInstance:
        own = self.members.own
        return ListedInstance(
            own.member_id, own.zone, own.address, own.control_address, own.leaving
        )
