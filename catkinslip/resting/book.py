"""Which servers of a service asked this instance for rest, and until when."""

import logging
from collections import Counter

from attrs import Factory, define

from catkinslip.resting.signs import RestSign
from catkinslip.routing.base import NEVER, BackendLoad

log = logging.getLogger('resting')


@define
class Rest:
    """The rest that one server asked for; monotonic seconds."""

    load: BackendLoad
    began_at: float = NEVER
    until: float = NEVER
    has_been_malformed: bool = False

    def left(self, now: float) -> float:
        """Return the seconds that the rest still lasts."""
        return max(0.0, self.until - now)


@define
class RestBook:
    """Keep what the servers of one service asked for."""

    rest_by_id: dict[str, Rest] = Factory(dict)
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

    def told(self, load: BackendLoad, sign: RestSign, by: str, now: float) -> None:
        """Take what an answer asks for; no answer shortens what another asked."""
        if sign.is_malformed:
            self._take_malformed(load)
        elif sign.seconds is not None:
            self._take_asked(load, sign.seconds, by, now)

    def _take_malformed(self, load: BackendLoad) -> None:
        self.events['malformed'] += 1
        rest = self._known(load)
        if not rest.has_been_malformed:
            rest.has_been_malformed = True
            log.warning('resting: unreadable time of rest. backend=%s', load.backend_id)

    def _take_asked(
        self, load: BackendLoad, seconds: float, by: str, now: float
    ) -> None:
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
            by,
        )

    def _known(self, load: BackendLoad) -> Rest:
        return self.rest_by_id.setdefault(load.backend_id, Rest(load))
