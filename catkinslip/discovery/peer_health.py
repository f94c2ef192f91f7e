"""The health of another instance, as polls and lists of instances show it."""

from enum import Enum, unique

from attrs import define

from catkinslip.discovery.base import InstanceEntry
from catkinslip.discovery.paths import PeerPaths

#: Polls in a row without an answer after which an instance counts as silent.
MISSED_POLLS = 2
#: Lists in a row without an instance, after which one that only a peer reported is
#: removed.
MISSED_LISTS = 3


@unique
class PeerHealth(Enum):
    """The health of a peer by its last polls."""

    UNKNOWN = 'unknown'
    READY = 'ready'
    #: The peer answers but accepts no new callers: it starts or stops.
    NOT_READY = 'not_ready'
    SILENT = 'silent'


#: Health that an instance reports by its own answers.
ANSWERING = frozenset({PeerHealth.READY, PeerHealth.NOT_READY})


@define
class Peer:
    """Another instance, with its health as known to this one."""

    entry: InstanceEntry
    health: PeerHealth = PeerHealth.UNKNOWN
    missed_polls: int = 0
    #: Whether the last call of the peer to the store succeeded, if it makes any.
    reaches_store: bool = False
    #: Number of lists in a row without the peer; lists lag behind a first start.
    missed_lists: int = 0
    was_listed: bool = False
    paths: PeerPaths = PeerPaths()

    def is_removable(self) -> bool:
        """Return whether lists and polls show that the instance no longer exists."""
        if self.missed_lists == 0 or self.health in ANSWERING:
            return False
        if self.health is PeerHealth.SILENT or self.was_listed:
            return True
        return self.missed_lists >= MISSED_LISTS

    @property
    def has_lost_store(self) -> bool:
        """Return whether the instance answers but does not reach the store."""
        return self.health in ANSWERING and not self.reaches_store

    def set_health(self, health: PeerHealth, missed_polls: int) -> bool:
        """Record the health by the last poll or report; return whether it changed."""
        is_new = self.health is not health
        self.health = health
        self.missed_polls = missed_polls
        return is_new

    def record_missed_poll(self) -> bool:
        """Record a poll without an answer; return whether the health changed."""
        missed = self.missed_polls + 1
        health = PeerHealth.SILENT if missed >= MISSED_POLLS else self.health
        return self.set_health(health, missed)

    def record_list(self, is_listed: bool) -> None:
        """Record whether a list of instances names the instance."""
        self.was_listed = self.was_listed or is_listed
        self.missed_lists = 0 if is_listed else self.missed_lists + 1
