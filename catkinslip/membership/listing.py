"""The platform's instance list, which lags, and the own entry on this list."""

from collections.abc import Callable

from attrs import define
from returns.result import Success

from catkinslip.membership.members import MemberTable
from catkinslip.store.base import ListedInstance, ObjectStore

#: Reads in a row without the own entry after which the entry is written again.
MAX_ABSENT_READS = 2


@define
class InstanceList:
    """Read access to the instance list and upkeep of the own entry on it."""

    store: ObjectStore
    members: MemberTable
    is_backend: Callable[[str], bool]

    is_announced: bool = False
    #: Reads in a row without the own entry. The list lags, so one such read does not
    #: mean that the entry is lost.
    absent_reads: int = 0

    async def read(self) -> list[ListedInstance] | None:
        """Return the listed instances, or None if the list cannot be read.

        Writes the own entry before the first read, and again after MAX_ABSENT_READS
        reads in a row without the entry.
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
        """Write the own entry to the instance list, with its leaving flag."""
        result = await self.store.announce(self._own_entry())
        self.is_announced = isinstance(result, Success)
        self.absent_reads = 0

    def _own_entry(self) -> ListedInstance:
        own = self.members.own
        return ListedInstance(
            own.member_id, own.zone, own.address, own.control_address, own.leaving
        )
