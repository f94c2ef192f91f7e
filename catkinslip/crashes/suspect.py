"""Suspect requests, during which servers crashed, and verdicts on their next copies."""

from collections.abc import Iterable, Mapping
from enum import Enum, unique

from attrs import Factory, define, frozen

from catkinslip.crashes.base import CrashRecord

#: Number of crashed servers from which a request is sent to no other server. Fewer may
#: be coincidence: the requests beside a crashing one look alike, as do those of a rack
#: that fails.
VERDICT_SERVERS = 3
#: Seconds from the last new crash or trial to the next trial, in which one more server
#: shows whether the request still crashes servers. There are two trials and not three,
#: as all instances together may send the request three times more. The first comes
#: soon, as an innocent request that many callers send is refused to all of them.
TRIAL_SECONDS = (10.0, 300.0)
#: Seconds without the request after which one or two crashes expire: a request that
#: crashes a server every five minutes is still detected.
SUSPECT_SECONDS = 600.0
#: Seconds without the request after which a verdict expires.
VERDICT_SECONDS = 86_400.0

#: Suffix of the names of servers that were cold when they crashed.
COLD_SUFFIX = '/cold'


@unique
class Verdict(Enum):
    """Restriction on the sending of a request."""

    #: No crash is recorded; the request is sent without restriction.
    FREE = 'free'
    #: Servers crashed: one server may run the request, without retries or hedges.
    ALONE = 'alone'
    #: Too many servers crashed; one may run the request if the store grants a trial.
    TRIAL = 'trial'
    #: The request is sent to no server.
    REFUSED = 'refused'


@frozen
class Decision:
    """Verdict on a request, and the seconds after which it may change."""

    verdict: Verdict
    retry_after: float = 0.0


FREE = Decision(Verdict.FREE)
ALONE = Decision(Verdict.ALONE)


@define
class Suspect:
    """State of one suspect request on this instance; times are in seconds."""

    #: All known crashes and trials, including the unsaved crashes.
    record: CrashRecord
    #: Queries by server, of crashes that the store is not known to hold.
    unsaved: dict[str, str] = Factory(dict)
    #: Whether the record has to be written to the store.
    must_save: bool = False
    #: Time of the last new crash or trial.
    changed_at: float = 0.0
    #: Time at which the request last arrived or crashed a server.
    seen_at: float = 0.0

    @property
    def server_count(self) -> int:
        """Return the number of crashed servers, without those that were cold."""
        return count_crashes(self.record.query_by_server)

    def is_refused(self, query: str) -> bool:
        """Return whether a copy of the request with a query is to be refused.

        Copies with any query are refused if several queries crashed servers.
        """
        if self.server_count < VERDICT_SERVERS:
            return False
        queries = set(self.record.query_by_server.values())
        return query in queries or len(queries) > 1

    def next_trial_at(self) -> float | None:
        """Return the time from which the next trial may start; None if none is left."""
        trials = self.record.trials
        if trials >= len(TRIAL_SECONDS):
            return None
        return self.changed_at + TRIAL_SECONDS[trials]


def cold_server_name(server: str) -> str:
    """Return the name under which the crash of a cold server is recorded."""
    return f'{server}{COLD_SUFFIX}'


def count_crashes(servers: Iterable[str]) -> int:
    """Return the number of crashed servers, without those that were cold.

    A cold server crashes if too many requests arrive at once, whatever they are; so its
    crash only keeps the request away from other cold servers.
    """
    return sum(not server.endswith(COLD_SUFFIX) for server in servers)


def exclude_query(query_by_server: Mapping[str, str], query: str) -> dict[str, str]:
    """Return the crashes of all queries except one."""
    return {k: v for k, v in query_by_server.items() if v != query}


def has_changed(before: CrashRecord, after: CrashRecord) -> bool:
    """Return whether a record has a crash or trial that an earlier one lacks."""
    is_more = after.query_by_server.keys() - before.query_by_server.keys()
    return bool(is_more) or after.trials != before.trials


def lifetime(suspect: Suspect) -> float:
    """Return the seconds without the request after which a suspect expires."""
    has_verdict = suspect.server_count >= VERDICT_SERVERS
    return VERDICT_SECONDS if has_verdict else SUSPECT_SECONDS


def count_refused(suspects: Iterable[Suspect]) -> int:
    """Return the number of suspects that are refused."""
    return sum(each.server_count >= VERDICT_SERVERS for each in suspects)
