"""The configuration that is in force on this instance."""

import logging
from collections.abc import Callable
from enum import Enum, auto, unique

from attrs import Factory, define

from catkinslip.config.documents import AcceptedConfig, ConfigVersion
from catkinslip.config.history import Change, config_after_change, trim_changes

Listener = Callable[[AcceptedConfig], None]

log = logging.getLogger('config')


@unique
class OfferResult(Enum):
    """Result of offering changes to the configuration in force."""

    #: Some changes were applied: the configuration in force is newer than before.
    APPLIED = auto()
    #: No change was newer than the configuration in force.
    NOT_NEWER = auto()
    #: A change in between is missing: a complete configuration is needed.
    GAP = auto()
    #: The version in force came with another change ID; the one in force is kept.
    CONTRADICTION = auto()


@define
class ConfigHolder:
    """The newest accepted configuration, which is never replaced by an older one."""

    #: The configuration in force.
    current: AcceptedConfig = Factory(AcceptedConfig)
    #: Functions that are called with each new configuration in force.
    listeners: list[Listener] = Factory(list)
    #: The last changes up to the configuration in force, oldest first, without gaps.
    recent: tuple[Change, ...] = ()
    #: Number of times that the version in force came with another change ID.
    contradictions: int = 0

    @property
    def is_ready(self) -> bool:
        """Return whether any configuration is in force."""
        return self.current.version > ConfigVersion()

    def offer(self, candidate: AcceptedConfig, recent: tuple[Change, ...] = ()) -> bool:
        """Put a configuration in force if it is newer, and return whether it was.

        `recent` are the last changes up to the configuration, oldest first.
        """
        if candidate.version <= self.current.version:
            self._compare(candidate.version, candidate.change_id)
            return False
        self.recent = tuple(each for each in recent if each.patch is not None)
        self._put_in_force(candidate)
        return True

    def offer_changes(self, changes: tuple[Change, ...]) -> OfferResult:
        """Apply the changes, oldest first, that follow the configuration in force."""
        config = self.current
        applied: list[Change] = []
        for change in changes:
            if change.version <= config.version:
                if not self._compare(change.version, change.change_id):
                    return OfferResult.CONTRADICTION
                continue
            next_config = config_after_change(config, change)
            if next_config is None:
                break
            config = next_config
            applied.append(change)
        if applied:
            self.recent = trim_changes((*self.recent, *applied), keep=1)
            self._put_in_force(config)
        if changes and changes[-1].version > config.version:
            return OfferResult.GAP
        return OfferResult.APPLIED if applied else OfferResult.NOT_NEWER

    def changes_after(self, version: ConfigVersion) -> tuple[Change, ...] | None:
        """Return the changes from a version to the one in force.

        Return None if not all of them are held.
        """
        later = tuple(each for each in self.recent if each.version > version)
        expected_count = self.current.version.number - version.number
        same_epoch = version.epoch == self.current.version.epoch
        return later if same_epoch and len(later) == expected_count else None

    def _put_in_force(self, config: AcceptedConfig) -> None:
        self.current = config
        for listener in self.listeners:
            listener(config)

    def _compare(self, version: ConfigVersion, change_id: str) -> bool:
        current = self.current
        if version != current.version or change_id == current.change_id:
            return True
        self.contradictions += 1
        log.error(
            'config: two changes with one version; the one in force is kept, raise '
            'the epoch. version=%s in_force=%s other=%s',
            version,
            current.change_id,
            change_id,
        )
        return False
