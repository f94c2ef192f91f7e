"""The choice of the pool of each slot among the instances that may be pools.

Load: pools are killed or cut off, and lists of instances change. Each slot takes the
first pool in its order that answers, so that only the slots of a lost pool move.
"""

import logging

from attrs import Factory, define, field

from catkinslip.quotas.counts import QuotaCounts
from catkinslip.quotas.liveness import PoolHealth
from catkinslip.quotas.slots import SLOTS, order_pools, slot_of

log = logging.getLogger('quotas')


@define
class PoolChoice:
    """The pool of each slot, as this instance chooses it."""

    own_id: str
    health: PoolHealth
    counts: QuotaCounts
    pool_by_slot: dict[int, str | None] = Factory(dict)
    pool_ids: tuple[str, ...] = ()
    _order_by_slot: dict[int, list[str]] = field(factory=dict, init=False)

    def pool_of(self, slot: int) -> str | None:
        """Return the pool of a slot; None if there is none."""
        return self.pool_by_slot.get(slot)

    def pool_of_key(self, key: int) -> str | None:
        """Return the pool of a workspace's key; None if there is none."""
        return self.pool_by_slot.get(slot_of(key))

    def update(self, pool_ids: tuple[str, ...], share: float) -> None:
        """Choose the pools among the given instances.

        An instance with a share is its own pool where all others are avoided.
        """
        if pool_ids != self.pool_ids or not self._order_by_slot:
            self._apply_pool_ids(pool_ids)
        own = self.own_id if share > 0 else None
        for slot, ordered in self._order_by_slot.items():
            usable = (each for each in ordered if not self.health.is_avoided(each))
            self._set_pool(slot, next(usable, own))

    def _apply_pool_ids(self, pool_ids: tuple[str, ...]) -> None:
        self.pool_ids = pool_ids
        self._order_by_slot = {
            slot: order_pools(slot, pool_ids) for slot in range(SLOTS)
        }
        self.health.forget(frozenset(pool_ids))

    def _set_pool(self, slot: int, chosen: str | None) -> None:
        before = self.pool_by_slot.get(slot)
        if chosen != before:
            self.pool_by_slot[slot] = chosen
            self.counts.pool_changes += 1
            log.info('quotas: pool. slot=%d pool=%s was=%s', slot, chosen, before)
