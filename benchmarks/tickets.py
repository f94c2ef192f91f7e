"""Measure what a key costs its home: processor time and memory.

The last line is JSON.
"""

import time
import tracemalloc
from collections.abc import Callable

import orjson

from catkinslip.tickets.keys import TicketKey, parse_key
from catkinslip.tickets.table import KeptAnswer, TicketTable

KEYS = 50_000
LIFETIME_SECONDS = 300
START_SECONDS = 999.0
END_SECONDS = 2000.0
FINGERPRINT = bytes(16)
ANSWER_BODY_BYTES = 100


def main() -> None:
    """Print the costs of one key."""
    result = {'keys': KEYS, **measure_times(), **measure_bytes()}
    for name, value in result.items():
        print(f'{name:20} {value}')
    print(orjson.dumps(result).decode())


def measure_times() -> dict[str, float]:
    """Return microseconds of each step of one key."""
    keys: list[TicketKey] = []
    table = new_table()
    steps = {
        'parse_us': lambda: keys.extend(make_keys()),
        'admit_us': lambda: admit_all(table, keys),
        'answer_us': lambda: answer_all(table, keys),
        'forget_us': lambda: table.admit(keys[0], FINGERPRINT, END_SECONDS),
    }
    return {name: round(time_per_key(step), 2) for name, step in steps.items()}


def measure_bytes() -> dict[str, int]:
    """Return bytes of one admitted key, and of its kept answer."""
    tracemalloc.start()
    table = new_table()
    admit_all(table, make_keys())
    admitted = tracemalloc.get_traced_memory()[0] // KEYS
    answer_all(table, [entry.key for entry in table.entry_by_key.values()])
    answered = tracemalloc.get_traced_memory()[0] // KEYS
    tracemalloc.stop()
    return {'key_bytes': admitted, 'kept_answer_bytes': answered - admitted}


def new_table() -> TicketTable:
    """Return an empty table."""
    return TicketTable('entry-1', 7, LIFETIME_SECONDS, KEYS, START_SECONDS)


def make_keys() -> list[TicketKey]:
    """Return keys that expire all over the lifetime."""
    return [
        parse_key(f'ck1.entry-1.7.{1000 + number % LIFETIME_SECONDS}.{number:032x}')
        for number in range(KEYS)
    ]


def admit_all(table: TicketTable, keys: list[TicketKey]) -> None:
    """Admit every key."""
    for key in keys:
        table.admit(key, FINGERPRINT, START_SECONDS)


def answer_all(table: TicketTable, keys: list[TicketKey]) -> None:
    """Answer every key with a small body."""
    for key in keys:
        table.mark_answered(key, 200, KeptAnswer(200, (), bytes(ANSWER_BODY_BYTES)))


def time_per_key(work: Callable[[], object]) -> float:
    """Return microseconds per key."""
    began = time.perf_counter()
    work()
    return (time.perf_counter() - began) / KEYS * 1e6


if __name__ == '__main__':
    main()
