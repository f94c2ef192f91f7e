"""A store that comes back from a copy some seconds old, beside all other faults."""

from random import Random

import trio
from attrs import define

from soak.world import World
from soak.zones import STABLE_SECONDS

PAUSE_SECONDS = (1.0, 3.0)
COPY_AGE_SECONDS = (0.5, 4.0)
WRITTEN_AGAIN_SECONDS = (0.1, 1.5)
#: What operators and servers wrote is written again; the rest is the instances' own.
WRITTEN_AGAIN_KINDS = frozenset({'config', 'evacuations', 'servers'})


@define
class RestorePlayer:
    """Let the store lose the last seconds, with and without saying so to watches."""

    world: World
    random: Random
    restores: int = 0

    async def run(self, seconds: float) -> None:
        """Play for some seconds; all is written again then."""
        end = trio.current_time() + seconds
        store = self.world.store
        store.era = 1
        while trio.current_time() < end:
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))
            backup = store.backup()
            await trio.sleep(self.random.uniform(*COPY_AGE_SECONDS))
            newest = dict(store.item_by_key)
            store.answers_gone = self.random.random() < 0.5
            began = trio.current_time()
            store.restore(backup)
            self.restores += 1
            await trio.sleep(self.random.uniform(*WRITTEN_AGAIN_SECONDS))
            self._write_again(newest)
            ended = trio.current_time() + STABLE_SECONDS
            self.world.disturbances.append((began, ended))

    def _write_again(self, newest: dict[tuple[str, str], dict]) -> None:
        store = self.world.store
        for kind, name in list(store.item_by_key):
            if kind in WRITTEN_AGAIN_KINDS and (kind, name) not in newest:
                store.remove(kind, name)
        for (kind, name), item in newest.items():
            if kind in WRITTEN_AGAIN_KINDS:
                store.put(kind, name, item['spec'], item['status'])
