"""Which servers of a service asked this instance for rest, and until when.

No answer shortens what another one asked for, and a success ends nothing: its request
was sent before. A server's next start ends it. What a server asked for outlasts its
entry, as entries lapse while the store is away and are back.
"""

import logging
from collections import Counter

from attrs import Factory, define

from catkinslip.resting.signs import RestSign
from catkinslip.routing.base import NEVER, BackendLoad
from catkinslip.throttling.signals import AnswerKind

#: A rest that has been over for so long is forgotten, whether or not it was tried.
KEPT_SECONDS = 60.0
MOST_MALFORMED = 1000

#: A probe tells nothing: servers that turn all away answer it as well.
TAKEN = frozenset({AnswerKind.ANSWER, AnswerKind.FAILURE})

log = logging.getLogger('resting')


@define
class Rest:
    """The rest that one server asked for; monotonic seconds."""

    load: BackendLoad
    began_at: float = NEVER
    until: float = NEVER

    @property
    def is_being_tried(self) -> bool:
        """Tell whether a request is there that was sent after the rest."""
        return self.load.in_flight > 0 and self.load.picked_at >= self.until

    def left(self, now: float) -> float:
        """Return the seconds that the rest still lasts."""
        return max(0.0, self.until - now)


@define
class RestBook:
    """Keep what the servers of one service asked for."""

    rest_by_id: dict[str, Rest] = Factory(dict)
    #: Servers whose unreadable times were told in the log.
    malformed_ids: set[str] = Factory(set)
    #: How often servers asked for rest, took requests again, or asked unreadably.
    events: Counter[str] = Factory(Counter)

    def find(self, load: BackendLoad | None, now: float) -> Rest | None:
        """Return the rest of a server; None if it rests not."""
        if load is None or not self.rest_by_id:
            return None
        rest = self.rest_by_id.get(load.backend_id)
        return rest if rest is not None and now < rest.until else None

    def resting(self, now: float) -> list[Rest]:
        """Return the rests that last."""
        return [each for each in self.rest_by_id.values() if now < each.until]

    def told(
        self,
        load: BackendLoad,
        sign: RestSign,
        kind: AnswerKind,
        sent_at: float,
        now: float,
    ) -> None:
        """Take what an answer asks for to a request that was sent at a time."""
        if sign.is_malformed:
            self._take_malformed(load)
        elif sign.seconds:
            self._take_asked(load, sign.seconds, kind, now)
        elif kind in TAKEN:
            self._take_taken(load, sent_at, now)

    def take_back(self, load: BackendLoad) -> None:
        """Take a server that is new here; one that was here before may rest."""
        rest = self.rest_by_id.pop(load.backend_id, None)
        if rest is not None and rest.load.incarnation == load.incarnation:
            rest.load = load
            self.rest_by_id[load.backend_id] = rest

    def forget_old(self, now: float) -> None:
        """Forget rests that were over long ago."""
        for backend_id, rest in list(self.rest_by_id.items()):
            if now - rest.until > KEPT_SECONDS:
                del self.rest_by_id[backend_id]

    def _take_malformed(self, load: BackendLoad) -> None:
        self.events['malformed'] += 1
        if len(self.malformed_ids) >= MOST_MALFORMED:
            self.malformed_ids.clear()
        if load.backend_id not in self.malformed_ids:
            self.malformed_ids.add(load.backend_id)
            log.warning('resting: unreadable time of rest. backend=%s', load.backend_id)

    def _take_asked(
        self, load: BackendLoad, seconds: float, kind: AnswerKind, now: float
    ) -> None:
        self.forget_old(now)
        rest = self._known(load)
        if now >= rest.until:
            rest.began_at = now
        rest.until = max(rest.until, now + seconds)
        self.events['asked'] += 1
        log.info(
            'resting: %s asks for rest. seconds=%g left_s=%.1f by=%s',
            load.backend_id,
            seconds,
            rest.left(now),
            kind.value,
        )

    def _take_taken(self, load: BackendLoad, sent_at: float, now: float) -> None:
        """Take that a server took a request; after its rest that ends the trial."""
        rest = self.rest_by_id.get(load.backend_id)
        if rest is None or sent_at < rest.until:
            return
        del self.rest_by_id[load.backend_id]
        self.events['taken'] += 1
        log.info(
            'resting: %s takes requests again. after_s=%.1f',
            load.backend_id,
            now - rest.began_at,
        )

    def _known(self, load: BackendLoad) -> Rest:
        return self.rest_by_id.setdefault(load.backend_id, Rest(load))
