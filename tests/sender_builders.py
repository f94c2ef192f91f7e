"""Simulated instances that read the list of instances at random times."""

from random import Random

import trio
from attrs import define, evolve

from catkinslip.discovery.instances import InstanceTable
from catkinslip.warmup.quotas import Sender
from catkinslip.warmup.senders import STALE_LIST_SECONDS
from tests.discovery_builders import instance_entry


@define
class Site:
    """Simulated instances that read the list of instances, late and at random times."""

    random: Random
    #: The successive lists, the newest last: time of creation and entries by instance
    #: ID.
    lists: list
    table_by_id: dict[str, InstanceTable]
    now: float = 0.0
    count: int = 0

    def start_instance(self, zone: str, cores: float) -> None:
        """Start an instance and add it to the list."""
        self.count += 1
        entry = evolve(instance_entry(f'e{self.count}', zone), cores=cores)
        self.table_by_id[entry.instance_id] = InstanceTable(entry)
        self._write({**self.lists[-1][1], entry.instance_id: entry})

    def stop_instance(self, instance_id: str) -> None:
        """Remove an instance from the list; it still serves its last callers."""
        self.table_by_id[instance_id].leave()
        entry_by_id = dict(self.lists[-1][1])
        del entry_by_id[instance_id]
        self._write(entry_by_id)

    def _write(self, entry_by_id: dict) -> None:
        self.lists.append((self.now, entry_by_id))

    def read(self, table: InstanceTable) -> None:
        """Let an instance read a list that may be old."""
        made_at = self.now - self.random.uniform(0, STALE_LIST_SECONDS)
        at, entry_by_id = [each for each in self.lists if each[0] <= made_at][-1]
        table.apply_list(entry_by_id.values(), round(at * 1000) + 1)
        is_listed = table.own.instance_id in entry_by_id
        table.record_store_list(trio.current_time(), is_own_listed=is_listed)

    def senders(self) -> list[Sender]:
        """Return the positions that instances consider theirs."""
        positions = [table.sender() for table in self.table_by_id.values()]
        return [position for position in positions if position is not None]
