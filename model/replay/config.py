"""Replays of the configuration specifications against the code of the product."""

import trio
from attrs import Factory, define

from catkinslip.config.changes import ChangeOutcome, apply_change
from catkinslip.config.documents import AcceptedConfig, ConfigVersion, Document
from catkinslip.config.holder import ConfigHolder
from catkinslip.config.reading import CONFIG_KEY, StoredConfig, read_config
from catkinslip.config.topic import ConfigTopic
from model.replay.base import Replay
from model.replay.stepped import PendingWrite, SteppedStore

FRESH = ConfigVersion()


@define
class ConfigChangeReplay(Replay):
    """Operators that make one change each; `outcome_by_change` has their results."""

    nursery: trio.Nursery
    store: SteppedStore = Factory(lambda: SteppedStore(held_kind=CONFIG_KEY.kind))
    write_by_index: dict[int, PendingWrite] = Factory(dict)
    outcome_by_change: dict[str, ChangeOutcome] = Factory(dict)
    earlier: StoredConfig = StoredConfig(0, AcceptedConfig())

    async def step(self, name: str, *numbers: int) -> None:
        """Perform one action; the numbers select the parts that act."""
        (index,) = numbers
        if name.startswith('write_on'):
            base = await read_config(self.store)
            if 'earlier' in name:
                base = self.earlier
            pending_count = len(self.store.pending)
            self.nursery.start_soon(self._change, index, base)
            await trio.testing.wait_all_tasks_blocked()
            self.write_by_index[index] = self.store.pending[pending_count]
        elif name == 'write_applies':
            self.earlier = await read_config(self.store)
            await self.store.apply(self.write_by_index[index])
        else:
            self.write_by_index[index].answered.set()
            await trio.testing.wait_all_tasks_blocked()

    async def _change(self, index: int, base: StoredConfig) -> None:
        change_id = f'change-{index}'
        outcome = await apply_change(
            self.store, base, Document(), change_id, f'operator-{index}'
        )
        self.outcome_by_change[change_id] = outcome

    async def accepted(self) -> dict[str, ConfigVersion]:
        """Return the version of each accepted change."""
        head = (await read_config(self.store)).head
        return {change.change_id: change.version for change in head.changes}


@define
class InstanceReplay:
    """One instance, with the version that was settled when the instance started."""

    config: ConfigHolder
    topic: ConfigTopic
    started_after: ConfigVersion = FRESH


@define
class ConfigGossipReplay(Replay):
    """Instances that receive the configuration from the platform and from peers."""

    size: int
    accepted: int = 1
    settled: ConfigVersion = FRESH
    instance_by_index: dict[int, InstanceReplay] = Factory(dict)
    mistakes: list[str] = Factory(list)

    def start(self) -> None:
        """Start all instances with the first configuration."""
        for index in range(self.size):
            self._restart(index)
            self._config(index).offer(config_at(self.accepted))
        self._observe()

    async def step(self, name: str, *numbers: int) -> None:
        """Perform one action; the numbers select the parts that act."""
        before = [self._config(index).current.version for index in range(self.size)]
        match name:
            case 'accept':
                self.accepted += 1
            case 'read_platform':
                self._config(*numbers).offer(config_at(self.accepted))
            case 'stale_read' if self._config(*numbers).is_ready:
                self._config(*numbers).offer(config_at(self.accepted - 1))
            case 'receive' | 'query':
                self._exchange(*numbers)
            case 'restart':
                self._restart(*numbers)
        if name != 'restart':
            self._compare(before)
        self._observe()

    def _config(self, index: int) -> ConfigHolder:
        return self.instance_by_index[index].config

    def _restart(self, index: int) -> None:
        config = ConfigHolder()
        topic = ConfigTopic(config, f'entry-{index}', lambda: self.size - 1)
        self.instance_by_index[index] = InstanceReplay(config, topic, self.settled)

    def _exchange(self, index: int, other: int) -> None:
        topic = self.instance_by_index[index].topic
        update = self.instance_by_index[other].topic.updates_for(topic.digest())
        if update is not None:
            topic.receive(update)

    def _observe(self) -> None:
        versions = sorted(
            self._config(index).current.version for index in range(self.size)
        )
        common = versions[-(self.size // 2 + 1)]
        self.settled = max(self.settled, common)

    def _compare(self, before: list[ConfigVersion]) -> None:
        for index, earlier in enumerate(before):
            now = self._config(index).current.version
            if now < earlier:
                self.mistakes.append(f'entry-{index} went back to {now}')
            started_after = self.instance_by_index[index].started_after
            if earlier == FRESH < now < started_after:
                self.mistakes.append(f'entry-{index} adopted {now}')


def config_at(number: int) -> AcceptedConfig:
    """Return the configuration after the accepted change with a number."""
    return AcceptedConfig(ConfigVersion(0, number), f'change-{number}', 'ana')
