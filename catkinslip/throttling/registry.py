"""The servers of a service that advertise a request rate, by the newest evidence."""

import logging
from collections import Counter
from collections.abc import Callable

from attrs import Factory, define

from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.throttling.messages import RateReport
from catkinslip.throttling.signals import AnswerKind, RateSignal

#: Allowance in seconds for the transit of a datagram: a peer's report describes the
#: state this much earlier than its arrival.
TRANSIT_SECONDS = 0.05
#: Maximum number of removed servers that are remembered; an outage of the store makes
#: the entries of many servers expire at once.
MAX_REMOVED = 1000
#: Minimum seconds between two log lines about a changed rate of one server, as a server
#: may advertise another rate with each answer.
CHANGE_LOG_SECONDS = 1.0

log = logging.getLogger('throttling')


@define
class AdvertisedRate:
    """The rate that one server advertises, as far as known; monotonic seconds."""

    load: BackendLoad
    per_second: float = 0.0
    #: Time of the newest answer that advertises a rate.
    advertised_at: float = NEVER
    #: Time at which the newest request was sent whose answer advertises no rate.
    cleared_at: float = NEVER
    #: Time since which the server has advertised a rate without interruption.
    began_at: float = NEVER
    #: Kinds of answer that have advertised the rate since then.
    kinds: set[AnswerKind] = Factory(set)
    #: Whether a probe was answered without a rate since then.
    are_probes_without_rate: bool = False
    #: Time at which this instance last gossiped the rate.
    gossiped_at: float = NEVER
    #: Time of the last request from this instance, as far as it counts for its turns.
    sent_at: float = NEVER
    logged_at: float = NEVER
    has_been_malformed: bool = False

    @property
    def is_active(self) -> bool:
        """Return whether the server advertises a rate, as far as known.

        An answer without a rate ends the throttling only if its request was sent after
        the last answer with a rate had arrived: other requests may have started before.
        """
        return self.advertised_at > self.cleared_at

    def begin(self, now: float) -> None:
        """Mark the server as throttled from now on."""
        self.began_at = now
        self.are_probes_without_rate = False


OnObservation = Callable[[AdvertisedRate, bool], None]


def ignore_observation(rate: AdvertisedRate, is_change: bool) -> None:
    """Ignore an observed rate."""


@define
class RateRegistry:
    """The rates that the servers of one service advertise."""

    #: Callback for each rate that an answer to this instance carries; its second
    #: argument is whether the rate changed.
    on_observation: OnObservation = ignore_observation

    rate_by_id: dict[str, AdvertisedRate] = Factory(dict)
    #: Rates of removed servers, which may return with the same rate.
    removed_by_id: dict[str, AdvertisedRate] = Factory(dict)
    #: Number of times that servers began to advertise a rate, changed it, ended it or
    #: sent one that cannot be read, by event.
    events: Counter[str] = Factory(Counter)

    def find(self, load: BackendLoad | None) -> AdvertisedRate | None:
        """Return the rate that a server advertises; None if it advertises none."""
        if load is None or not self.rate_by_id:
            return None
        rate = self.rate_by_id.get(load.backend_id)
        return rate if rate is not None and rate.is_active else None

    def active_rates(self) -> list[AdvertisedRate]:
        """Return the rates that servers advertise now."""
        return [rate for rate in self.rate_by_id.values() if rate.is_active]

    def apply_answer(
        self,
        load: BackendLoad,
        signal: RateSignal,
        kind: AnswerKind,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply the rate in an answer to a request that was sent at a given time."""
        if signal.is_malformed:
            self._record_malformed(load)
        elif signal.per_second is not None:
            self._record_rate(self._find_or_add(load), signal.per_second, kind, now)
        else:
            self._record_no_rate(load, kind, sent_at, now)

    def apply_peer_report(
        self, load: BackendLoad, report: RateReport, now: float
    ) -> None:
        """Apply a rate that another instance reports."""
        rate = self._find_or_add(load)
        was_active = rate.is_active
        advertised_at = now - report.advertised_seconds
        if advertised_at > rate.advertised_at:
            rate.advertised_at = advertised_at
            rate.per_second = report.per_second
        if report.cleared_seconds is not None:
            cleared_at = now - report.cleared_seconds - TRANSIT_SECONDS
            rate.cleared_at = max(rate.cleared_at, cleared_at)
        if not rate.is_active:
            if was_active:
                self._end(rate, report.by, now)
            return
        if not was_active:
            rate.begin(now)
            self._log_begun(rate, report.by, now)
        if report.is_in_probes:
            rate.kinds.add(AnswerKind.PROBE)

    def forget(self, load: BackendLoad) -> None:
        """Remove a server, for good or until its entry returns."""
        rate = self.rate_by_id.pop(load.backend_id, None)
        if rate is None:
            return
        if len(self.removed_by_id) >= MAX_REMOVED:
            del self.removed_by_id[next(iter(self.removed_by_id))]
        self.removed_by_id[load.backend_id] = rate

    def restore(self, load: BackendLoad) -> None:
        """Add a server, and restore its rate if the same start of it was removed."""
        backend_id = load.backend_id
        rate = self.rate_by_id.pop(backend_id, None)
        rate = self.removed_by_id.pop(backend_id, rate)
        if rate is not None and rate.load.incarnation == load.incarnation:
            rate.load = load
            self.rate_by_id[backend_id] = rate

    def _find_or_add(self, load: BackendLoad) -> AdvertisedRate:
        return self.rate_by_id.setdefault(load.backend_id, AdvertisedRate(load))

    def _record_malformed(self, load: BackendLoad) -> None:
        """Count an unreadable rate and change nothing else.

        The server may still be throttled, or never was.
        """
        self.events['malformed'] += 1
        rate = self._find_or_add(load)
        if not rate.has_been_malformed:
            rate.has_been_malformed = True
            log.warning('throttling: unreadable rate. backend=%s', load.backend_id)

    def _record_rate(
        self, rate: AdvertisedRate, per_second: float, kind: AnswerKind, now: float
    ) -> None:
        before = rate.per_second if rate.is_active else None
        rate.advertised_at = max(rate.advertised_at, now)
        rate.per_second = per_second
        if before is None:
            rate.begin(now)
            self._log_begun(rate, kind.value, now)
        elif per_second != before:
            self._log_changed(rate, before, now)
        rate.kinds.add(kind)
        self.on_observation(rate, per_second != before)

    def _record_no_rate(
        self, load: BackendLoad, kind: AnswerKind, sent_at: float, now: float
    ) -> None:
        rate = self.rate_by_id.get(load.backend_id)
        if rate is None:
            return
        # An answer other than a success ends the throttling only if that kind of answer
        # has advertised the rate before: some servers advertise it only in successes.
        if kind is not AnswerKind.ANSWER and kind not in rate.kinds:
            rate.are_probes_without_rate |= kind is AnswerKind.PROBE
            return
        was_active = rate.is_active
        rate.cleared_at = max(rate.cleared_at, sent_at)
        has_ended = was_active and not rate.is_active
        if has_ended:
            self._end(rate, kind.value, now)
        if not rate.is_active:
            self.on_observation(rate, has_ended)

    def _end(self, rate: AdvertisedRate, by: str, now: float) -> None:
        rate.kinds.clear()
        self._log_ended(rate, by, now)

    def _log_begun(self, rate: AdvertisedRate, by: str, now: float) -> None:
        self.events['named'] += 1
        rate.logged_at = now
        log.info(
            'throttling: %s advertises a rate. per_second=%g by=%s',
            rate.load.backend_id,
            rate.per_second,
            by,
        )

    def _log_changed(self, rate: AdvertisedRate, before: float, now: float) -> None:
        self.events['changed'] += 1
        if now - rate.logged_at < CHANGE_LOG_SECONDS:
            return
        rate.logged_at = now
        log.info(
            'throttling: %s advertises another rate. per_second=%g was=%g',
            rate.load.backend_id,
            rate.per_second,
            before,
        )

    def _log_ended(self, rate: AdvertisedRate, by: str, now: float) -> None:
        self.events['ended'] += 1
        log.info(
            'throttling: %s no longer advertises a rate. after_s=%.1f by=%s',
            rate.load.backend_id,
            now - rate.began_at,
            by,
        )
