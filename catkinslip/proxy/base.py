"""Interfaces of the request handlers behind a caller's connection."""

from abc import ABC, abstractmethod
from typing import ClassVar

import h11

from catkinslip.proxy.call import Call
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.outcomes import NotRun, Outcome, Unknown
from catkinslip.proxy.wire import Wire


class CallForwarder(ABC):
    """Interface for forwarding calls to backend servers."""

    @abstractmethod
    async def forward(self, call: Call, caller: Wire) -> Outcome:
        """Forward one call within its deadline and return how it ended."""


class RefusalReview(ABC):
    """Interface that decides what a refusal before forwarding may tell the caller.

    A refusal says that the request did not run, which is false of a repeated request
    that ran before.
    """

    #: How long to wait for the head of a request that is refused anyway, in seconds.
    refused_head_seconds: ClassVar[float] = 0.0

    @abstractmethod
    async def review(self, call: Call, refusal: NotRun, caller: Wire) -> Outcome:
        """Return the outcome of a call that is refused instead of being forwarded."""

    @abstractmethod
    def review_unread(
        self, refusal: NotRun, head: RequestHead | None, data: bytes
    ) -> NotRun | Unknown:
        """Return the outcome of a request that is refused before it is a call.

        `head` is None if the head was not parsed; `data` is what was received of it.
        """


class NoReview(RefusalReview):
    """The review where no request repeats another: each refusal is true as it is."""

    async def review(self, call: Call, refusal: NotRun, caller: Wire) -> Outcome:
        """Return the refusal."""
        return refusal

    def review_unread(
        self, refusal: NotRun, head: RequestHead | None, data: bytes
    ) -> NotRun | Unknown:
        """Return the refusal."""
        return refusal


class LocalPages(ABC):
    """Interface for pages that this instance serves itself."""

    @abstractmethod
    def has(self, target: bytes) -> bool:
        """Return whether a request target is one of these pages."""

    @abstractmethod
    def answer(self, request: RequestHead) -> tuple[h11.Event, ...] | NotRun:
        """Return the complete answer to a request for one of these pages."""
