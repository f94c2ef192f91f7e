"""Decide when a fresh instance may take its configuration from peers."""

from attrs import Factory, define

from catkinslip.config.documents import AcceptedConfig

#: Peers that must agree or be older at most, so that a start stays cheap.
MAX_ANSWERS = 5


def answers_needed(known_peers: int) -> int:
    """Return how many peers must answer: a majority, up to a small bound."""
    return min(MAX_ANSWERS, known_peers // 2 + 1)


@define
class Bootstrap:
    """Collect what peers hold until enough of them have answered."""

    best: AcceptedConfig = Factory(AcceptedConfig)
    answered: set[str] = Factory(set)

    def add(
        self, sender: str, config: AcceptedConfig | None, known_peers: int
    ) -> AcceptedConfig | None:
        """Count a peer's answer; return the configuration once enough answered.

        A peer that holds the best one already sends None.
        """
        self.answered.add(sender)
        if config is not None and config.version > self.best.version:
            self.best = config
        if len(self.answered) < answers_needed(known_peers):
            return None
        return self.best
