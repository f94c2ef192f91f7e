"""Simulation of many instances that exchange configuration updates in rounds."""

from random import Random

import orjson
from attrs import define

from catkinslip.config.documents import ConfigVersion
from catkinslip.config.holder import ConfigHolder
from catkinslip.config.topic import ConfigTopic


@define
class TopicFleet:
    """Configuration topics that each exchange with a random peer once per round."""

    topics: list[ConfigTopic]
    random: Random
    bytes_sent: int = 0

    @classmethod
    def of_size(cls, size: int, seed: int) -> 'TopicFleet':
        """Return a fleet of new topics without a configuration."""
        topics = [
            ConfigTopic(ConfigHolder(), f'entry-{number}', lambda: size - 1)
            for number in range(size)
        ]
        return cls(topics, Random(seed))

    def run_round(self) -> None:
        """Run one round, in which every topic exchanges once."""
        for topic in self.random.sample(self.topics, len(self.topics)):
            self.exchange(topic, self.random_peer(topic))

    def run_burst(self, version: ConfigVersion, fanout: int) -> int:
        """Gossip a version among topics; return how many topics have it at the end."""
        informed = [
            each for each in self.topics if each.config.current.version == version
        ]
        for topic in informed:
            for _ in range(fanout):
                peer = self.random_peer(topic)
                before = peer.config.current.version
                self.exchange(topic, peer)
                if before < version:
                    informed.append(peer)
        return len(informed)

    def random_peer(self, topic: ConfigTopic) -> ConfigTopic:
        """Return a random topic other than the given one."""
        peer = topic
        while peer is topic:
            peer = self.random.choice(self.topics)
        return peer

    def exchange(self, topic: ConfigTopic, peer: ConfigTopic) -> None:
        """Exchange updates as two instances do: digest and push, then the answer."""
        self.deliver(topic.updates_for(None), peer)
        self.deliver(peer.updates_for(topic.digest()), topic)

    def deliver(self, updates: object, topic: ConfigTopic) -> None:
        """Deliver updates as JSON to a topic and count their bytes."""
        if updates is None:
            return
        text = orjson.dumps(updates)
        self.bytes_sent += len(text)
        topic.receive(orjson.loads(text))

    def rounds_until(self, version: ConfigVersion, bound: int = 100) -> int:
        """Return the number of rounds until every topic has at least a version."""
        for rounds in range(bound):
            if all(each.config.current.version >= version for each in self.topics):
                return rounds
            self.run_round()
        return bound
