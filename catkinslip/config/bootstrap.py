"""Decision when a fresh instance may apply a configuration from its peers."""

from attrs import Factory, define

from catkinslip.config.documents import AcceptedConfig

#: Maximum number of answers that a fresh instance waits for; limits the cost of a
#: start.
MAX_ANSWERS = 5


def answers_needed(known_peers: int) -> int:
    """Return the number of peers that must answer a fresh instance.

    It is a majority of the known peers, and at most MAX_ANSWERS.
    """
    return min(MAX_ANSWERS, known_peers // 2 + 1)


@define
class Bootstrap:
    """The newest configuration among the answers of peers to a fresh instance."""

    #: Newest configuration received so far.
    newest: AcceptedConfig = Factory(AcceptedConfig)
    #: Instance IDs of the peers that have answered.
    answered: set[str] = Factory(set)

    def add(
        self, sender: str, config: AcceptedConfig | None, known_peers: int
    ) -> AcceptedConfig | None:
        """Record a peer's answer; return the newest configuration once enough answered.

        `config` is None if the peer has nothing newer than `best`. Return None while
        more answers are needed.
        """
        self.answered.add(sender)
        if config is not None and config.version > self.newest.version:
            self.newest = config
        if len(self.answered) < answers_needed(known_peers):
            return None
        return self.newest
