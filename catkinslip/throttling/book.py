"""Which servers of a service name a rate, by the newest evidence."""

import logging
from collections import Counter

from attrs import Factory, define

from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.throttling.signs import AnswerKind, RateSign

#: A server may name another rate with each answer: one line a second tells of them.
CHANGE_LOG_SECONDS = 1.0

log = logging.getLogger('throttling')


@define
class NamedRate:
    """What is known of the rate that one server names; monotonic seconds."""

    load: BackendLoad
    per_second: float = 0.0
    #: When the newest answer that names a rate came.
    named_at: float = NEVER
    #: When the newest request was sent whose answer names none.
    cleared_at: float = NEVER
    #: Since when it is named without a pause.
    began_at: float = NEVER
    #: The kinds of answer that named it since then.
    kinds: set[AnswerKind] = Factory(set)
    logged_at: float = NEVER
    has_been_malformed: bool = False

    @property
    def holds(self) -> bool:
        """Tell whether the server names a rate, as far as known.

        An answer without one ends it only if its request was sent after the last
        answer that names one had come: others may have been begun before.
        """
        return self.named_at > self.cleared_at


@define
class RateBook:
    """Keep what the servers of one service name."""

    rate_by_id: dict[str, NamedRate] = Factory(dict)
    #: How often servers began to name a rate, changed it, ended it, or named none
    #: that can be read.
    events: Counter[str] = Factory(Counter)

    def find(self, load: BackendLoad | None) -> NamedRate | None:
        """Return the rate that a server names; None if it names none."""
        if load is None or not self.rate_by_id:
            return None
        rate = self.rate_by_id.get(load.backend_id)
        return rate if rate is not None and rate.holds else None

    def holding(self) -> list[NamedRate]:
        """Return the rates that servers name now."""
        return [rate for rate in self.rate_by_id.values() if rate.holds]

    def told(
        self,
        load: BackendLoad,
        sign: RateSign,
        kind: AnswerKind,
        sent_at: float,
        now: float,
    ) -> None:
        """Take what an answer says to a request that was sent at a time."""
        if sign.is_malformed:
            self._take_malformed(load)
        elif sign.per_second is not None:
            self._take_named(self._known(load), sign.per_second, kind, now)
        else:
            self._take_none(load, kind, sent_at, now)

    def forget(self, load: BackendLoad) -> None:
        """Forget a server that is gone or started again."""
        self.rate_by_id.pop(load.backend_id, None)

    def _known(self, load: BackendLoad) -> NamedRate:
        return self.rate_by_id.setdefault(load.backend_id, NamedRate(load))

    def _take_malformed(self, load: BackendLoad) -> None:
        """Change nothing: the server may still be in need, or never was."""
        self.events['malformed'] += 1
        rate = self._known(load)
        if not rate.has_been_malformed:
            rate.has_been_malformed = True
            log.warning('throttling: unreadable rate. backend=%s', load.backend_id)

    def _take_named(
        self, rate: NamedRate, per_second: float, kind: AnswerKind, now: float
    ) -> None:
        was_held, before = rate.holds, rate.per_second
        rate.named_at = max(rate.named_at, now)
        rate.per_second = per_second
        rate.kinds.add(kind)
        if not was_held:
            rate.began_at = now
            self._log_begun(rate, kind.value, now)
        elif per_second != before:
            self._log_changed(rate, before, now)

    def _take_none(
        self, load: BackendLoad, kind: AnswerKind, sent_at: float, now: float
    ) -> None:
        rate = self.rate_by_id.get(load.backend_id)
        if rate is None:
            return
        # Whether refusals and probes name rates at all is seen only where one did.
        if kind is not AnswerKind.ANSWER and kind not in rate.kinds:
            return
        was_held = rate.holds
        rate.cleared_at = max(rate.cleared_at, sent_at)
        if was_held and not rate.holds:
            rate.kinds.clear()
            self._log_ended(rate, kind.value, now)

    def _log_begun(self, rate: NamedRate, by: str, now: float) -> None:
        self.events['named'] += 1
        rate.logged_at = now
        log.info(
            'throttling: %s names a rate. per_second=%g by=%s',
            rate.load.backend_id,
            rate.per_second,
            by,
        )

    def _log_changed(self, rate: NamedRate, before: float, now: float) -> None:
        self.events['changed'] += 1
        if now - rate.logged_at < CHANGE_LOG_SECONDS:
            return
        rate.logged_at = now
        log.info(
            'throttling: %s names another rate. per_second=%g was=%g',
            rate.load.backend_id,
            rate.per_second,
            before,
        )

    def _log_ended(self, rate: NamedRate, by: str, now: float) -> None:
        self.events['ended'] += 1
        log.info(
            'throttling: %s names no rate any more. after_s=%.1f by=%s',
            rate.load.backend_id,
            now - rate.began_at,
            by,
        )
