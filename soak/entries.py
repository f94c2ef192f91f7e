"""Entries of another writer in the store, beside those of the servers."""

from collections.abc import Callable
from random import Random

import httpx
import trio
from attrs import Factory, define

from soak.world import Instance, World
from tests.unsound_json import MAX_DIGITS, MAX_NESTING

#: Kinds in which the other writer writes.
KINDS = ('servers', 'instances', 'crashes', 'evacuations')
NAMES = ('i-other', 'i-\udcff', 'i-1\r\nother: yes', ' ', 'i-\x00', 'x' * 300)
#: Size of a large text; an object may have 1 MiB.
LARGE_TEXT = 300_000
PAUSE_SECONDS = (0.1, 0.6)
PAGE_SECONDS = 5.0


def nested(random: Random) -> str:
    """Return lists in lists."""
    depth = random.randint(1, MAX_NESTING)
    return '[' * depth + ']' * depth


def digits(random: Random) -> str:
    """Return a whole number of many digits."""
    return '9' * random.randint(1, MAX_DIGITS)


def sampled(random: Random) -> str:
    """Return a value that some decoder rejects."""
    return random.choice(('1e999', '-Infinity', 'nothing', '"\\udcff"', '"\x01"', '{}'))


def large(random: Random) -> str:
    """Return a long text."""
    return f'"{"x" * LARGE_TEXT}"'


VALUES: tuple[Callable[[Random], str], ...] = (nested, digits, sampled, large)


@define
class EntryPlayer:
    """Another writer, which writes objects that no instance can use."""

    world: World
    random: Random
    written: int = 0
    _violations: list[str] = Factory(list)

    async def run(self, seconds: float) -> None:
        """Write and remove objects for some seconds; the last ones stay."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            if self.random.random() < 0.2:
                self._write_rules()
            else:
                self._write()
            await trio.sleep(self.random.uniform(*PAUSE_SECONDS))

    def _write(self) -> None:
        kind, name = self.random.choice(KINDS), self.random.choice(NAMES)
        if (kind, name) in self.world.store.item_by_key and self.random.random() < 0.3:
            self.world.store.remove(kind, name)
            return
        self.world.store.put_text(kind, name, self._spec())
        self.written += 1

    def _spec(self) -> str:
        value = self.random.choice(VALUES)(self.random)
        key = self.random.choice(('addr', 'info', 'born', 'status', 'ends'))
        return f'{{"addr":"127.0.0.1:9","{key}":{value}}}'

    def _write_rules(self) -> None:
        """Write rules that cannot be read, and sound ones soon after them."""
        value = self.random.choice(VALUES)(self.random)
        text = f'{{"version":"ffffffff","routes":{value}}}'
        self.world.store.put_text('config', 'main', text)
        self.world.put_config()
        self.written += 1

    async def check(self) -> None:
        """Compare what each instance knows with the sound objects in the store."""
        item_by_key = self.world.store.item_by_key
        sound = {it for it in self.world.worker_by_id if ('servers', it) in item_by_key}
        version = int(item_by_key['config', 'main']['spec']['version'], 16)
        for instance in self.world.instances:
            known = await read_known(instance)
            if set(known['backends']) != sound:
                missing = sorted(sound - set(known['backends']))
                self._violations.append(f'{instance.name} lacks {missing}')
            # A store that was restored may hold older rules.
            if known['rules']['version'] < version:
                self._violations.append(f'{instance.name} has not the newest rules')

    def violations(self) -> list[str]:
        """Return what the checks found."""
        return self._violations


async def read_known(instance: Instance) -> dict:
    """Return the rules and servers that an instance would send to a peer."""
    url = f'http://127.0.0.1:{instance.port_by_name["peer"]}/peer/knowledge?0.0'
    async with httpx.AsyncClient(timeout=PAGE_SECONDS) as client:
        return (await client.get(url)).json()
