"""A store that is restored from a backup some seconds old, beside other faults."""

from random import Random

import trio
from attrs import define

from soak.world import World
from soak.zones import STABLE_SECONDS

PAUSE_SECONDS = (1.0, 3.0)
BACKUP_AGE_SECONDS = (0.5, 4.0)
REWRITE_DELAY_SECONDS = (0.1, 1.5)
#: Kinds of objects that operators and servers write, and write again after a restore.
#: The instances write the other kinds.
REWRITTEN_KINDS = frozenset({'config', 'evacuations', 'servers'})


@define
class RestorePlayer:
    """Player that restores backups of the store, with or without notifying watches."""

    world: World
    random: Random
    restores: int = 0

    async def run(self, seconds: float) -> None:
        """Restore backups for some seconds, writing lost objects again after each."""
        end = trio.current_time() + seconds
        store = self.world.store
        store.era = 1
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            backup = store.backup()
            await trio.sleep(self.random.uniform(*BACKUP_AGE_SECONDS))
            newest = dict(store.item_by_key)
            store.answers_gone = self.random.random() < 0.5
            began = trio.current_time()
            store.restore(backup)
            self.restores += 1
            await trio.sleep(self.random.uniform(*REWRITE_DELAY_SECONDS))
            self._rewrite(newest)
            ended = trio.current_time() + STABLE_SECONDS
            self.world.disturbances.append((began, ended))

    def _rewrite(self, newest: dict[tuple[str, str], dict]) -> None:
        store = self.world.store
        for kind, name in list(store.item_by_key):
            if kind in REWRITTEN_KINDS and (kind, name) not in newest:
                store.remove(kind, name)
        for (kind, name), item in newest.items():
            if kind in REWRITTEN_KINDS:
                store.put(kind, name, item['spec'], item['status'])
