"""The settings of admission, and the interface of admission policies."""

from abc import ABC, abstractmethod

from attrs import frozen

from catkinslip.admission.waiting import AdmissionSettings
from catkinslip.limits.load import ServiceLoad
from catkinslip.proxy.outcomes import NotRun


@frozen
class LimitSettings:
    """The limits of one service; shares are fractions of one, durations seconds."""

    queue_depth: float = 2.0
    deadline_margin: float = 1.0
    extra_share: float = 0.05
    extra_reserve: float = 10.0
    #: Reserve that all instances share; replaces the reserve of each instance if given.
    extra_slack: float | None = None
    max_attempts: int = 3
    hedge_percentile: float = 99.0
    admission: AdmissionSettings = AdmissionSettings()


class Admission(ABC):
    """An admission policy, which admits a call or refuses the call at once."""

    @abstractmethod
    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return the refusal of a call; None admits the call."""
