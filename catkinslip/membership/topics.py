"""The interface of topics: parts that other packages add to the peer exchange."""

from abc import ABC, abstractmethod
from typing import Any


class PeerTopic(ABC):
    """The part of the peer exchange of one package, as plain data for JSON."""

    #: Name of the topic, the same on all instances.
    name: str

    @abstractmethod
    def digest(self) -> Any:
        """Return a short summary of the data of this instance on the topic."""

    @abstractmethod
    def updates_for(self, digest: Any | None) -> Any | None:
        """Return the updates that a peer misses; recent ones if its digest is None."""

    @abstractmethod
    def receive(self, updates: Any) -> None:
        """Apply a peer's updates; raise ValueError if they are malformed."""
