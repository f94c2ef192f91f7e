"""What serves a caller's requests behind its connection."""

from abc import ABC, abstractmethod

import h11

from catkinslip.proxy.calls import Call
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.outcomes import NotRun, Outcome
from catkinslip.proxy.wire import Wire


class CallForwarder(ABC):
    """Carry a call to backend servers."""

    @abstractmethod
    async def forward(self, call: Call, caller: Wire) -> Outcome:
        """Forward one call within its deadline."""


class LocalPages(ABC):
    """Answer requests that are for this instance itself."""

    @abstractmethod
    def has(self, target: bytes) -> bool:
        """Tell whether a target is one of these pages."""

    @abstractmethod
    def answer(self, request: RequestHead) -> tuple[h11.Event, ...] | NotRun:
        """Return the whole answer to a request for one of these pages."""
