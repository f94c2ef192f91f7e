"""Registry of the rest periods that the servers of a service requested.

No answer shortens a rest period that another one requested, and a success does not end
one, as its request was sent before. The server's next start ends it. A rest period
outlasts the server's entry, as entries expire while the store is unavailable and return
afterwards.
"""

import logging
from collections import Counter

from attrs import Factory, define

from catkinslip.resting.signals import RestSignal
from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.throttling.signals import AnswerKind

#: Seconds after its end at which a rest period is forgotten, whether or not a trial
#: request was sent.
EXPIRED_REST_KEPT_SECONDS = 60.0
MAX_MALFORMED_IDS = 1000

#: Kinds of answers that show that a server accepts requests. Answers to probes do not,
#: as servers that refuse all requests answer probes too.
ACCEPTED_KINDS = frozenset({AnswerKind.ANSWER, AnswerKind.FAILURE})

log = logging.getLogger('resting')


@define
class Rest:
    """The rest period that one server requested; times are monotonic seconds."""

    load: BackendLoad
    began_at: float = NEVER
    until: float = NEVER

    @property
    def is_on_trial(self) -> bool:
        """Return whether a request sent after the rest period is in flight."""
        return self.load.in_flight > 0 and self.load.selected_at >= self.until

    def remaining(self, now: float) -> float:
        """Return the remaining seconds of the rest period."""
        return max(0.0, self.until - now)


@define
class RestRegistry:
    """Rest periods of the servers of one service."""

    rest_by_id: dict[str, Rest] = Factory(dict)
    #: Servers whose malformed rest periods have been logged.
    malformed_ids: set[str] = Factory(set)
    #: Number of requested rest periods, of servers that accepted requests again
    #: afterwards, and of malformed rest periods.
    events: Counter[str] = Factory(Counter)

    def find(self, load: BackendLoad | None, now: float) -> Rest | None:
        """Return the current rest period of a server, or None."""
        if load is None or not self.rest_by_id:
            return None
        rest = self.rest_by_id.get(load.backend_id)
        return rest if rest is not None and now < rest.until else None

    def resting(self, now: float) -> list[Rest]:
        """Return the rest periods that have not ended."""
        return [each for each in self.rest_by_id.values() if now < each.until]

    def apply_signal(
        self,
        load: BackendLoad,
        signal: RestSignal,
        kind: AnswerKind,
        sent_at: float,
        now: float,
    ) -> None:
        """Apply the rest signal of an answer to a request sent at a given time."""
        if signal.is_malformed:
            self._record_malformed(load)
        elif signal.seconds:
            self._extend_rest(load, signal.seconds, kind, now)
        elif kind in ACCEPTED_KINDS:
            self._end_trial(load, sent_at, now)

    def restore(self, load: BackendLoad) -> None:
        """Restore the rest period of a server that is registered again."""
        rest = self.rest_by_id.pop(load.backend_id, None)
        if rest is not None and rest.load.incarnation == load.incarnation:
            rest.load = load
            self.rest_by_id[load.backend_id] = rest

    def forget_old(self, now: float) -> None:
        """Forget rest periods that ended long ago."""
        for backend_id, rest in list(self.rest_by_id.items()):
            if now - rest.until > EXPIRED_REST_KEPT_SECONDS:
                del self.rest_by_id[backend_id]

    def _record_malformed(self, load: BackendLoad) -> None:
        self.events['malformed'] += 1
        if len(self.malformed_ids) >= MAX_MALFORMED_IDS:
            self.malformed_ids.clear()
        if load.backend_id not in self.malformed_ids:
            self.malformed_ids.add(load.backend_id)
            log.warning('resting: malformed rest period. backend=%s', load.backend_id)

    def _extend_rest(
        self, load: BackendLoad, seconds: float, kind: AnswerKind, now: float
    ) -> None:
        self.forget_old(now)
        rest = self._find_or_add(load)
        if now >= rest.until:
            rest.began_at = now
        rest.until = max(rest.until, now + seconds)
        self.events['asked'] += 1
        log.info(
            'resting: %s requested a rest period. seconds=%g left_s=%.1f by=%s',
            load.backend_id,
            seconds,
            rest.remaining(now),
            kind.value,
        )

    def _end_trial(self, load: BackendLoad, sent_at: float, now: float) -> None:
        """End the trial of a server that accepted a request after its rest period."""
        rest = self.rest_by_id.get(load.backend_id)
        if rest is None or sent_at < rest.until:
            return
        del self.rest_by_id[load.backend_id]
        self.events['taken'] += 1
        log.info(
            'resting: %s accepts requests again. after_s=%.1f',
            load.backend_id,
            now - rest.began_at,
        )

    def _find_or_add(self, load: BackendLoad) -> Rest:
        return self.rest_by_id.setdefault(load.backend_id, Rest(load))
