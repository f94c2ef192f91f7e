"""Sources of decoded objects of one kind in the platform's store."""

import logging
from collections.abc import Callable, Mapping
from typing import Any
from urllib.parse import quote

import orjson
from attrs import Factory, define
from returns.result import Failure, Result, Success

from catkinslip.discovery.base import (
    Changes,
    HistoryRemoved,
    Listing,
    Source,
    Value,
)
from catkinslip.discovery.revisions import era_of, number_of, revision_of
from catkinslip.platform.client import (
    RESTORED,
    AnswerTooLong,
    StoreAnswer,
    StoreClient,
)
from catkinslip.platform.decoding import DECODE_ERRORS
from catkinslip.platform.fields import describe
from catkinslip.platform.json_text import UndecodableObject
from catkinslip.store.base import PlatformError, Unavailable

#: Names of unreadable objects that are kept to log each of them once.
MAX_LOGGED_NAMES = 1000
#: Characters of the name of an unreadable object that are kept and logged.
MAX_NAME_LENGTH = 200

log = logging.getLogger('store')


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
    #: Errors of the unreadable objects, which are logged once, by shortened name.
    error_by_name: dict[str, str] = Factory(dict)

    async def read_all(
        self, *, may_be_stale: bool = False
    ) -> Result[Listing[Value], PlatformError]:
        """Return every value of the kind and the revision of the listing.

        With `may_be_stale`, the answer costs the store less and may be seconds old.
        """
        value_by_name: dict[str, Value] = {}
        after = ''
        page_ends = {after}
        # The revision of the first page is kept: later changes may be missing from
        # the pages, and are then returned by the next wait.
        revision = None
        while True:
            query = f'?after={quote_name(after)}' if after else ''
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
                if last in page_ends:
                    return Failure(Unavailable(f'no name follows {after!r}'))
                page_ends.add(last)
                after = last
            except DECODE_ERRORS as error:
                reason = describe(error)
                return Failure(Unavailable(f'a listing cannot be read, {reason}'))

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
            if isinstance(result.failure(), AnswerTooLong):
                # Each further wait would end so; a listing comes in pages.
                return Failure(HistoryRemoved('the changes are too long to be read'))
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
            reason = describe(error)
            return Failure(HistoryRemoved(f'changes cannot be read, {reason}'))

    def _read_event(
        self, event: Mapping[str, Any], era: int
    ) -> tuple[str, Value | None] | None:
        item = event['object']
        name = name_of(item)
        if not self._is_wanted(name):
            return None
        if event['tombstone']:
            self.readable_by_name.pop(name, None)
            self.error_by_name.pop(name[:MAX_NAME_LENGTH], None)
            return (name, None) if is_text(name) else None
        value = self._decode(name, item, era)
        if not is_text(name) or (value is None and self.keeps_readable):
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

    def _decode(self, name: str, item: Any, era: int) -> Value | None:
        try:
            value = self._read_value(name, item, era)
        except DECODE_ERRORS as error:
            self._note_unreadable(name, describe(error))
            return None
        self.error_by_name.pop(name[:MAX_NAME_LENGTH], None)
        if self.keeps_readable:
            self.readable_by_name[name] = value
        return value

    def _read_value(self, name: str, item: Any, era: int) -> Value:
        """Return the value of an object; raise one of DECODE_ERRORS without one."""
        if isinstance(item, UndecodableObject):
            raise ValueError(item.error)
        if not is_text(name):
            raise ValueError('the name is missing or no text')
        # Peers that cannot be sent a value would learn nothing any more.
        orjson.dumps(item)
        return self.decode(name, with_era(item, era))

    def _note_unreadable(self, name: str, error: str) -> None:
        """Count an unreadable object, and log it unless it was logged already."""
        self.client.unreadable_by_kind[self.kind] += 1
        shown = name[:MAX_NAME_LENGTH]
        if self.error_by_name.get(shown) == error:
            return
        if len(self.error_by_name) >= MAX_LOGGED_NAMES:
            self.error_by_name.clear()
        self.error_by_name[shown] = error
        log.warning(
            'store: unreadable object ignored. kind=%s name=%s kept=%s error=%s',
            self.kind,
            shown,
            name in self.readable_by_name,
            error,
        )

    def _is_wanted(self, name: str) -> bool:
        return self.name in (None, name)


def with_era(item: Mapping[str, Any], era: int) -> Mapping[str, Any]:
    """Return an object whose revision includes the era of the store."""
    metadata = item['metadata']
    if not era or 'revision' not in metadata:
        return item
    revision = revision_of(era, metadata['revision'])
    return {**item, 'metadata': {**metadata, 'revision': revision}}


def name_of(item: Any) -> str:
    """Return the name of an object as it is; an empty text if it has none."""
    if isinstance(item, UndecodableObject):
        return item.name
    try:
        name = item['metadata']['name']
    except DECODE_ERRORS:
        return ''
    return name if isinstance(name, str) else ''


def is_text(name: str) -> bool:
    """Return whether a name is not empty and has no bytes that are no text."""
    try:
        return bool(name.encode())
    except UnicodeEncodeError:
        return False


def quote_name(name: str) -> str:
    """Return a name for a query, with the bytes that halves of surrogate pairs mean."""
    try:
        return quote(name, errors='surrogateescape')
    except UnicodeEncodeError:
        return quote(name, errors='surrogatepass')
