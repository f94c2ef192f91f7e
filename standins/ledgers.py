"""Comparison of the outcomes that callers got with the runs of backend servers."""

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from attrs import define, frozen

RIGHT = 'right'
NOT_RUN = 'not_run'


@frozen
class Run:
    """One line of a backend server's ledger."""

    request_id: str
    key: str = ''


@define
class Sending:
    """One request as a caller sent it, and the outcome that the caller got."""

    request_id: str
    key: str = ''
    repeatable: bool = True
    #: Outcome that the caller got; None until an answer or a connection break.
    outcome: str | None = None
    #: Request ID in the answer; the ID of an earlier request if it was replayed.
    answered_id: str = ''


def read_ledger(path: Path) -> list[Run]:
    """Return the runs in a ledger file; a killed server's file is complete."""
    return [Run(**json.loads(line)) for line in path.read_text().splitlines()]


def find_lies(sendings: Iterable[Sending], runs: Iterable[Run]) -> list[str]:
    """Return a message for each outcome or run that contradicts the ledgers."""
    sendings, runs = list(sendings), list(runs)
    runs_by_id = Counter(run.request_id for run in runs)
    return [
        *find_wrong_words(sendings, runs_by_id),
        *find_repeats(sendings, runs),
    ]


def find_wrong_words(sendings: list[Sending], runs_by_id: Counter) -> list[str]:
    """Compare each outcome with the runs; requests of one key must be in order."""
    lies = []
    ids_by_key: dict[str, list[str]] = {}
    for sending in sendings:
        request_id = sending.request_id
        ids = ids_by_key.setdefault(sending.key or request_id, [])
        ids.append(request_id)
        if sending.outcome is None:
            lies.append(f'{request_id} got no outcome')
        elif sending.outcome == 'wrong':
            lies.append(f'{request_id} got a wrong answer')
        elif sending.outcome == NOT_RUN:
            ran = [each for each in ids if runs_by_id[each]]
            lies.extend(f'{request_id} got not run, {each} ran' for each in ran)
        elif sending.outcome == RIGHT:
            lies.extend(find_wrong_answer(sending, ids, runs_by_id))
    return lies


def find_wrong_answer(
    sending: Sending, ids: list[str], runs_by_id: Counter
) -> list[str]:
    """Return a message if an answer is another request's or its request never ran."""
    if sending.answered_id not in ids:
        return [f"{sending.request_id} got the answer of '{sending.answered_id}'"]
    if not runs_by_id[sending.answered_id]:
        return [f'{sending.request_id} got an answer and is in no ledger']
    return []


def find_repeats(sendings: list[Sending], runs: list[Run]) -> list[str]:
    """Return a message for each unrepeatable request that ran more than once."""
    once = [each for each in sendings if not each.repeatable]
    ids = {sending.request_id for sending in once}
    keys = {sending.key for sending in once if sending.key}
    runs_by_id = Counter(run.request_id for run in runs if run.request_id in ids)
    runs_by_key = Counter(run.key for run in runs if run.key in keys)
    counts = [*runs_by_id.items(), *runs_by_key.items()]
    return [f'{name} ran {count} times' for name, count in counts if count > 1]
