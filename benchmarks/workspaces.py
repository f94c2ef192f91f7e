"""Memory and time of the index from API keys to workspaces.

Run with `python -m benchmarks.workspaces`; the last line is JSON.
"""

import tracemalloc
from time import perf_counter

import orjson

from catkinslip.config.documents import Workspace, to_plain
from catkinslip.platform.workspaces import decode_workspaces
from catkinslip.workspaces.index import KeyIndex

SIZES = (80, 800, 5_000)
KEYS_PER_WORKSPACE = 4
LOOKUPS = 100_000
KEY_CHARACTERS = 36


def key_of(workspace: int, number: int) -> str:
    """Return a distinct key of the usual length."""
    return f'key-{workspace:05d}-{number:02d}-'.ljust(KEY_CHARACTERS, 'x')


def make_workspaces(count: int) -> dict[str, Workspace]:
    """Return workspaces with several keys each."""
    return {
        f'workspace-{n}': Workspace(
            tuple(key_of(n, number) for number in range(KEYS_PER_WORKSPACE)), 1, 10.0
        )
        for n in range(count)
    }


def microseconds(index: KeyIndex, key: bytes) -> float:
    """Return the mean time of one look-up."""
    began = perf_counter()
    for _ in range(LOOKUPS):
        index.find(key)
    return (perf_counter() - began) / LOOKUPS * 1e6


def plain_table(workspaces: dict[str, Workspace]) -> dict:
    """Return workspaces as the platform's table."""
    rows = [
        [name, list(each.api_keys), each.priority, each.requests_per_second, each.burst]
        for name, each in workspaces.items()
    ]
    columns = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst']
    return {'columns': columns, 'rows': rows}


def measure(count: int) -> dict:
    """Return the figures of an index of some workspaces."""
    tracemalloc.start()
    workspaces = make_workspaces(count)
    document_size, _ = tracemalloc.get_traced_memory()
    index = KeyIndex()
    index.update(workspaces)
    size = tracemalloc.get_traced_memory()[0] - document_size
    tracemalloc.stop()
    timed = KeyIndex()
    began = perf_counter()
    timed.update(workspaces)
    build_seconds = perf_counter() - began
    right = key_of(count // 2, 0).encode()
    equal = make_workspaces(count)
    began = perf_counter()
    timed.update(equal)
    equal_seconds = perf_counter() - began
    table = plain_table(workspaces)
    began = perf_counter()
    decode_workspaces(table)
    decode_seconds = perf_counter() - began
    return {
        'workspaces': count,
        'keys': count * KEYS_PER_WORKSPACE,
        'json_kilobytes': round(len(orjson.dumps(to_plain(workspaces))) / 1e3),
        'document_kilobytes': round(document_size / 1e3),
        'index_kilobytes': round(size / 1e3),
        'decode_ms': round(decode_seconds * 1e3, 2),
        'build_ms': round(build_seconds * 1e3, 2),
        'equal_map_ms': round(equal_seconds * 1e3, 2),
        'known_us': round(microseconds(timed, right), 3),
        'last_character_wrong_us': round(microseconds(timed, right[:-1] + b'y'), 3),
        'first_character_wrong_us': round(microseconds(timed, b'y' + right[1:]), 3),
    }


def main() -> None:
    """Print the figures of each size."""
    results = [measure(count) for count in SIZES]
    for result in results:
        print(result)
    print(orjson.dumps(results).decode())


if __name__ == '__main__':
    main()
