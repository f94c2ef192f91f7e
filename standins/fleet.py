"""Many configuration topics in one process that exchange news in rounds."""

from random import Random

import orjson
from attrs import define

from catkinslip.config.documents import ConfigVersion
from catkinslip.config.holder import ConfigHolder
from catkinslip.config.topic import ConfigTopic


@define
class TopicFleet:
    """Let each topic exchange once a round with a random other one."""

    topics: list[ConfigTopic]
    random: Random
    bytes_sent: int = 0

    @classmethod
    def of_size(cls, size: int, seed: int) -> 'TopicFleet':
        """Return a fleet of fresh topics."""
        topics = [
            ConfigTopic(ConfigHolder(), f'entry-{number}', lambda: size - 1)
            for number in range(size)
        ]
        return cls(topics, Random(seed))

    def run_round(self) -> None:
        """Let every topic exchange once."""
        for topic in self.random.sample(self.topics, len(self.topics)):
            self.exchange(topic, self.other_than(topic))

    def run_burst(self, version: ConfigVersion, fanout: int) -> int:
        """Let each topic that has a version tell some at once; return how many have."""
        told = [each for each in self.topics if each.config.current.version == version]
        for topic in told:
            for _ in range(fanout):
                peer = self.other_than(topic)
                before = peer.config.current.version
                self.exchange(topic, peer)
                if before < version:
                    told.append(peer)
        return len(told)

    def other_than(self, topic: ConfigTopic) -> ConfigTopic:
        """Return a random other topic."""
        peer = topic
        while peer is topic:
            peer = self.random.choice(self.topics)
        return peer

    def exchange(self, topic: ConfigTopic, peer: ConfigTopic) -> None:
        """Exchange as two instances do: digest and push, then the answer."""
        self.deliver(topic.updates_for(None), peer)
        self.deliver(peer.updates_for(topic.digest()), topic)

    def deliver(self, news: object, topic: ConfigTopic) -> None:
        """Carry news as JSON and count its bytes."""
        if news is None:
            return
        text = orjson.dumps(news)
        self.bytes_sent += len(text)
        topic.receive(orjson.loads(text))

    def rounds_until(self, version: ConfigVersion, bound: int = 100) -> int:
        """Return the rounds until every topic has a version in force."""
        for rounds in range(bound):
            if all(each.config.current.version >= version for each in self.topics):
                return rounds
            self.run_round()
        return bound
