"""HTTP client of the platform's object API.

The client never sends a call again: a write that is sent twice could take effect twice.
"""

from typing import Any

import cattrs
import httpx
import orjson
import trio
from attrs import asdict, define
from returns.result import Failure, Result, Success

from catkinslip.store.base import (
    AnswerLost,
    Conflict,
    ListedInstance,
    ObjectKey,
    ObjectStore,
    OverBudget,
    PlatformError,
    StoredObject,
    Unavailable,
)

#: Header with the ID of the calling instance, so that the platform can count calls by
#: caller.
CALLER_HEADER = 'Catkinslip-Instance'
#: Errors after which a call is known not to have been sent.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
#: Errors raised when a malformed answer is read.
MALFORMED_ERRORS = (cattrs.BaseValidationError, KeyError, TypeError, ValueError)
MAX_ANSWER_BYTES = 64 << 20
#: Headers that do not describe a body that was decoded.
FRAMING_HEADERS = frozenset({'content-encoding', 'content-length', 'transfer-encoding'})
#: Used where a refusal has no readable Retry-After header.
DEFAULT_RETRY_AFTER_SECONDS = 1.0


@define
class HttpStore(ObjectStore):
    """Object store behind the HTTP API, which returns each outcome as a value."""

    client: httpx.AsyncClient
    #: Seconds until a call is given up.
    timeout: float

    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if there is none."""
        result = await self._call('GET', object_path(key))
        return result.bind(lambda response: object_from_response(key, response))

    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if its version is the expected one; 0 means none exists."""
        condition = {'If-Match': str(expected_version)}
        if expected_version == 0:
            condition = {'If-None-Match': '*'}
        headers = {'Content-Type': 'application/json', **condition}
        result = await self._call(
            'PUT', object_path(key), content=orjson.dumps(value), headers=headers
        )
        return result.bind(
            lambda response: written_object_from_response(key, value, response)
        )

    async def delete(self, key: ObjectKey) -> Result[None, PlatformError]:
        """Delete an object if there is one."""
        result = await self._call('DELETE', object_path(key))
        return result.map(lambda _: None)

    async def wait_for_change(
        self, key: ObjectKey, known_version: int, wait: float
    ) -> Result[StoredObject | None, PlatformError]:
        """Return the object once its version changes, or None after `wait` seconds."""
        parameters = {'after': str(known_version), 'wait': f'{wait:.3f}'}
        result = await self._call(
            'GET',
            f'/v1/watch/{key.kind}/{key.name}',
            params=parameters,
            timeout=wait + self.timeout,
        )
        return result.bind(lambda response: object_from_response(key, response))

    async def list_instances(self) -> Result[list[ListedInstance], PlatformError]:
        """Return the platform's lagging list of live and leaving instances."""
        result = await self._call('GET', '/v1/instances')
        return result.bind(instances_from_response)

    async def announce(self, instance: ListedInstance) -> Result[None, PlatformError]:
        """Add this instance to the platform's list, or mark it as leaving."""
        path = f'/v1/instances/{instance.name}'
        result = await self._call('PUT', path, json=asdict(instance))
        return result.map(lambda _: None)

    async def _call(
        self, method: str, path: str, **arguments: Any
    ) -> Result[httpx.Response, PlatformError]:
        seconds = arguments.setdefault('timeout', self.timeout)
        # The client's own time limits apply to each part of an answer.
        with trio.move_on_after(seconds + self.timeout):
            try:
                async with self.client.stream(method, path, **arguments) as streamed:
                    response = await read_bounded(streamed)
            except NOT_SENT_ERRORS as error:
                return Failure(Unavailable(repr(error)))
            except httpx.HTTPError as error:
                return Failure(AnswerLost(repr(error)))
            return check_status(method, response)
        return Failure(AnswerLost('the answer did not end in time'))


async def read_bounded(streamed: httpx.Response) -> httpx.Response:
    """Return a response with its body; raise httpx.ReadError if that is too long."""
    body = bytearray()
    async for part in streamed.aiter_bytes():
        body += part
        if len(body) > MAX_ANSWER_BYTES:
            raise httpx.ReadError('the answer is too long')
    headers = [
        each for each in streamed.headers.items() if each[0] not in FRAMING_HEADERS
    ]
    return httpx.Response(streamed.status_code, headers=headers, content=bytes(body))


def check_status(
    method: str, response: httpx.Response
) -> Result[httpx.Response, PlatformError]:
    """Return a response, or the error that its status stands for."""
    status = response.status_code
    reason = f'the platform answered with status {status}'
    if status in (httpx.codes.NOT_FOUND, httpx.codes.NOT_MODIFIED):
        return Success(response)
    if status == httpx.codes.PRECONDITION_FAILED:
        return Failure(Conflict(conflict_version(response)))
    if status == httpx.codes.TOO_MANY_REQUESTS:
        return Failure(OverBudget(retry_after(response)))
    if response.is_server_error and method != 'GET':
        # A gateway may answer for a platform that accepted the write.
        return Failure(AnswerLost(reason))
    if not response.is_success:
        return Failure(Unavailable(reason))
    return Success(response)


def conflict_version(response: httpx.Response) -> int:
    """Return the version that a conflict response names, or 0 if it names none."""
    try:
        return int(response.json()['version'])
    except MALFORMED_ERRORS:
        return 0


def retry_after(response: httpx.Response) -> float:
    """Return the seconds after which a refused call may be sent again."""
    try:
        return max(0.0, float(response.headers['Retry-After']))
    except (KeyError, ValueError):
        return DEFAULT_RETRY_AFTER_SECONDS


def object_path(key: ObjectKey) -> str:
    """Return the URL path of an object."""
    return f'/v1/objects/{key.kind}/{key.name}'


def object_from_response(
    key: ObjectKey, response: httpx.Response
) -> Result[StoredObject | None, PlatformError]:
    """Return the object in a response; None if it is missing or unchanged."""
    if response.status_code in (httpx.codes.NOT_FOUND, httpx.codes.NOT_MODIFIED):
        return Success(None)
    try:
        plain = response.json()
        return Success(StoredObject(key, plain['version'], plain['value']))
    except MALFORMED_ERRORS as error:
        return Failure(
            Unavailable(f'the answer of the platform is malformed: {error!r}')
        )


def written_object_from_response(
    key: ObjectKey, value: Any, response: httpx.Response
) -> Result[StoredObject, PlatformError]:
    """Return a written object with the version in a response."""
    try:
        return Success(StoredObject(key, response.json()['version'], value))
    except MALFORMED_ERRORS as error:
        return Failure(
            AnswerLost(f'the answer of the platform is malformed: {error!r}')
        )


def instances_from_response(
    response: httpx.Response,
) -> Result[list[ListedInstance], PlatformError]:
    """Return the list of instances in a response."""
    try:
        return Success(cattrs.structure(response.json(), list[ListedInstance]))
    except MALFORMED_ERRORS as error:
        return Failure(
            Unavailable(f'the answer of the platform is malformed: {error!r}')
        )
