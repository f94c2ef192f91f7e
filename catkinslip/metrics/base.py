"""Families of measured values, and who provides them."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum, unique

from attrs import Factory, define, frozen


@unique
class FamilyKind(Enum):
    """How a value behaves over time."""

    #: Only grows while the process lives.
    COUNTER = 'counter'
    #: Goes up and down.
    GAUGE = 'gauge'
    #: Recent quantiles with the count and the sum since the start.
    SUMMARY = 'summary'


@frozen
class Sample:
    """One value with the values of its labels."""

    labels: tuple[str, ...]
    value: float


@frozen
class SummarySample:
    """Recent quantiles of one series, with its count and sum since the start."""

    labels: tuple[str, ...]
    count: int
    sum: float
    value_by_quantile: dict[str, float]


@define
class Family:
    """All series of one name; names end with their unit."""

    name: str
    help: str
    kind: FamilyKind
    label_names: tuple[str, ...] = ()
    samples: list[Sample] = Factory(list)
    summaries: list[SummarySample] = Factory(list)

    def add(self, value: float, *labels: str) -> None:
        """Add one value."""
        self.samples.append(Sample(labels, value))


class MetricSource(ABC):
    """A part that can tell what it has measured."""

    @abstractmethod
    def families(self) -> Iterable[Family]:
        """Return the measured values of now."""


def counter(name: str, text: str, *label_names: str) -> Family:
    """Return an empty family of counters."""
    return Family(name, text, FamilyKind.COUNTER, label_names)


def gauge(name: str, text: str, *label_names: str) -> Family:
    """Return an empty family of gauges."""
    return Family(name, text, FamilyKind.GAUGE, label_names)


def summary(name: str, text: str, *label_names: str) -> Family:
    """Return an empty family of summaries."""
    return Family(name, text, FamilyKind.SUMMARY, label_names)
