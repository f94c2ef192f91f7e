"""What slices tell peers: each slice adds a topic to the peer exchange."""

from abc import ABC, abstractmethod
from typing import Any


class PeerTopic(ABC):
    """One slice's part of the peer exchange, as plain data for JSON."""

    #: Name of the topic, the same on all instances.
    name: str

    @abstractmethod
    def digest(self) -> Any:
        """Return a short summary of what this instance knows."""

    @abstractmethod
    def updates_for(self, digest: Any | None) -> Any | None:
        """Return what a peer lacks; recent news when its digest is not known."""

    @abstractmethod
    def receive(self, updates: Any) -> None:
        """Take a peer's news over; raise ValueError when it is malformed."""
