"""A client of the platform's object API over HTTP."""

from typing import Any

import cattrs
import httpx
from attrs import asdict, define
from returns.result import Failure, Result, Success

from catkinslip.platform.base import (
    AnswerLost,
    Conflict,
    ListedInstance,
    ObjectKey,
    ObjectStore,
    PlatformError,
    StoredObject,
    Unavailable,
)

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@define
class HttpStore(ObjectStore):
    """Call the object API and report each outcome as a value."""

    client: httpx.AsyncClient
    timeout: float

    async def read(self, key: ObjectKey) -> Result[StoredObject | None, PlatformError]:
        """Read an object; None when there is none."""
        result = await self._call('GET', object_path(key))
        return result.bind(lambda response: found_object(key, response))

    async def write(
        self, key: ObjectKey, value: Any, expected_version: int
    ) -> Result[StoredObject, PlatformError]:
        """Write an object if it has the version; 0 means there is none."""
        condition = {'If-Match': str(expected_version)}
        if expected_version == 0:
            condition = {'If-None-Match': '*'}
        result = await self._call(
            'PUT', object_path(key), json=value, headers=condition
        )
        return result.bind(lambda response: written_object(key, value, response))

    async def wait_for_change(
        self, key: ObjectKey, known_version: int, wait: float
    ) -> Result[StoredObject | None, PlatformError]:
        """Return the object once it has another version, or after `wait` seconds."""
        parameters = {'after': str(known_version), 'wait': f'{wait:.3f}'}
        result = await self._call(
            'GET',
            f'/v1/watch/{key.kind}/{key.name}',
            params=parameters,
            timeout=wait + self.timeout,
        )
        return result.bind(lambda response: found_object(key, response))

    async def list_instances(self) -> Result[list[ListedInstance], PlatformError]:
        """Return the lagging list of live and leaving instances."""
        result = await self._call('GET', '/v1/instances')
        return result.bind(listed_instances)

    async def announce(self, instance: ListedInstance) -> Result[None, PlatformError]:
        """Put this instance on the list, or mark it as leaving."""
        path = f'/v1/instances/{instance.name}'
        result = await self._call('PUT', path, json=asdict(instance))
        return result.map(lambda _: None)

    async def _call(
        self, method: str, path: str, **arguments: Any
    ) -> Result[httpx.Response, PlatformError]:
        arguments.setdefault('timeout', self.timeout)
        try:
            response = await self.client.request(method, path, **arguments)
        except NOT_SENT_ERRORS as error:
            return Failure(Unavailable(repr(error)))
        except httpx.HTTPError as error:
            return Failure(AnswerLost(repr(error)))
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            return Failure(Conflict(response.json()['version']))
        if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
            return Failure(Unavailable('the platform answered 503'))
        if response.is_server_error:
            reason = f'the platform answered {response.status_code}'
            return Failure(AnswerLost(reason))
        return Success(response)


def object_path(key: ObjectKey) -> str:
    """Return the path of an object."""
    return f'/v1/objects/{key.kind}/{key.name}'


def found_object(
    key: ObjectKey, response: httpx.Response
) -> Result[StoredObject | None, PlatformError]:
    """Read an object from an answer."""
    if response.status_code in (httpx.codes.NOT_FOUND, httpx.codes.NOT_MODIFIED):
        return Success(None)
    if response.is_error:
        return Failure(Unavailable(f'the platform answered {response.status_code}'))
    plain = response.json()
    return Success(StoredObject(key, plain['version'], plain['value']))


def written_object(
    key: ObjectKey, value: Any, response: httpx.Response
) -> Result[StoredObject, PlatformError]:
    """Read the version of a written object from an answer."""
    if response.is_error:
        return Failure(Unavailable(f'the platform answered {response.status_code}'))
    return Success(StoredObject(key, response.json()['version'], value))


def listed_instances(
    response: httpx.Response,
) -> Result[list[ListedInstance], PlatformError]:
    """Read the list of instances from an answer."""
    if response.is_error:
        return Failure(Unavailable(f'the platform answered {response.status_code}'))
    return Success(cattrs.structure(response.json(), list[ListedInstance]))
