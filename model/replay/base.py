"""What every replay does: take the steps of a run, one after the other."""

from abc import ABC, abstractmethod

from model.checker import Run


class Replay(ABC):
    """The product's parts in the place of one specification.

    A step that the product does not allow is left out, as a guard would.
    """

    async def play(self, run: Run) -> None:
        """Take all steps of a run."""
        for action in run.actions():
            name, *numbers = action.split()
            await self.step(name, *(int(number) for number in numbers))

    @abstractmethod
    async def step(self, name: str, *numbers: int) -> None:
        """Take one step; the numbers say which of several like parts acts."""
