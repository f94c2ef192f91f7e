"""The client of the platform's store; no call is sent again from here."""

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
    HistoryGone,
    InstanceBook,
    InstanceEntry,
    Listing,
    News,
    Source,
    Value,
)
from catkinslip.discovery.revisions import era_of, number_of, ordered
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

#: The store answers in 4 ms; its slow days take some tens of times as long.
ANSWER_SECONDS = 1.5
RETRY_AFTER_SECONDS = 0.5
RESTORED = HistoryGone('the store came back from a copy')
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
    """Status and decoded body of an answer of the store."""

    status: int
    body: Any
    #: The life of the store that told it; 0 where it tells none.
    era: int = 0


@define
class StoreClient(MetricSource):
    """Call the store and report each outcome as a value; count the calls."""

    address: Address
    #: A watch on a connection that went silent would hide changes for its whole wait.
    pages: PageClient = Factory(lambda: PageClient(BackendPool(uses_keepalive=True)))
    #: The life of the store that it told last; it rises as it comes back from a copy.
    era: int = 0
    #: Waits that end as the store tells another life.
    waits: set[trio.CancelScope] = Factory(set)
    count_by_call: Counter[tuple[str, str]] = Factory(Counter)
    unreadable_by_kind: Counter[str] = Factory(Counter)

    def families(self) -> Iterable[Family]:
        """Return the measured values of now."""
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
        """Send one call; `wait` seconds are added to the time for its answer."""
        reply = await self.pages.ask(
            self.address,
            f'{OBJECTS_PATH}/{path}',
            wait + ANSWER_SECONDS,
            method,
            b'' if body is None else orjson.dumps(body),
        )
        match reply:
            case NotRun():
                result = Failure(Unavailable(str(reply)))
            case Unknown():
                result = Failure(AnswerLost(str(reply)))
            case _:
                result = self._judge(reply)
        operation = 'watch' if wait else OPERATION_BY_METHOD[method]
        self.count_by_call[operation, call_outcome(result)] += 1
        return result

    def _judge(self, reply: Reply) -> Result[StoreAnswer, PlatformError]:
        """Tell an answer of the store as it is now from a refusal, and from others."""
        era, result = read_era(reply), judge(reply)
        self._note_era(era or 0)
        if isinstance(result, Failure):
            return result
        if era is None and self.era:
            return Failure(Unavailable('an answer does not tell its era'))
        if (era or 0) < self.era:
            return Failure(AnswerLost('an answer of before the store came back'))
        return result.map(lambda answer: evolve(answer, era=self.era))

    def _note_era(self, era: int) -> None:
        if era <= self.era:
            return
        if self.era:
            log.warning('store: it came back from a copy. era=%d was=%d', era, self.era)
        self.era = era
        for scope in self.waits:
            scope.cancel()

    @contextmanager
    def until_restored(self) -> Iterator[None]:
        """End what waits for an answer as soon as another answer tells a later life."""
        with trio.CancelScope() as scope:
            self.waits.add(scope)
            try:
                yield
            finally:
                self.waits.discard(scope)


def read_era(reply: Reply) -> int | None:
    """Return the life of the store that an answer tells; None if it tells none."""
    value = find(reply.headers, STORE_ERA)
    if value is None or ERA_FORM.match(value) is None:
        return None
    return int(value)


def judge(reply: Reply) -> Result[StoreAnswer, PlatformError]:
    """Tell an answer from a refusal."""
    if reply.status == 429:
        return Failure(OverBudget(RETRY_AFTER_SECONDS))
    if reply.status == 409:
        return Failure(Conflict(0))
    if reply.status >= 500:
        return Failure(Unavailable(f'the store answered {reply.status}'))
    if reply.status >= 400:
        # What such a status says needs no body.
        return Success(StoreAnswer(reply.status, None))
    try:
        return Success(StoreAnswer(reply.status, load_json(reply.body or b'null')))
    except (ValueError, RecursionError) as error:
        return Failure(Unavailable(f'the store answered nonsense, {error}'))


def load_json(body: bytes) -> Any:
    """Decode JSON; what another writer made unreadable spoils only its own object."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        # Bytes that are no text, and numbers that are none, are read as such.
        return json.loads(body.decode(errors='replace'))


@define
class KindSource(Source[Value]):
    """Read the objects of one kind, decoded; `name` keeps all but one out."""

    client: StoreClient
    kind: str
    decode: Callable[[str, Mapping[str, Any]], Value]
    name: str | None = None

    async def read_all(
        self, *, may_be_stale: bool = False
    ) -> Result[Listing[Value], PlatformError]:
        """Read every value; a stale answer is cheaper and seconds old."""
        value_by_name: dict[str, Value] = {}
        after = ''
        # Changes between two pages are news after the first of them.
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
                    revision = ordered(reply.era, reply.body['as_of'])
                if reply.era != era_of(revision):
                    return Failure(Unavailable('the store came back meanwhile'))
                if not reply.body.get('more'):
                    return Success(Listing(value_by_name, revision))
                if last <= after:
                    return Failure(Unavailable(f'no name follows {after!r}'))
                after = last
            except DECODE_ERRORS as error:
                return Failure(Unavailable(f'a listing cannot be read, {error!r}'))

    async def wait_for_news(
        self, revision: int, wait: float
    ) -> Result[News[Value], PlatformError | HistoryGone]:
        """Return the changes after a revision, at the latest after `wait` seconds."""
        if era_of(revision) < self.client.era:
            return Failure(RESTORED)
        path = f'{self.kind}?watch={number_of(revision)}&wait_ms={int(wait * 1000)}'
        result = Failure(RESTORED)
        with self.client.until_restored():
            result = await self.client.call('GET', path, wait=wait)
        if isinstance(result, Failure):
            return result
        reply = result.unwrap()
        if reply.era > era_of(revision):
            # Its numbers are given out again: what they say is of another history.
            return Failure(RESTORED)
        if reply.era < era_of(revision):
            return Failure(Unavailable('a peer knows a later life of the store'))
        if reply.status == 410:
            return Failure(HistoryGone('the store dropped its history'))
        try:
            changes = [self._read_event(it, reply.era) for it in reply.body['events']]
            kept = tuple(each for each in changes if each is not None)
            return Success(News(kept, ordered(reply.era, reply.body['as_of'])))
        except DECODE_ERRORS as error:
            # Reading all again tells what this answer would have told.
            return Failure(HistoryGone(f'news cannot be read, {error!r}'))

    def _read_event(
        self, event: Mapping[str, Any], era: int
    ) -> tuple[str, Value | None] | None:
        item = event['object']
        name = name_of(item)
        if not self._is_wanted(name):
            return None
        # What cannot be read names no value, also where it replaces one.
        value = None if event['tombstone'] else self._decode(name, item, era)
        return name, value

    def _read_page(self, value_by_name: dict[str, Value], page: StoreAnswer) -> str:
        """Take the objects of a page; return the last name on it."""
        last = ''
        for item in page.body['items']:
            name = name_of(item)
            last = name or last
            is_wanted = self._is_wanted(name)
            value = self._decode(name, item, page.era) if is_wanted else None
            if value is not None:
                value_by_name[name] = value
        return last

    def _decode(self, name: str, item: Mapping[str, Any], era: int) -> Value | None:
        try:
            return self.decode(name, with_era(item, era))
        except DECODE_ERRORS as error:
            self.client.unreadable_by_kind[self.kind] += 1
            log.warning(
                'store: an object cannot be read, it is left out. '
                'kind=%s name=%s error=%r',
                self.kind,
                name,
                error,
            )
            return None

    def _is_wanted(self, name: str) -> bool:
        return bool(name) and self.name in (None, name)


def with_era(item: Mapping[str, Any], era: int) -> Mapping[str, Any]:
    """Return an object whose revision tells the life of the store, too."""
    metadata = item['metadata']
    if not era or 'revision' not in metadata:
        return item
    revision = ordered(era, metadata['revision'])
    return {**item, 'metadata': {**metadata, 'revision': revision}}


def name_of(item: Any) -> str:
    """Return the name of an object; an empty one if it tells none."""
    try:
        name = item['metadata']['name']
    except DECODE_ERRORS as error:
        log.warning('store: an object without a name is left out. error=%r', error)
        return ''
    return name if isinstance(name, str) else ''


@define
class StoredInstances(InstanceBook):
    """Keep the entries of our instances in objects of a kind of our own."""

    client: StoreClient

    async def announce(self, entry: InstanceEntry) -> Result[None, PlatformError]:
        """Put this instance there, or replace its earlier entry."""
        name = entry.instance_id
        body = {'metadata': {'name': name}, 'spec': asdict(entry)}
        result = await self.client.call('POST', INSTANCES_KIND, body)
        if isinstance(result, Failure) and isinstance(result.failure(), Conflict):
            path = f'{INSTANCES_KIND}/{name}'
            result = await self.client.call('PUT', path, body)
        return result.map(lambda _: None)

    async def withdraw(self, instance_id: str) -> Result[None, PlatformError]:
        """Take an instance away."""
        path = f'{INSTANCES_KIND}/{instance_id}'
        result = await self.client.call('DELETE', path)
        return result.map(lambda _: None)


@define
class StoredCrashes(CrashStore):
    """Keep the records of requests that end servers in objects of a kind of our own."""

    client: StoreClient

    async def read(self, key: RequestKey) -> Result[CrashRecord | None, PlatformError]:
        """Read a record; None when there is none, or none that can be read."""
        result = await self.client.call('GET', crash_path(key))
        if isinstance(result, Failure):
            return result
        answer = result.unwrap()
        if answer.status == 404:
            return Success(None)
        try:
            return Success(decode_crash(str(key), with_era(answer.body, answer.era)))
        except DECODE_ERRORS as error:
            log.warning('store: a record cannot be read. name=%s error=%r', key, error)
            return Success(None)

    async def write(self, record: CrashRecord) -> Result[CrashRecord, PlatformError]:
        """Write a record if the store holds the revision that it names."""
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
            # It is gone; the next look at the store tells.
            return Failure(Conflict(0))
        try:
            metadata = with_era(answer.body, answer.era)['metadata']
            return Success(evolve(record, revision=metadata['revision']))
        except DECODE_ERRORS as error:
            return Failure(Unavailable(f'an answer cannot be read, {error!r}'))

    async def delete(self, record: CrashRecord) -> Result[None, PlatformError]:
        """Delete a record if the store holds the revision that it names, or none."""
        if era_of(record.revision) != self.client.era:
            return Failure(Conflict(0))
        revision = number_of(record.revision)
        path = f'{crash_path(record.key)}?revision={revision}'
        result = await self.client.call('DELETE', path)
        return result.map(lambda _: None)


def crash_path(key: RequestKey) -> str:
    """Return where the record of a request lies."""
    return f'{CRASHES_KIND}/{quote(str(key), safe="")}'
