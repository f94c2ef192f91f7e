"""Requests that one instance relays to another, and how these end.

An instance that reaches no server of a service relays a request to one that does. The
header of a relayed request carries the receiver's token, which callers cannot know: it
replaces the API key, and such a request is never relayed again.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable

import cattrs
import orjson
from attrs import asdict, frozen

from catkinslip.proxy import headers as names
from catkinslip.proxy.headers import Header
from catkinslip.proxy.outcomes import NotRun, Outcome, Reason, Unknown

NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
REASON_BY_SLUG = {reason.slug: reason for reason in Reason}


@frozen
class RelayHead:
    """What the sender of a relayed request sends with it."""

    #: Token of the receiver, as it reported it last.
    token: str
    sender: str
    #: Version of the rules that the sender applied.
    rules_version: int
    #: Service that the sender chose of those of the route.
    service: str
    #: Workspace of the caller's API key; empty without one.
    workspace: str = ''
    #: Number of times that the request may have run before.
    runs: int = 0

    def encode(self) -> Header:
        """Return the header of a relayed request."""
        return names.RELAYED, orjson.dumps(asdict(self))


@frozen
class RelayedRequest:
    """A request that another instance relayed, and why it is not accepted, if so."""

    head: RelayHead
    refusal: NotRun | None = None


def decode_head(value: bytes) -> RelayHead | None:
    """Return the content of the header of a relayed request; None if malformed."""
    try:
        return cattrs.structure(orjson.loads(value), RelayHead)
    except (orjson.JSONDecodeError, cattrs.BaseValidationError, TypeError, ValueError):
        return None


def encode_outcome(outcome: Outcome) -> Header | None:
    """Return the header that states how a relayed request ended without an answer."""
    match outcome:
        case NotRun(reason, _, _, retry_after):
            seconds = 0.0 if retry_after is None else retry_after
            text = f'{NOT_RUN} {reason.slug} {seconds:.3f}'
        case Unknown(reason):
            text = f'{UNKNOWN} {reason.slug}'
        case _:
            return None
    return names.RELAYED, text.encode()


def decode_outcome(headers: Iterable[Header], receiver: str) -> NotRun | Unknown | None:
    """Return how a relayed request ended at its receiver; None if it was answered.

    What is unreadable counts as unknown: the request may have run.
    """
    value = names.find(headers, names.RELAYED)
    if value is None:
        return None
    kind, _, rest = value.decode('latin-1').partition(' ')
    slug, _, seconds = rest.partition(' ')
    reason = REASON_BY_SLUG.get(slug)
    if kind != NOT_RUN or reason is None:
        return Unknown(reason or Reason.BROKEN, f'at {receiver}')
    return NotRun(reason, f'at {receiver}', retry_after=read_seconds(seconds))


def read_seconds(text: str) -> float | None:
    """Return a positive number of seconds; None if the text is none."""
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if seconds > 0 else None


class RelayGate(ABC):
    """Interface that decides whether a request is one that an instance relayed."""

    @abstractmethod
    def read(self, headers: Iterable[Header]) -> RelayedRequest | None:
        """Return what marks a request as relayed; None for a request of a caller."""


class NoRelays(RelayGate):
    """The gate of an instance to which no other one relays requests."""

    def read(self, headers: Iterable[Header]) -> None:
        """Return None: every request is a caller's."""
