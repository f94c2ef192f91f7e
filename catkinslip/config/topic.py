"""Exchange of the accepted configuration with peers."""

import logging
from collections.abc import Callable
from typing import Any, TypeVar

from attrs import Factory, define, frozen

from catkinslip.config.bootstrap import Bootstrap
from catkinslip.config.documents import AcceptedConfig, ConfigVersion, converter
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

#: Number of exchanges in which an instance pushes a new version.
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
class ConfigNews:
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
    #: Version that is being pushed.
    pushed_version: ConfigVersion = ConfigVersion()
    #: Number of exchanges that still push this version.
    pushes_left: int = 0
    name = 'config'

    def digest(self) -> Any:
        """Return the digest that peers receive, which holds the version in force.

        While an instance waits for the answers of peers, the digest holds the newest
        version that it has received.
        """
        if self.config.is_ready:
            return converter.unstructure(ConfigDigest(self.config.current.version))
        digest = ConfigDigest(self.bootstrap.best.version, waiting=True)
        return converter.unstructure(digest)

    def news_for(self, digest: Any | None) -> Any | None:
        """Return the update for a peer with a digest; None if there is nothing to send.

        Without a digest, the update holds the newest changes.
        """
        if digest is None:
            news = self._push()
        else:
            news = self._answer(parse(digest, ConfigDigest))
        return None if news is None else converter.unstructure(news)

    def receive(self, news: Any) -> None:
        """Apply a peer's update; raise ValueError if it is malformed."""
        try:
            self._take(converter.structure(news, ConfigNews))
        except MALFORMED as error:
            raise ValueError(
                f'malformed update of the configuration: {error!r}'
            ) from None

    def _push(self) -> ConfigNews | None:
        version = self.config.current.version
        if self.pushed_version != version:
            self.pushed_version = version
            self.pushes_left = PUSHES_PER_CHANGE
        changes = last_changes_within(self.config.recent, MAX_PUSH_BYTES)
        if self.pushes_left == 0 or not changes:
            return None
        self.pushes_left -= 1
        return ConfigNews(self.sender, changes)

    def _answer(self, known: ConfigDigest) -> ConfigNews | None:
        if not self.config.is_ready:
            # An instance without a configuration has no version to compare, so that it
            # must not count as an answer.
            return None
        current = self.config.current
        if known.version >= current.version:
            return ConfigNews(self.sender) if known.waiting else None
        changes = self.config.changes_after(known.version)
        if changes is not None:
            return ConfigNews(self.sender, changes)
        whole = Snapshot(
            current.version, current.change_id, current.author, current.plain
        )
        return ConfigNews(self.sender, self.config.recent, whole)

    def _take(self, news: ConfigNews) -> None:
        if not self.config.is_ready:
            self._take_first(news)
        elif news.whole is None:
            if self.config.offer_changes(news.changes) is OfferResult.APPLIED:
                self._log(f'peer {news.sender}')
        elif self.config.offer(parse_snapshot(news.whole), news.changes):
            self._log(f'peer {news.sender} (complete)')

    def _take_first(self, news: ConfigNews) -> None:
        best = self.bootstrap.best
        later = tuple(each for each in news.changes if each.version > best.version)
        found = None
        if news.whole is not None:
            found = parse_snapshot(news.whole)
        elif later:
            found = config_after_changes(best, later)
            if found is None:
                return
        chosen = self.bootstrap.add(news.sender, found, self.count_peers())
        if chosen is not None and self.config.offer(chosen):
            self._log(f'{len(self.bootstrap.answered)} peers')

    def _log(self, source: str) -> None:
        version = self.config.current.version
        log.info('config: new version in force. version=%s source=%s', version, source)


def parse(plain: Any, wanted: type[Message]) -> Message:
    """Parse a peer's message; raise ValueError if it is malformed."""
    try:
        return converter.structure(plain, wanted)
    except MALFORMED as error:
        raise ValueError(f'malformed {wanted.__name__}: {error!r}') from None


def parse_snapshot(snapshot: Snapshot) -> AcceptedConfig:
    """Parse a peer's complete configuration; raise ValueError if it is malformed."""
    try:
        return from_snapshot(snapshot)
    except MALFORMED as error:
        raise ValueError(f'malformed configuration: {error!r}') from None
