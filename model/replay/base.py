"""Base class of replays, which perform the actions of a run in order."""

from abc import ABC, abstractmethod

from model.checker import Run


class Replay(ABC):
    """The parts of the product that implement one specification.

    An action that the product does not allow is skipped, as a guard would do.
    """

    async def play(self, run: Run) -> None:
        """Perform all actions of a run."""
        for action in run.actions():
            name, *numbers = action.split()
            await self.step(name, *(int(number) for number in numbers))

    @abstractmethod
    async def step(self, name: str, *numbers: int) -> None:
        """Perform one action; the numbers select the parts that act."""
