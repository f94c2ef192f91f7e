"""Builders of workspaces, and of requests with API keys."""

import trio

from catkinslip.config.documents import Workspace
from tests.platform_builders import ROUTE_COLUMNS, config_spec
from tests.small_platform import SmallPlatform

#: Distinct texts, so that a test can look for them in everything an instance writes.
KEY, OTHER_KEY, NEW_KEY = 'k-harbour-7f3a', 'k-meadow-91c2', 'k-quarry-55e0'
ACME, BIRCH = 'acme', 'birch'
TENANT_COLUMNS = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst']
HOST = 'a.example'
#: A public route besides those of `config_spec`.
PUBLIC_ROW = ['r3', HOST, '/open/', 'upload', 1.5, 0.3, 1, None, 2, 'one']


def tenants(*rows: list) -> dict:
    """Return the platform's table of workspaces."""
    return {'columns': TENANT_COLUMNS, 'rows': list(rows)}


def row(name: str, *keys: str, priority: object = 1) -> list:
    """Return the row of a workspace without limits."""
    return [name, list(keys), priority, None, None]


def spec_with(*rows: list, version: str = '0000000a') -> dict:
    """Return a configuration with workspaces and a public route `/open/`."""
    spec = config_spec(version=version, tenants=tenants(*rows) if rows else None)
    routes = spec['routes']
    routes['columns'] = [*ROUTE_COLUMNS, 'public']
    plain_rows = [[*each, None] for each in routes['rows']]
    routes['rows'] = [*plain_rows, [*PUBLIC_ROW, True]]
    return spec


def two_workspaces(version: str = '0000000a') -> dict:
    """Return a configuration with two workspaces of one key each."""
    return spec_with(row(ACME, KEY), row(BIRCH, OTHER_KEY), version=version)


def many_workspaces(count: int, keys: int) -> dict[str, Workspace]:
    """Return workspaces with distinct keys of the usual length."""
    return {
        f'w-{number}': Workspace(
            tuple(f'key-{number}-{each}-'.ljust(36, 'x') for each in range(keys))
        )
        for number in range(count)
    }


def raw_request(*lines: str | bytes, path: str = '/q/a', body: bytes = b'') -> bytes:
    """Return the bytes of a request with additional header lines."""
    method = 'POST' if body else 'GET'
    head = [f'{method} {path} HTTP/1.1', f'Host: {HOST}', 'Deadline-Ms: 2000']
    if body:
        head.append(f'Content-Length: {len(body)}')
    encoded = [each.encode() if isinstance(each, str) else each for each in head]
    extra = [each.encode() if isinstance(each, str) else each for each in lines]
    return b'\r\n'.join([*encoded, *extra, b'', b'']) + body


async def connect(platform: SmallPlatform, entry: int = 0) -> trio.SocketStream:
    """Open a connection to an instance."""
    address = platform.entries[entry].settings.own.caller_address
    host, _, port = address.rpartition(':')
    return await trio.open_tcp_stream(host, int(port))


async def exchange(stream: trio.SocketStream, request: bytes) -> tuple[int, bytes]:
    """Send a request and return the status and all bytes of the answer."""
    await stream.send_all(request)
    data = b''
    while b'\r\n\r\n' not in data:
        data += await receive(stream)
    head, _, body = data.partition(b'\r\n\r\n')
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    while len(body) < length:
        body += await receive(stream)
    return int(head.split()[1]), head + body


async def receive(stream: trio.SocketStream) -> bytes:
    """Return bytes of an answer; raise EOFError at its end."""
    data = await stream.receive_some()
    if not data:
        raise EOFError
    return data
