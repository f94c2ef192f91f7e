"""Carry the accepted configuration between peers."""

import logging
from collections.abc import Callable
from typing import Any, TypeVar

from attrs import Factory, define, frozen

from catkinslip.config.bootstrap import Bootstrap
from catkinslip.config.documents import AcceptedConfig, ConfigVersion, converter
from catkinslip.config.history import (
    Change,
    Snapshot,
    follow_all,
    from_snapshot,
    last_within,
)
from catkinslip.config.holder import ConfigHolder, Step
from catkinslip.config.reading import MALFORMED
from catkinslip.membership.topics import PeerTopic

#: Exchanges in which an instance pushes a change that is new to it.
PUSHES_PER_CHANGE = 6
#: Bytes of patches that one push holds at most.
MAX_PUSH_BYTES = 2_000

Message = TypeVar('Message')

log = logging.getLogger('config')


@frozen
class ConfigDigest:
    """What an instance holds; a fresh one waits for several peers' answers."""

    version: ConfigVersion
    waiting: bool = False


@frozen
class ConfigNews:
    """Changes that follow each other, or a whole configuration, or neither."""

    sender: str
    changes: tuple[Change, ...] = ()
    whole: Snapshot | None = None


@define
class ConfigTopic(PeerTopic):
    """Tell peers the version in force and give newer ones to those behind."""

    config: ConfigHolder
    sender: str = ''
    #: Tells how many peers are known; it decides how many must answer a fresh one.
    count_peers: Callable[[], int] = lambda: 0
    bootstrap: Bootstrap = Factory(Bootstrap)
    pushed_version: ConfigVersion = ConfigVersion()
    pushes_left: int = 0
    name = 'config'

    def digest(self) -> Any:
        """Return the version in force, or the best one seen while waiting."""
        if self.config.is_ready:
            return converter.unstructure(ConfigDigest(self.config.current.version))
        digest = ConfigDigest(self.bootstrap.best.version, waiting=True)
        return converter.unstructure(digest)

    def updates_for(self, digest: Any | None) -> Any | None:
        """Return what a peer lacks, or the newest changes if that is not known."""
        if digest is None:
            news = self._push()
        else:
            news = self._answer(parse(digest, ConfigDigest))
        return None if news is None else converter.unstructure(news)

    def receive(self, news: Any) -> None:
        """Put a peer's configuration in force if it is newer."""
        try:
            self._take(converter.structure(news, ConfigNews))
        except MALFORMED as error:
            raise ValueError(
                f'malformed news of the configuration: {error!r}'
            ) from None

    def _push(self) -> ConfigNews | None:
        version = self.config.current.version
        if self.pushed_version != version:
            self.pushed_version = version
            self.pushes_left = PUSHES_PER_CHANGE
        changes = last_within(self.config.recent, MAX_PUSH_BYTES)
        if self.pushes_left == 0 or not changes:
            return None
        self.pushes_left -= 1
        return ConfigNews(self.sender, changes)

    def _answer(self, known: ConfigDigest) -> ConfigNews | None:
        if not self.config.is_ready:
            # A fresh instance's silence says nothing of what is in force.
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
            if self.config.offer_changes(news.changes) is Step.TAKEN:
                self._log(f'from {news.sender}')
        elif self.config.offer(parse_snapshot(news.whole), news.changes):
            self._log(f'whole from {news.sender}')

    def _take_first(self, news: ConfigNews) -> None:
        best = self.bootstrap.best
        later = tuple(each for each in news.changes if each.version > best.version)
        found = None
        if news.whole is not None:
            found = parse_snapshot(news.whole)
        elif later:
            found = follow_all(best, later)
            if found is None:
                return
        chosen = self.bootstrap.add(news.sender, found, self.count_peers())
        if chosen is not None and self.config.offer(chosen):
            self._log(f'from {len(self.bootstrap.answered)} peers')

    def _log(self, source: str) -> None:
        version = self.config.current.version
        log.info('config: version %s is in force, %s.', version, source)


def parse(plain: Any, wanted: type[Message]) -> Message:
    """Read a peer's message; raise ValueError if it is malformed."""
    try:
        return converter.structure(plain, wanted)
    except MALFORMED as error:
        raise ValueError(f'malformed {wanted.__name__}: {error!r}') from None


def parse_snapshot(snapshot: Snapshot) -> AcceptedConfig:
    """Read a peer's whole configuration; raise ValueError if it is malformed."""
    try:
        return from_snapshot(snapshot)
    except MALFORMED as error:
        raise ValueError(f'malformed configuration: {error!r}') from None
