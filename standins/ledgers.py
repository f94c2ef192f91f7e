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
class SentRequest:
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


def find_contradictions(
    sent_requests: Iterable[SentRequest], runs: Iterable[Run]
) -> list[str]:
    """Return a message for each outcome or run that contradicts the ledgers."""
    sent_requests, runs = list(sent_requests), list(runs)
    runs_by_id = Counter(run.request_id for run in runs)
    return [
        *find_wrong_outcomes(sent_requests, runs_by_id),
        *find_repeats(sent_requests, runs),
    ]


def find_wrong_outcomes(
    sent_requests: list[SentRequest], runs_by_id: Counter
) -> list[str]:
    """Compare each outcome with the runs; requests of one key must be in order."""
    contradictions = []
    ids_by_key: dict[str, list[str]] = {}
    for sent_request in sent_requests:
        request_id = sent_request.request_id
        ids = ids_by_key.setdefault(sent_request.key or request_id, [])
        ids.append(request_id)
        if sent_request.outcome is None:
            contradictions.append(f'{request_id} got no outcome')
        elif sent_request.outcome == 'wrong':
            contradictions.append(f'{request_id} got a wrong answer')
        elif sent_request.outcome == NOT_RUN:
            ran = [each for each in ids if runs_by_id[each]]
            contradictions.extend(
                f'{request_id} got not run, {each} ran' for each in ran
            )
        elif sent_request.outcome == RIGHT:
            contradictions.extend(find_wrong_answer(sent_request, ids, runs_by_id))
    return contradictions


def find_wrong_answer(
    sent_request: SentRequest, ids: list[str], runs_by_id: Counter
) -> list[str]:
    """Return a message if an answer is another request's or its request never ran."""
    if sent_request.answered_id not in ids:
        return [
            f"{sent_request.request_id} got the answer of '{sent_request.answered_id}'"
        ]
    if not runs_by_id[sent_request.answered_id]:
        return [f'{sent_request.request_id} got an answer and is in no ledger']
    return []


def find_repeats(sent_requests: list[SentRequest], runs: list[Run]) -> list[str]:
    """Return a message for each unrepeatable request that ran more than once."""
    once = [each for each in sent_requests if not each.repeatable]
    ids = {sent_request.request_id for sent_request in once}
    keys = {sent_request.key for sent_request in once if sent_request.key}
    runs_by_id = Counter(run.request_id for run in runs if run.request_id in ids)
    runs_by_key = Counter(run.key for run in runs if run.key in keys)
    counts = [*runs_by_id.items(), *runs_by_key.items()]
    return [f'{name} ran {count} times' for name, count in counts if count > 1]
