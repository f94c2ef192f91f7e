"""The client of the platform's store; it retries no call."""

import logging
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import orjson
import trio
from attrs import Factory, define, evolve, frozen
from returns.result import Failure, Result, Success

from catkinslip.discovery.base import HistoryRemoved
from catkinslip.metrics.base import Family, MetricSource, counter, gauge
from catkinslip.metrics.calls import call_outcome, calls_family
from catkinslip.models import Address
from catkinslip.page_client import PageClient, Reply, TooLong
from catkinslip.platform.fields import describe
from catkinslip.platform.json_text import load_answer
from catkinslip.platform.names import OBJECTS_PATH, STORE_ERA
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
class AnswerTooLong(AnswerLost):
    """Error of a call whose answer is too long to be read."""


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
            case TooLong(_, detail):
                result = Failure(AnswerTooLong(detail))
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
        return Success(StoreAnswer(reply.status, load_answer(reply.body or b'null')))
    except ValueError as error:
        reason = describe(error)
        return Failure(Unavailable(f'the answer of the store is not JSON, {reason}'))
