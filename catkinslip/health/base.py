"""Interface for refreshing load reports before a backend server is chosen."""

from abc import ABC, abstractmethod
from collections.abc import Collection

from catkinslip.routing.router import ServiceRouter


class Sampler(ABC):
    """Base of samplers, which refresh load reports before a router's choice."""

    @abstractmethod
    async def refresh(self, router: ServiceRouter, tried: Collection[str]) -> None:
        """Probe until the choice rests on a fresh report or the budget is spent."""

    @abstractmethod
    async def refresh_one(self, router: ServiceRouter, backend_id: str) -> None:
        """Probe one server, unless the budget is spent."""


class NoSampler(Sampler):
    """A sampler that sends no probes: choices use the reports in answers only."""

    async def refresh(self, router: ServiceRouter, tried: Collection[str]) -> None:
        """Send no probe."""

    async def refresh_one(self, router: ServiceRouter, backend_id: str) -> None:
        """Send no probe."""
