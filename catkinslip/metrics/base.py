"""Metric families and the interface of metric sources."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from enum import Enum, unique

from attrs import Factory, define, frozen


@unique
class FamilyKind(Enum):
    """Type of a metric family."""

    #: Value that only increases while the process runs.
    COUNTER = 'counter'
    #: Value that increases and decreases.
    GAUGE = 'gauge'
    #: Recent quantiles with the count and the sum since the start of the process.
    SUMMARY = 'summary'


@frozen
class Sample:
    """One value with the values of its labels."""

    labels: tuple[str, ...]
    value: float


@frozen
class SummarySample:
    """Recent quantiles of one series, with count and sum since the process start."""

    labels: tuple[str, ...]
    count: int
    sum: float
    value_by_quantile: dict[str, float]


@define
class Family:
    """All series of one metric name; the name ends with the unit."""

    name: str
    help: str
    kind: FamilyKind
    label_names: tuple[str, ...] = ()
    samples: list[Sample] = Factory(list)
    summaries: list[SummarySample] = Factory(list)

    def add(self, value: float, *labels: str) -> None:
        """Add a sample with the given label values."""
        self.samples.append(Sample(labels, value))


class MetricSource(ABC):
    """Component that provides metric families."""

    @abstractmethod
    def families(self) -> Iterable[Family]:
        """Return the current metric families."""


def counter(name: str, text: str, *label_names: str) -> Family:
    """Return a counter family without samples."""
    return Family(name, text, FamilyKind.COUNTER, label_names)


def gauge(name: str, text: str, *label_names: str) -> Family:
    """Return a gauge family without samples."""
    return Family(name, text, FamilyKind.GAUGE, label_names)


def summary(name: str, text: str, *label_names: str) -> Family:
    """Return a summary family without samples."""
    return Family(name, text, FamilyKind.SUMMARY, label_names)
