"""The client of the platform's store; it retries no call."""

import json
import logging
import re
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any
from urllib.parse import quote

import orjson
import trio
from attrs import Factory, asdict, define, evolve, frozen
from returns.result import Failure, Result, Success

from catkinslip.crashes.base import CrashRecord, CrashStore
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.objects import record_to_plain
from catkinslip.discovery.base import (
    Changes,
    HistoryRemoved,
    InstanceEntry,
    InstanceRegistry,
    Listing,
    Source,
    Value,
)
from catkinslip.discovery.revisions import era_of, number_of, revision_of
from catkinslip.metrics.base import Family, MetricSource, counter, gauge
from catkinslip.metrics.calls import call_outcome, calls_family
from catkinslip.models import Address
from catkinslip.page_client import PageClient, Reply
from catkinslip.platform.decoding import DECODE_ERRORS, decode_crash
from catkinslip.platform.names import (
    CRASHES_KIND,
    INSTANCES_KIND,
    OBJECTS_PATH,
    STORE_ERA,
)
from catkinslip.proxy.headers import find
from catkinslip.proxy.outcomes import NotRun, Unknown
from catkinslip.proxy.pool import BackendPool
from catkinslip.store.base import (
    AnswerLost,
    Conflict,
    OverBudget,
    PlatformError,
    Unavailable,
)

#: The usual time is 4 ms; a slow store takes some tens of times as long.
ANSWER_TIMEOUT_SECONDS = 1.5
RETRY_AFTER_SECONDS = 0.5
RESTORED = HistoryRemoved('the store was restored from a backup')
ERA_FORM = re.compile(rb'[0-9]{1,6}\Z')
OPERATION_BY_METHOD = {
    'GET': 'read',
    'POST': 'create',
    'PUT': 'replace',
    'DELETE': 'delete',
}

log = logging.getLogger('store')


@frozen
class StoreAnswer:
    """Status and decoded body of an answer from the store."""

    status: int
    body: Any
    #: The era of the store that answered; 0 if the answer names none.
    era: int = 0


@define
class StoreClient(MetricSource):
    """Client of the store that returns each outcome as a value and counts the calls."""

    address: Address
    #: Uses TCP keep-alive: a watch on a dead connection would otherwise hide changes
    #: until its wait ends.
    pages: PageClient = Factory(lambda: PageClient(BackendPool(uses_keepalive=True)))
    #: The highest era in an answer; the store raises it when restored from a backup.
    era: int = 0
    #: Scopes of calls that are cancelled when the store reports a later era.
    watch_scopes: set[trio.CancelScope] = Factory(set)
    count_by_call: Counter[tuple[str, str]] = Factory(Counter)
    unreadable_by_kind: Counter[str] = Factory(Counter)

    def families(self) -> Iterable[Family]:
        """Return the current values of the client's metrics."""
        yield calls_family(self.count_by_call)
        unreadable = counter(
            'catkinslip_unreadable_objects_total',
            'Objects of the store that could not be read.',
            'kind',
        )
        for kind, count in sorted(self.unreadable_by_kind.items()):
            unreadable.add(count, kind)
        yield unreadable
        era = gauge(
            'catkinslip_store_era',
            'The life of the store; it rises as the store comes back from a copy.',
        )
        era.add(self.era)
        yield era

    async def call(
        self, method: str, path: str, body: Any = None, wait: float = 0.0
    ) -> Result[StoreAnswer, PlatformError]:
        """Send one call to the store and return its answer or an error.

        `wait` is the time in seconds that a watch may take; the timeout of the answer
        is longer by as much.
        """
        reply = await self.pages.send(
            self.address,
            f'{OBJECTS_PATH}/{path}',
            wait + ANSWER_TIMEOUT_SECONDS,
            method,
            b'' if body is None else orjson.dumps(body),
        )
        match reply:
            case NotRun():
                result = Failure(Unavailable(str(reply)))
            case Unknown():
                result = Failure(AnswerLost(str(reply)))
            case _:
                result = self._check_answer(reply)
        operation = 'watch' if wait else OPERATION_BY_METHOD[method]
        self.count_by_call[operation, call_outcome(result)] += 1
        return result

    def _check_answer(self, reply: Reply) -> Result[StoreAnswer, PlatformError]:
        """Return the answer, or an error for a refusal or an answer of an older era."""
        era, result = read_era(reply), parse_answer(reply)
        self._note_era(era or 0)
        if isinstance(result, Failure):
            return result
        if era is None and self.era:
            return Failure(Unavailable('an answer names no era'))
        if (era or 0) < self.era:
            return Failure(AnswerLost('an answer from before the store was restored'))
        return result.map(lambda answer: evolve(answer, era=self.era))

    def _note_era(self, era: int) -> None:
        if era <= self.era:
            return
        if self.era:
            log.warning('store: restored from a backup. era=%d was=%d', era, self.era)
        self.era = era
        for scope in self.watch_scopes:
            scope.cancel()

    @contextmanager
    def cancelled_on_restore(self) -> Iterator[None]:
        """Cancel the body of the context when another answer reports a later era."""
        with trio.CancelScope() as scope:
            self.watch_scopes.add(scope)
            try:
                yield
            finally:
                self.watch_scopes.discard(scope)


def read_era(reply: Reply) -> int | None:
    """Return the era that an answer of the store names; None if it names none."""
    value = find(reply.headers, STORE_ERA)
    if value is None or ERA_FORM.match(value) is None:
        return None
    return int(value)


def parse_answer(reply: Reply) -> Result[StoreAnswer, PlatformError]:
    """Return the decoded answer of the store, or an error for a refusal."""
    if reply.status == 429:
        return Failure(OverBudget(RETRY_AFTER_SECONDS))
    if reply.status == 409:
        return Failure(Conflict(0))
    if reply.status >= 500:
        return Failure(Unavailable(f'the store answered {reply.status}'))
    if reply.status >= 400:
        # Such a status is understood without its body.
        return Success(StoreAnswer(reply.status, None))
    try:
        return Success(StoreAnswer(reply.status, load_json(reply.body or b'null')))
    except (ValueError, RecursionError) as error:
        return Failure(Unavailable(f'the answer of the store is not JSON, {error}'))


def load_json(body: bytes) -> Any:
    """Decode JSON, also with bytes that are not UTF-8 and numbers such as NaN.

    An unreadable value from another writer then affects only its own object.
    """
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        # Decodes invalid bytes to U+FFFD, and NaN and infinity to floats.
        return json.loads(body.decode(errors='replace'))


@define
class KindSource(Source[Value]):
    """Decoded objects of one kind; only the one with `name` if that is set."""

    client: StoreClient
    kind: str
    decode: Callable[[str, Mapping[str, Any]], Value]
    name: str | None = None
    #: Whether an unreadable object leaves the last readable one in place, as an invalid
    #: configuration must; otherwise it counts as removed.
    keeps_readable: bool = False
    readable_by_name: dict[str, Value] = Factory(dict)

    async def read_all(
        self, *, may_be_stale: bool = False
    ) -> Result[Listing[Value], PlatformError]:
        """Return every value of the kind and the revision of the listing.

        With `may_be_stale`, the answer costs the store less and may be seconds old.
        """
        value_by_name: dict[str, Value] = {}
        after = ''
        # The revision of the first page is kept: later changes may be missing from
        # the pages, and are then returned by the next wait.
        revision = None
        while True:
            query = f'?after={quote(after)}' if after else ''
            if may_be_stale:
                query += f'{"&" if query else "?"}serializable=1'
            result = await self.client.call('GET', self.kind + query)
            if isinstance(result, Failure):
                return result
            reply = result.unwrap()
            try:
                last = self._read_page(value_by_name, reply)
                if revision is None:
                    revision = revision_of(reply.era, reply.body['as_of'])
                if reply.era != era_of(revision):
                    return Failure(Unavailable('restored during a listing'))
                if not reply.body.get('more'):
                    return Success(Listing(value_by_name, revision))
                if last <= after:
                    return Failure(Unavailable(f'no name follows {after!r}'))
                after = last
            except DECODE_ERRORS as error:
                return Failure(Unavailable(f'a listing cannot be read, {error!r}'))

    async def wait_for_changes(
        self, revision: int, wait: float
    ) -> Result[Changes[Value], PlatformError | HistoryRemoved]:
        """Return the changes after a revision, or none after `wait` seconds."""
        if era_of(revision) < self.client.era:
            return Failure(RESTORED)
        path = f'{self.kind}?watch={number_of(revision)}&wait_ms={int(wait * 1000)}'
        result = Failure(RESTORED)
        with self.client.cancelled_on_restore():
            result = await self.client.call('GET', path, wait=wait)
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.era > era_of(revision):
            # A restored store reuses revision numbers, so these changes belong to
            # another history.
            return Failure(RESTORED)
        if reply.era < era_of(revision):
            return Failure(Unavailable('a peer reported a later era of the store'))
        if reply.status == 410:
            return Failure(HistoryRemoved('the store no longer holds the history'))
        try:
            changes = [self._read_event(it, reply.era) for it in reply.body['events']]
            kept = tuple(each for each in changes if each is not None)
            return Success(Changes(kept, revision_of(reply.era, reply.body['as_of'])))
        except DECODE_ERRORS as error:
            # A full listing includes the changes of this answer.
            return Failure(HistoryRemoved(f'changes cannot be read, {error!r}'))

    def _read_event(
        self, event: Mapping[str, Any], era: int
    ) -> tuple[str, Value | None] | None:
        item = event['object']
        name = name_of(item)
        if not self._is_wanted(name):
            return None
        if event['tombstone']:
            self.readable_by_name.pop(name, None)
            return name, None
        value = self._decode(name, item, era)
        if value is None and self.keeps_readable:
            return None
        # Otherwise an unreadable object counts as removed.
        return name, value

    def _read_page(self, value_by_name: dict[str, Value], page: StoreAnswer) -> str:
        """Add the objects of a page to the values; return the last name on the page."""
        last = ''
        for item in page.body['items']:
            name = name_of(item)
            last = name or last
            is_wanted = self._is_wanted(name)
            value = self._decode(name, item, page.era) if is_wanted else None
            if value is None:
                value = self.readable_by_name.get(name)
            if value is not None:
                value_by_name[name] = value
        return last

    def _decode(self, name: str, item: Mapping[str, Any], era: int) -> Value | None:
        try:
            # Peers that cannot be sent a value would learn nothing any more.
            orjson.dumps(item)
            value = self.decode(name, with_era(item, era))
        except DECODE_ERRORS as error:
            self.client.unreadable_by_kind[self.kind] += 1
            log.warning(
                'store: unreadable object ignored. kind=%s name=%s kept=%s error=%r',
                self.kind,
                name,
                name in self.readable_by_name,
                error,
            )
            return None
        if self.keeps_readable:
            self.readable_by_name[name] = value
        return value

    def _is_wanted(self, name: str) -> bool:
        return bool(name) and self.name in (None, name)


def with_era(item: Mapping[str, Any], era: int) -> Mapping[str, Any]:
    """Return an object whose revision includes the era of the store."""
    metadata = item['metadata']
    if not era or 'revision' not in metadata:
        return item
    revision = revision_of(era, metadata['revision'])
    return {**item, 'metadata': {**metadata, 'revision': revision}}


def name_of(item: Any) -> str:
    """Return the name of an object; an empty text if it has none."""
    try:
        name = item['metadata']['name']
        # Raises UnicodeEncodeError for bytes that are no text.
        name.encode()
    except DECODE_ERRORS as error:
        log.warning('store: object without a name ignored. error=%r', error)
        return ''
    return name


@define
class StoredInstances(InstanceRegistry):
    """Registry of instances in the store, with one object for each instance."""

    client: StoreClient

    async def announce(self, entry: InstanceEntry) -> Result[None, PlatformError]:
        """Create the entry of this instance, or replace the earlier one."""
        name = entry.instance_id
        body = {'metadata': {'name': name}, 'spec': asdict(entry)}
        result = await self.client.call('POST', INSTANCES_KIND, body)
        if isinstance(result, Failure) and isinstance(result.failure(), Conflict):
            path = f'{INSTANCES_KIND}/{name}'
            result = await self.client.call('PUT', path, body)
        return result.map(lambda _: None)

    async def withdraw(self, instance_id: str) -> Result[None, PlatformError]:
        """Delete the entry of an instance."""
        path = f'{INSTANCES_KIND}/{instance_id}'
        result = await self.client.call('DELETE', path)
        return result.map(lambda _: None)


@define
class StoredCrashes(CrashStore):
    """Crash records in the store, with one object for each request."""

    client: StoreClient

    async def read(self, key: RequestKey) -> Result[CrashRecord | None, PlatformError]:
        """Return the crash record of a request; None if missing or unreadable."""
        result = await self.client.call('GET', crash_path(key))
        if isinstance(result, Failure):
            return result
        answer = result.unwrap()
        if answer.status == 404:
            return Success(None)
        try:
            return Success(decode_crash(str(key), with_era(answer.body, answer.era)))
        except DECODE_ERRORS as error:
            log.warning(
                'store: unreadable crash record ignored. name=%s error=%r', key, error
            )
            return Success(None)

    async def write(self, record: CrashRecord) -> Result[CrashRecord, PlatformError]:
        """Write a crash record if its revision is still the stored one.

        Returns the record with its new revision, or a Conflict if another one is
        stored. A record with revision 0 is created.
        """
        name = str(record.key)
        metadata: dict[str, Any] = {'name': name}
        method, path = 'POST', CRASHES_KIND
        if record.revision:
            if era_of(record.revision) != self.client.era:
                return Failure(Conflict(0))
            metadata['revision'] = number_of(record.revision)
            method, path = 'PUT', crash_path(record.key)
        body = {'metadata': metadata, 'spec': record_to_plain(record)}
        result = await self.client.call(method, path, body)
        if isinstance(result, Failure):
            return result
        answer = result.unwrap()
        if answer.status >= 400:
            # Treated as removed; the next read returns the current state.
            return Failure(Conflict(0))
        try:
            metadata = with_era(answer.body, answer.era)['metadata']
            return Success(evolve(record, revision=metadata['revision']))
        except DECODE_ERRORS as error:
            return Failure(Unavailable(f'an answer cannot be read, {error!r}'))

    async def delete(self, record: CrashRecord) -> Result[None, PlatformError]:
        """Delete a crash record if no other revision of the record is stored."""
        if era_of(record.revision) != self.client.era:
            return Failure(Conflict(0))
        revision = number_of(record.revision)
        path = f'{crash_path(record.key)}?revision={revision}'
        result = await self.client.call('DELETE', path)
        return result.map(lambda _: None)


def crash_path(key: RequestKey) -> str:
    """Return the path of a request's crash record in the store."""
    return f'{CRASHES_KIND}/{quote(str(key), safe="")}'
