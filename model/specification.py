"""Base classes of specifications: variables, actions and properties."""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping
from typing import ClassVar

import z3
from attrs import define, frozen

State = Mapping[str, z3.ExprRef]
Updates = Mapping[str, z3.ExprRef | int | bool]


@frozen
class Action:
    """An action that is possible while its guard holds and then updates variables."""

    name: str
    guard: z3.BoolRef
    updates: Updates


@frozen
class Guard:
    """The reason for a guard of a protocol, and the property violated without it."""

    reason: str
    violates: str


@define
class Specification(ABC):
    """A protocol; `without` is the name of the guard that a mutant omits."""

    without: str = ''
    name: ClassVar[str] = ''
    bounds: ClassVar[str] = ''
    guard_by_name: ClassVar[Mapping[str, Guard]] = {}

    def has(self, guard: str) -> bool:
        """Return whether a guard is part of this variant of the protocol."""
        if guard not in self.guard_by_name:
            raise KeyError(guard)
        return guard != self.without

    @abstractmethod
    def initial_values(self) -> dict[str, int | bool]:
        """Return the variables and their initial values."""

    @abstractmethod
    def actions(self, state: State) -> Iterator[Action]:
        """Yield the actions that may be possible in a state."""

    @abstractmethod
    def properties(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the properties that must hold in every state, by name."""

    @abstractmethod
    def goals(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the goals that some run must reach, so that no proof is vacuous."""

    @abstractmethod
    def invariant(self, state: State) -> dict[str, z3.BoolRef]:
        """Return the inductive facts from which the properties follow, by name."""


def indexed(name: str, index: int) -> str:
    """Return the name of a variable that belongs to one of several equal parts."""
    return f'{name}{index}'
