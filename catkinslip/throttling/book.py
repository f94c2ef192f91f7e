"""Which servers of a service name a rate, by the newest evidence."""

import logging
from collections import Counter
from collections.abc import Callable

from attrs import Factory, define

from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.throttling.messages import ToldRate
from catkinslip.throttling.signs import AnswerKind, RateSign

#: What another instance tells was true a little earlier than its datagram came.
ON_THE_WAY_SECONDS = 0.05
#: Entries lapse in outages of the store, those of many servers at once.
MOST_GONE = 1000
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
    #: Whether a probe was answered without it in this need.
    are_probes_mute: bool = False
    #: When this instance told others of it last.
    told_at: float = NEVER
    #: When this instance sent to it last, as far as that counts for its turns.
    sent_at: float = NEVER
    logged_at: float = NEVER
    has_been_malformed: bool = False

    @property
    def holds(self) -> bool:
        """Tell whether the server names a rate, as far as known.

        An answer without one ends it only if its request was sent after the last
        answer that names one had come: others may have been begun before.
        """
        return self.named_at > self.cleared_at

    def begin(self, now: float) -> None:
        """Take that the server names a rate from now on."""
        self.began_at = now
        self.are_probes_mute = False


OnSeen = Callable[[NamedRate, bool], None]


def ignore_seen(rate: NamedRate, is_change: bool) -> None:
    """Take no notice of what an answer said."""


@define
class RateBook:
    """Keep what the servers of one service name."""

    #: Learns what answers to this instance say, and whether it was news.
    on_seen: OnSeen = ignore_seen

    rate_by_id: dict[str, NamedRate] = Factory(dict)
    #: Of servers whose entries are gone, as these may be back with the same need.
    gone_by_id: dict[str, NamedRate] = Factory(dict)
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

    def heard(self, load: BackendLoad, told: ToldRate, now: float) -> None:
        """Take what another instance knows of a server."""
        rate = self._known(load)
        was_held = rate.holds
        named_at = now - told.named_seconds
        if named_at > rate.named_at:
            rate.named_at = named_at
            rate.per_second = told.per_second
        if told.cleared_seconds is not None:
            cleared_at = now - told.cleared_seconds - ON_THE_WAY_SECONDS
            rate.cleared_at = max(rate.cleared_at, cleared_at)
        if not rate.holds:
            if was_held:
                self._end(rate, told.by, now)
            return
        if not was_held:
            rate.begin(now)
            self._log_begun(rate, told.by, now)
        if told.is_in_probes:
            rate.kinds.add(AnswerKind.PROBE)

    def forget(self, load: BackendLoad) -> None:
        """Take that a server is gone, for good or until its entry is back."""
        rate = self.rate_by_id.pop(load.backend_id, None)
        if rate is None:
            return
        if len(self.gone_by_id) >= MOST_GONE:
            del self.gone_by_id[next(iter(self.gone_by_id))]
        self.gone_by_id[load.backend_id] = rate

    def take_back(self, load: BackendLoad) -> None:
        """Take a server that is new here; one that was here before may be in need."""
        backend_id = load.backend_id
        rate = self.rate_by_id.pop(backend_id, None)
        rate = self.gone_by_id.pop(backend_id, rate)
        if rate is not None and rate.load.incarnation == load.incarnation:
            rate.load = load
            self.rate_by_id[backend_id] = rate

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
        before = rate.per_second if rate.holds else None
        rate.named_at = max(rate.named_at, now)
        rate.per_second = per_second
        if before is None:
            rate.begin(now)
            self._log_begun(rate, kind.value, now)
        elif per_second != before:
            self._log_changed(rate, before, now)
        rate.kinds.add(kind)
        self.on_seen(rate, per_second != before)

    def _take_none(
        self, load: BackendLoad, kind: AnswerKind, sent_at: float, now: float
    ) -> None:
        rate = self.rate_by_id.get(load.backend_id)
        if rate is None:
            return
        # Whether others than successes name rates is seen only where one did.
        if kind is not AnswerKind.ANSWER and kind not in rate.kinds:
            rate.are_probes_mute |= kind is AnswerKind.PROBE
            return
        was_held = rate.holds
        rate.cleared_at = max(rate.cleared_at, sent_at)
        has_ended = was_held and not rate.holds
        if has_ended:
            self._end(rate, kind.value, now)
        if not rate.holds:
            self.on_seen(rate, has_ended)

    def _end(self, rate: NamedRate, by: str, now: float) -> None:
        rate.kinds.clear()
        self._log_ended(rate, by, now)

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
