"""What a specification is: variables, actions and what must hold."""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from typing import ClassVar

import z3
from attrs import define, frozen

State = Mapping[str, z3.ExprRef]
Updates = Mapping[str, z3.ExprRef | int | bool]


@frozen
class Action:
    """One step: it may happen when the guard holds, and then sets variables."""

    name: str
    guard: z3.BoolRef
    updates: Updates


@frozen
class Guard:
    """One guard of a protocol: why it is there, and what breaks without it."""

    reason: str
    breaks: str


@define
class Specification(ABC):
    """A protocol; `without` names the guard that a mutant leaves out."""

    without: str = ''
    name: ClassVar[str] = ''
    bounds: ClassVar[str] = ''
    guard_by_name: ClassVar[Mapping[str, Guard]] = {}

    def has(self, guard: str) -> bool:
        """Tell whether a guard is in place."""
        if guard not in self.guard_by_name:
            raise KeyError(guard)
        return guard != self.without

    @abstractmethod
    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their first values."""

    @abstractmethod
    def actions(self, state: State) -> Iterator[Action]:
        """Yield the steps that may follow a state."""

    @abstractmethod
    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return what must hold in every state, by name."""

    @abstractmethod
    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return what some run must reach, so that no proof is empty."""

    @abstractmethod
    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return what each step keeps, and from which the properties follow."""


def indexed(name: str, index: int) -> str:
    """Return the variable of one of several like parts."""
    return f'{name}{index}'
