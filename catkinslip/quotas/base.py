"""The interface between the request path and the quotas of workspaces."""

from abc import ABC, abstractmethod

from attrs import frozen

from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import NotRun


@frozen
class WorkspaceUsage:
    """The recent use of a workspace over all instances."""

    requests_per_second: float
    #: Limit in requests per second; 0 for no limit.
    limit_per_second: float = 0.0
    #: Share of the workspace's requests that got no answer from a server.
    refused_share: float = 0.0


class QuotaGate(ABC):
    """Gate that lets requests of workspaces pass within their quotas."""

    @abstractmethod
    async def acquire(self, call: Call) -> NotRun | None:
        """Take a permit for a call; return its refusal if there is none."""

    @abstractmethod
    def try_acquire(self, workspace: str) -> bool:
        """Take a permit for a hedge or a further attempt; never wait for one."""

    @abstractmethod
    def release(self, workspace: str, expires_at: float) -> None:
        """Give back the permit of a call that did not run, until its expiry.

        The time is `Call.permit_expires_at`, in seconds on the monotonic clock.
        """

    @abstractmethod
    def usage(self, workspace: str) -> WorkspaceUsage | None:
        """Return the recent use of a workspace; None if it is not known."""


class NoQuotas(QuotaGate):
    """Gate that lets every request pass."""

    async def acquire(self, call: Call) -> NotRun | None:
        """Return None: every call passes."""
        return None

    def try_acquire(self, workspace: str) -> bool:
        """Return True: every attempt passes."""
        return True

    def release(self, workspace: str, expires_at: float) -> None:
        """Do nothing: there are no permits."""

    def usage(self, workspace: str) -> WorkspaceUsage | None:
        """Return None: no use is counted."""
        return None
