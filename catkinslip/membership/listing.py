"""The platform's lagging list of instances, and this instance's line on it."""

from collections.abc import Callable

from attrs import define
from returns.result import Success

from catkinslip.membership.members import MemberTable
from catkinslip.platform.base import ListedInstance, ObjectStore


@define
class InstanceList:
    """Read the list and keep this instance on it."""

    store: ObjectStore
    members: MemberTable
    is_backend: Callable[[str], bool]

    async def read(self) -> list[ListedInstance] | None:
        """Return the listed instances, None when the list can't be read.

        This instance is announced when the list lacks it.
        """
        result = await self.store.list_instances()
        if not isinstance(result, Success):
            return None
        listed = result.unwrap()
        if self._own_line() not in listed:
            await self.announce()
        return [each for each in listed if not self.is_backend(each.name)]

    async def announce(self) -> None:
        """Put this instance on the list, as leaving if it is."""
        await self.store.announce(self._own_line())

    def _own_line(self) -> ListedInstance:
        own = self.members.own
        return ListedInstance(
            own.member_id, own.zone, own.address, own.control_address, own.leaving
        )
