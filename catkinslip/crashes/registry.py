"""Registry of requests during which servers crashed, and verdicts on their copies.

The state is a set of servers by request, so that a crash that several instances saw,
or that was reported twice, counts once. Times are passed in, in seconds of a monotonic
clock.
"""

import logging
from collections import Counter
from collections.abc import Iterator, Mapping

import trio
from attrs import Factory, define, evolve

from catkinslip.crashes.base import CrashRecord
from catkinslip.crashes.dropped import DroppedCrashes
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.suspect import (
    ALONE,
    FREE,
    VERDICT_SERVERS,
    Decision,
    Suspect,
    Verdict,
    cold_server_name,
    count_crashes,
    exclude_query,
    has_changed,
    lifetime,
)

#: Number of crashed servers from which a request is written to the store, and so
#: reaches all instances.
MIN_STORED_SERVERS = 2
#: Seconds after which a caller may retry a request for which no trial is left.
MAX_RETRY_SECONDS = 3600.0
#: Maximum number of suspect requests: 1.3 kB each with three servers (mean of 4,000),
#: 5 MB of the 128 MB of an instance.
MAX_SUSPECTS = 4_000
#: Maximum number of servers kept for one request; the first three decide the verdict.
MAX_SERVERS = 8
#: Maximum number of cold servers kept in addition; the first is enough to keep the
#: request away from all other cold servers.
MAX_COLD_SERVERS = 2

log = logging.getLogger('crashes')


@define
class CrashRegistry:
    """Registry of the requests during which servers crashed, in bounded memory."""

    #: Suspect requests, by the key that their copies share.
    suspect_by_key: dict[RequestKey, Suspect] = Factory(dict)
    #: Number of suspect requests by target; requests for other targets cost nothing.
    count_by_target: Counter[str] = Factory(Counter)
    #: Keys of the records in the last listing of the store.
    stored_keys: set[RequestKey] = Factory(set)
    #: Crashes that reports of peers must not restore.
    dropped: DroppedCrashes = Factory(DroppedCrashes)
    #: Number of crashes that this instance saw, for the metrics.
    crashes: int = 0
    #: Number of verdicts that took effect on this instance, for the metrics.
    verdicts: int = 0
    #: Set while there are changes to write to the store.
    has_unsaved: trio.Event = Factory(trio.Event)

    def decide(self, key: RequestKey, query: str, now: float) -> Decision:
        """Return the verdict on a request that has arrived, and its retry delay."""
        suspect = self.suspect_by_key.get(key)
        if suspect is None:
            return FREE
        suspect.seen_at = now
        if not suspect.is_refused(query):
            return ALONE
        next_trial_at = suspect.next_trial_at()
        if next_trial_at is None:
            return Decision(Verdict.REFUSED, MAX_RETRY_SECONDS)
        if now >= next_trial_at:
            return Decision(Verdict.TRIAL)
        return Decision(Verdict.REFUSED, next_trial_at - now)

    def record_crash(
        self,
        key: RequestKey,
        query: str,
        server: str,
        now: float,
        *,
        is_cold: bool = False,
    ) -> int:
        """Record a crash during a request; return the number of crashed servers."""
        self.crashes += 1
        server = cold_server_name(server) if is_cold else server
        self.dropped.discard(key, [server])
        suspect = self._merge(key, {server: query}, now, 'seen here')
        if suspect.server_count >= MIN_STORED_SERVERS:
            suspect.must_save = True
            self.has_unsaved.set()
        return suspect.server_count

    def apply_peer_report(
        self,
        key: RequestKey,
        query_by_server: Mapping[str, str],
        now: float,
        peer: str,
    ) -> None:
        """Apply a peer's report of the servers that crashed during a request."""
        new = self.dropped.filter_report(key, query_by_server)
        if new:
            self._merge(key, new, now, f'reported by {peer}')

    def record_answer(self, key: RequestKey, query: str) -> None:
        """Record an answer to a request, so that crashes with its query are dropped."""
        suspect = self.suspect_by_key.get(key)
        if suspect is None or query not in suspect.record.query_by_server.values():
            return
        log.info(
            'crashes: a suspect request was answered, crashes dropped. request=%s',
            key,
        )
        known = suspect.record.query_by_server
        kept = exclude_query(known, query)
        self.dropped.add(key, known.keys() - kept.keys())
        suspect.unsaved = exclude_query(suspect.unsaved, query)
        suspect.record = evolve(suspect.record, query_by_server=kept)
        if suspect.record.revision:
            suspect.must_save = True
            self.has_unsaved.set()
        elif not kept:
            self._remove(key)

    def apply_listing(self, stored: Mapping[str, CrashRecord], now: float) -> None:
        """Apply a listing of all records that the store holds, by name."""
        keys = {record.key for record in stored.values()}
        # Keeps records that the last listing lacked: they may have been written after
        # this listing was read.
        for key in self.stored_keys - keys:
            suspect = self.suspect_by_key.get(key)
            if suspect is not None:
                self._apply_removal(suspect)
        self.stored_keys = keys
        for record in stored.values():
            self.apply_record(record, now)

    def mark_records_unsaved(self) -> None:
        """Mark all stored records as unsaved, as the store may have lost them."""
        self.stored_keys = set()
        for suspect in self.suspect_by_key.values():
            if suspect.record.revision:
                suspect.unsaved = dict(suspect.record.query_by_server)
                suspect.record = evolve(suspect.record, revision=0)
                suspect.must_save = True
                self.has_unsaved.set()

    def apply_record(self, record: CrashRecord, now: float) -> None:
        """Apply a record of the store if its revision is newer than the known one."""
        suspect = self.suspect_by_key.get(record.key)
        if suspect is None:
            suspect = self._add_suspect(record.key, now)
        if record.revision <= suspect.record.revision:
            return
        stored = record.query_by_server
        self.dropped.discard(record.key, stored)
        for server in stored.keys() & suspect.unsaved.keys():
            del suspect.unsaved[server]
        known = suspect.record
        suspect.record = evolve(
            record,
            query_by_server={**stored, **suspect.unsaved},
            # A store that was restored from a backup may lack the last trials.
            trials=max(record.trials, known.trials),
        )
        if has_changed(known, suspect.record):
            suspect.changed_at = now
        self._log_crashes(known, suspect, f'stored at revision {record.revision}')

    def apply_conflicting_record(self, record: CrashRecord, now: float) -> None:
        """Apply the record that the store holds after a conflict on a write."""
        self.apply_record(record, now)
        suspect = self.suspect_by_key.get(record.key)
        if suspect is not None:
            suspect.must_save = bool(suspect.unsaved)

    def mark_saved(self, record: CrashRecord, now: float) -> None:
        """Mark a record as saved, with the revision that the store returned."""
        suspect = self.suspect_by_key.get(record.key)
        if suspect is not None:
            suspect.must_save = False
            self.apply_record(record, now)

    def mark_deleted(self, key: RequestKey) -> None:
        """Mark the record of a request as deleted from the store."""
        suspect = self.suspect_by_key.get(key)
        if suspect is not None:
            suspect.must_save = False
            self._apply_removal(suspect)

    def list_unsaved(self) -> list[Suspect]:
        """Return the suspects to write to the store, those with most servers first."""
        waiting = [each for each in self.suspect_by_key.values() if each.must_save]
        if not waiting:
            self.has_unsaved = trio.Event()
        return sorted(waiting, key=lambda each: -each.server_count)

    def remove_expired(self, now: float) -> list[CrashRecord]:
        """Remove expired unstored suspects; return the expired records of the store."""
        old = [
            suspect
            for suspect in self.suspect_by_key.values()
            if now - suspect.seen_at > lifetime(suspect)
        ]
        for suspect in old:
            if not suspect.record.revision:
                self._remove(suspect.record.key)
        return [each.record for each in old if each.record.revision]

    def _merge(
        self,
        key: RequestKey,
        query_by_server: Mapping[str, str],
        now: float,
        source: str,
    ) -> Suspect:
        suspect = self.suspect_by_key.get(key) or self._add_suspect(key, now)
        known = suspect.record.query_by_server
        new = list(new_servers(known, query_by_server))
        if new:
            before = suspect.record
            suspect.unsaved.update(new)
            merged = {**known, **dict(new)}
            suspect.record = evolve(suspect.record, query_by_server=merged)
            suspect.changed_at = suspect.seen_at = now
            self._log_crashes(before, suspect, source)
        return suspect

    def _log_crashes(self, before: CrashRecord, suspect: Suspect, source: str) -> None:
        servers = suspect.server_count
        was = count_crashes(before.query_by_server)
        if len(suspect.record.query_by_server) == len(before.query_by_server):
            return
        log.info(
            'crashes: servers crashed during a request. '
            'request=%s servers=%d was=%d %s%s',
            suspect.record.key,
            servers,
            was,
            source,
            ', refused from now on.' if servers >= VERDICT_SERVERS else '.',
        )
        if servers >= VERDICT_SERVERS > was:
            self.verdicts += 1

    def _add_suspect(self, key: RequestKey, now: float) -> Suspect:
        if len(self.suspect_by_key) >= MAX_SUSPECTS:
            self._remove(self._least_severe())
        suspect = Suspect(CrashRecord(key), changed_at=now, seen_at=now)
        self.suspect_by_key[key] = suspect
        self.count_by_target[key.target] += 1
        return suspect

    def _least_severe(self) -> RequestKey:
        suspects = self.suspect_by_key.values()
        least = min(suspects, key=lambda each: (each.server_count, each.seen_at))
        return least.record.key

    def _apply_removal(self, suspect: Suspect) -> None:
        """Keep only the unsaved crashes of a request whose record the store removed."""
        key = suspect.record.key
        removed = suspect.record.query_by_server.keys() - suspect.unsaved.keys()
        self.dropped.add(key, removed)
        suspect.record = CrashRecord(key, dict(suspect.unsaved))
        if not suspect.unsaved:
            self._remove(key)

    def _remove(self, key: RequestKey) -> None:
        if self.suspect_by_key.pop(key, None) is None:
            return
        self.count_by_target[key.target] -= 1
        if not self.count_by_target[key.target]:
            del self.count_by_target[key.target]


def new_servers(
    known: Mapping[str, str], reported: Mapping[str, str]
) -> Iterator[tuple[str, str]]:
    """Yield the reported servers that are new, up to the maximum for a request.

    Cold servers have a maximum of their own, so that they do not displace those that
    decide the verdict.
    """
    for is_cold, most in ((False, MAX_SERVERS), (True, MAX_COLD_SERVERS)):
        of_kind = [it for it in reported if is_cold != bool(count_crashes([it]))]
        crashes = count_crashes(known)
        held = len(known) - crashes if is_cold else crashes
        new = [server for server in of_kind if server not in known]
        yield from ((server, reported[server]) for server in new[: most - held])
