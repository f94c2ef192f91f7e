"""The platform's instance list, which lags, and this instance's entry on it."""

from collections.abc import Callable

from attrs import define
from returns.result import Success

from catkinslip.membership.members import MemberTable
from catkinslip.store.base import ListedInstance, ObjectStore

#: Reads in a row without this instance's entry after which the entry is written again.
MAX_ABSENT_READS = 2


@define
class InstanceList:
    """Read access to the instance list and upkeep of this instance's entry on it."""

    store: ObjectStore
    members: MemberTable
    is_backend: Callable[[str], bool]

    is_announced: bool = False
    #: Reads in a row without this instance's entry. The list lags, so one such read
    #: does not mean that the entry is lost.
    absent_reads: int = 0

    async def read(self) -> list[ListedInstance] | None:
        """Return the listed instances, or None if the list cannot be read.

        Writes this instance's entry before the first read, and again after
        MAX_ABSENT_READS reads in a row without it.
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
        """Write this instance's entry, with its leaving flag, to the instance list."""
        result = await self.store.announce(self._own_entry())
        self.is_announced = isinstance(result, Success)
        self.absent_reads = 0

    def _own_entry(self) -> ListedInstance:
        own = self.members.own
        return ListedInstance(
            own.member_id, own.zone, own.address, own.control_address, own.leaving
        )
