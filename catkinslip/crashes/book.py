"""Which requests ended servers, and what becomes of their next copy.

The state is a set of servers by request, so that what several instances saw or heard
twice counts once. Time comes in as an argument, in seconds that never go back.
"""

import logging
from collections import Counter
from collections.abc import Iterator, Mapping

import trio
from attrs import Factory, define, evolve

from catkinslip.crashes.base import CrashRecord
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.suspect import (
    ALONE,
    FREE,
    GUILTY_SERVERS,
    Judgement,
    Suspect,
    Verdict,
    cold_name,
    count_ends,
    is_news,
    lifetime,
    without,
)

#: So many servers are worth a write to the store and news to all instances.
STORED_SERVERS = 2
#: Callers are told to come back after this long where no trial is left.
LONGEST_RETRY_SECONDS = 3600.0
#: 1.3 kB each with three servers (mean of 4,000): 5 MB of the 128 MB of an instance.
MOST_SUSPECTS = 4_000
#: Servers kept of one request; the first three decide.
MOST_SERVERS = 8
#: And cold ones: the first keeps it from all others that are cold.
MOST_COLD_SERVERS = 2

log = logging.getLogger('crashes')


@define
class CrashBook:
    """Hold the requests under which servers ended, in bounded memory."""

    suspect_by_key: dict[RequestKey, Suspect] = Factory(dict)
    #: How many of them each target has; requests for others cost nothing.
    count_by_target: Counter[str] = Factory(Counter)
    #: What the last look at the store showed.
    stored_keys: set[RequestKey] = Factory(set)
    #: Own observations, for the metrics.
    ends: int = 0
    verdicts: int = 0
    #: Set when the store must be told something.
    has_unsaved: trio.Event = Factory(trio.Event)

    def judge(self, key: RequestKey, query: str, now: float) -> Judgement:
        """Return what becomes of a request that has come."""
        suspect = self.suspect_by_key.get(key)
        if suspect is None:
            return FREE
        suspect.seen_at = now
        if not suspect.is_guilty(query):
            return ALONE
        trial_at = suspect.trial_at()
        if trial_at is None:
            return Judgement(Verdict.REFUSED, LONGEST_RETRY_SECONDS)
        if now >= trial_at:
            return Judgement(Verdict.TRIAL)
        return Judgement(Verdict.REFUSED, trial_at - now)

    def ended(
        self,
        key: RequestKey,
        query: str,
        server: str,
        now: float,
        *,
        is_cold: bool = False,
    ) -> int:
        """Take that a server ended under a request; return how many have by now."""
        self.ends += 1
        server = cold_name(server) if is_cold else server
        suspect = self._add(key, {server: query}, now, 'seen here')
        if suspect.servers >= STORED_SERVERS:
            suspect.must_save = True
            self.has_unsaved.set()
        return suspect.servers

    def heard(
        self,
        key: RequestKey,
        query_by_server: Mapping[str, str],
        now: float,
        teller: str,
    ) -> None:
        """Take what another instance tells of a request."""
        self._add(key, query_by_server, now, f'told by {teller}')

    def answered(self, key: RequestKey, query: str) -> None:
        """Take that a server ran a request and answered: its ends were chance."""
        suspect = self.suspect_by_key.get(key)
        if suspect is None or query not in suspect.record.query_by_server.values():
            return
        log.info(
            'crashes: a request is answered, its ends were chance. request=%s', key
        )
        kept = without(suspect.record.query_by_server, query)
        suspect.unsaved = without(suspect.unsaved, query)
        suspect.record = evolve(suspect.record, query_by_server=kept)
        if suspect.record.revision:
            suspect.must_save = True
            self.has_unsaved.set()
        elif not kept:
            self._forget(key)

    def take_stored(self, stored: Mapping[str, CrashRecord], now: float) -> None:
        """Take over all records that the store holds, by name."""
        keys = {record.key for record in stored.values()}
        # What is new here may have been written after this look at the store.
        for key in self.stored_keys - keys:
            suspect = self.suspect_by_key.get(key)
            if suspect is not None:
                self._take_removal(suspect)
        self.stored_keys = keys
        for record in stored.values():
            self.take_record(record, now)

    def lost_by_store(self) -> None:
        """Take that the store may have lost every record, and is to be told again."""
        self.stored_keys = set()
        for suspect in self.suspect_by_key.values():
            if suspect.record.revision:
                suspect.unsaved = dict(suspect.record.query_by_server)
                suspect.record = evolve(suspect.record, revision=0)
                suspect.must_save = True
                self.has_unsaved.set()

    def take_record(self, record: CrashRecord, now: float) -> None:
        """Take over one record of the store unless it is older."""
        suspect = self.suspect_by_key.get(record.key)
        if suspect is None:
            suspect = self._new(record.key, now)
        if record.revision <= suspect.record.revision:
            return
        stored = record.query_by_server
        for server in stored.keys() & suspect.unsaved.keys():
            del suspect.unsaved[server]
        known = suspect.record
        suspect.record = evolve(
            record,
            query_by_server={**stored, **suspect.unsaved},
            # A copy of the store may lack the last ones.
            trials=max(record.trials, known.trials),
        )
        if is_news(known, suspect.record):
            suspect.changed_at = now
        self._note_verdict(known, suspect, f'stored at {record.revision}')

    def reread(self, record: CrashRecord, now: float) -> None:
        """Take what the store holds instead of what was to be written."""
        self.take_record(record, now)
        suspect = self.suspect_by_key.get(record.key)
        if suspect is not None:
            suspect.must_save = bool(suspect.unsaved)

    def saved(self, record: CrashRecord, now: float) -> None:
        """Take that the store took a record."""
        suspect = self.suspect_by_key.get(record.key)
        if suspect is not None:
            suspect.must_save = False
            self.take_record(record, now)

    def deleted(self, key: RequestKey) -> None:
        """Take that the store holds no record any more."""
        suspect = self.suspect_by_key.get(key)
        if suspect is not None:
            suspect.must_save = False
            self._take_removal(suspect)

    def to_save(self) -> list[Suspect]:
        """Return what the store must be told, the gravest first."""
        waiting = [each for each in self.suspect_by_key.values() if each.must_save]
        if not waiting:
            self.has_unsaved = trio.Event()
        return sorted(waiting, key=lambda each: -each.servers)

    def forget_old(self, now: float) -> list[CrashRecord]:
        """Forget what came long ago; return what the store should forget too."""
        old = [
            suspect
            for suspect in self.suspect_by_key.values()
            if now - suspect.seen_at > lifetime(suspect)
        ]
        for suspect in old:
            if not suspect.record.revision:
                self._forget(suspect.record.key)
        return [each.record for each in old if each.record.revision]

    def _add(
        self,
        key: RequestKey,
        query_by_server: Mapping[str, str],
        now: float,
        source: str,
    ) -> Suspect:
        suspect = self.suspect_by_key.get(key) or self._new(key, now)
        known = suspect.record.query_by_server
        new = list(news_of(known, query_by_server))
        if new:
            before = suspect.record
            suspect.unsaved.update(new)
            merged = {**known, **dict(new)}
            suspect.record = evolve(suspect.record, query_by_server=merged)
            suspect.changed_at = suspect.seen_at = now
            self._note_verdict(before, suspect, source)
        return suspect

    def _note_verdict(self, before: CrashRecord, suspect: Suspect, source: str) -> None:
        servers = suspect.servers
        was = count_ends(before.query_by_server)
        if len(suspect.record.query_by_server) == len(before.query_by_server):
            return
        log.info(
            'crashes: servers ended under a request. request=%s servers=%d was=%d %s%s',
            suspect.record.key,
            servers,
            was,
            source,
            ', refused from now on.' if servers >= GUILTY_SERVERS else '.',
        )
        if servers >= GUILTY_SERVERS > was:
            self.verdicts += 1

    def _new(self, key: RequestKey, now: float) -> Suspect:
        if len(self.suspect_by_key) >= MOST_SUSPECTS:
            self._forget(self._least_grave())
        suspect = Suspect(CrashRecord(key), changed_at=now, seen_at=now)
        self.suspect_by_key[key] = suspect
        self.count_by_target[key.target] += 1
        return suspect

    def _least_grave(self) -> RequestKey:
        suspects = self.suspect_by_key.values()
        least = min(suspects, key=lambda each: (each.servers, each.seen_at))
        return least.record.key

    def _take_removal(self, suspect: Suspect) -> None:
        """Keep only what was learned since."""
        key = suspect.record.key
        suspect.record = CrashRecord(key, dict(suspect.unsaved))
        if not suspect.unsaved:
            self._forget(key)

    def _forget(self, key: RequestKey) -> None:
        if self.suspect_by_key.pop(key, None) is None:
            return
        self.count_by_target[key.target] -= 1
        if not self.count_by_target[key.target]:
            del self.count_by_target[key.target]


def news_of(
    known: Mapping[str, str], told: Mapping[str, str]
) -> Iterator[tuple[str, str]]:
    """Yield the servers that are new, as far as there is room.

    Cold ones take no room of those that decide.
    """
    for is_cold, most in ((False, MOST_SERVERS), (True, MOST_COLD_SERVERS)):
        of_kind = [it for it in told if is_cold != bool(count_ends([it]))]
        ends = count_ends(known)
        held = len(known) - ends if is_cold else ends
        new = [server for server in of_kind if server not in known]
        yield from ((server, told[server]) for server in new[: most - held])
