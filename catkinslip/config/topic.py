"""Exchange of the accepted configuration with peers."""

import logging
from collections.abc import Callable
from typing import Any, TypeVar

from attrs import Factory, define, frozen

from catkinslip.config.bootstrap import Bootstrap
from catkinslip.config.documents import (
    AcceptedConfig,
    ConfigVersion,
    converter,
    describe_error,
)
from catkinslip.config.history import (
    Change,
    Snapshot,
    config_after_changes,
    from_snapshot,
    last_changes_within,
)
from catkinslip.config.holder import ConfigHolder, OfferResult
from catkinslip.config.reading import MALFORMED
from catkinslip.membership.topics import PeerTopic

#: Number of exchanges in which an instance pushes a version that is new to it.
PUSHES_PER_CHANGE = 6
#: Maximum size of the patches in one push, as JSON, in bytes.
MAX_PUSH_BYTES = 2_000

Message = TypeVar('Message')

log = logging.getLogger('config')


@frozen
class ConfigDigest:
    """The version that an instance has.

    `waiting` marks a fresh instance that waits for the answers of several peers.
    """

    version: ConfigVersion
    waiting: bool = False


@frozen
class ConfigUpdate:
    """Update for a peer: consecutive changes, a complete configuration, or neither."""

    #: Instance ID of the sender.
    sender: str
    changes: tuple[Change, ...] = ()
    #: Complete configuration; `changes` are then the last changes up to it.
    whole: Snapshot | None = None


@define
class ConfigTopic(PeerTopic):
    """Peer topic that sends the version in force, and updates to peers behind it."""

    config: ConfigHolder
    #: This instance's ID.
    sender: str = ''
    #: Function that returns the number of known peers, which determines how many peers
    #: must answer a fresh instance.
    count_peers: Callable[[], int] = lambda: 0
    #: Answers of peers while no configuration is in force.
    bootstrap: Bootstrap = Factory(Bootstrap)
    #: Version that was pushed last.
    pushed_version: ConfigVersion = ConfigVersion()
    #: Number of exchanges that still push this version.
    pushes_remaining: int = 0
    name = 'config'

    def digest(self) -> Any:
        """Return the digest that peers receive, which holds the version in force.

        While an instance waits for the answers of peers, the digest holds the newest
        version that it has received.
        """
        if self.config.is_ready:
            return converter.unstructure(ConfigDigest(self.config.current.version))
        digest = ConfigDigest(self.bootstrap.newest.version, waiting=True)
        return converter.unstructure(digest)

    def updates_for(self, digest: Any | None) -> Any | None:
        """Return the update for a peer with a digest; None if there is nothing to send.

        Without a digest, the update holds the newest changes.
        """
        if digest is None:
            update = self._push()
        else:
            update = self._answer(parse(digest, ConfigDigest))
        return None if update is None else converter.unstructure(update)

    def receive(self, update: Any) -> None:
        """Apply a peer's update; raise ValueError if it is malformed."""
        try:
            self._apply(converter.structure(update, ConfigUpdate))
        except MALFORMED as error:
            raise ValueError(
                f'malformed update of the configuration: {describe_error(error)}'
            ) from None

    def _push(self) -> ConfigUpdate | None:
        version = self.config.current.version
        if self.pushed_version != version:
            self.pushed_version = version
            self.pushes_remaining = PUSHES_PER_CHANGE
        changes = last_changes_within(self.config.recent, MAX_PUSH_BYTES)
        if self.pushes_remaining == 0 or not changes:
            return None
        self.pushes_remaining -= 1
        return ConfigUpdate(self.sender, changes)

    def _answer(self, peer_digest: ConfigDigest) -> ConfigUpdate | None:
        if not self.config.is_ready:
            # An instance without a configuration has no version to compare, so that it
            # must not count as an answer.
            return None
        current = self.config.current
        if peer_digest.version >= current.version:
            return ConfigUpdate(self.sender) if peer_digest.waiting else None
        changes = self.config.changes_after(peer_digest.version)
        if changes is not None:
            return ConfigUpdate(self.sender, changes)
        whole = Snapshot(
            current.version, current.change_id, current.author, current.plain
        )
        return ConfigUpdate(self.sender, self.config.recent, whole)

    def _apply(self, update: ConfigUpdate) -> None:
        if not self.config.is_ready:
            self._collect_answer(update)
        elif update.whole is None:
            if self.config.offer_changes(update.changes) is OfferResult.APPLIED:
                self._log(f'peer {update.sender}')
        elif self.config.offer(parse_snapshot(update.whole), update.changes):
            self._log(f'peer {update.sender} (complete)')

    def _collect_answer(self, update: ConfigUpdate) -> None:
        newest = self.bootstrap.newest
        later = tuple(each for each in update.changes if each.version > newest.version)
        found = None
        if update.whole is not None:
            found = parse_snapshot(update.whole)
        elif later:
            found = config_after_changes(newest, later)
            if found is None:
                return
        chosen = self.bootstrap.add(update.sender, found, self.count_peers())
        if chosen is not None and self.config.offer(chosen):
            self._log(f'{len(self.bootstrap.answered)} peers')

    def _log(self, source: str) -> None:
        version = self.config.current.version
        log.info('config: new version in force. version=%s source=%s', version, source)


def parse(plain: Any, expected: type[Message]) -> Message:
    """Parse a peer's message; raise ValueError if it is malformed."""
    try:
        return converter.structure(plain, expected)
    except MALFORMED as error:
        raise ValueError(
            f'malformed {expected.__name__}: {describe_error(error)}'
        ) from None


def parse_snapshot(snapshot: Snapshot) -> AcceptedConfig:
    """Parse a peer's complete configuration; raise ValueError if it is malformed."""
    try:
        return from_snapshot(snapshot)
    except MALFORMED as error:
        raise ValueError(f'malformed configuration: {describe_error(error)}') from None
