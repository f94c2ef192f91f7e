"""Ways of admission."""

from attrs import define

from catkinslip.limits.base import Admission
from catkinslip.limits.load import ServiceLoad
from catkinslip.proxy.outcomes import NotRun, Reason

MIN_RETRY_AFTER_SECONDS = 0.01
MAX_RETRY_AFTER_SECONDS = 30.0


@define
class SharedLimit(Admission):
    """Keep the own share of the slots, and lend from it while it is idle.

    A call within the own share is always admitted. One beyond it is admitted while
    all instances together, as the backend servers' reports tell, leave room.
    """

    queue_depth: float = 2.0

    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return why a call is refused; None admits it."""
        if load.in_flight < own_share(load, self.queue_depth):
            return None
        if load.total < load.slots * self.queue_depth:
            return None
        return refuse_overloaded(load)


@define
class DeadlineLimit(SharedLimit):
    """Limit as SharedLimit does, and refuse calls that would be answered late."""

    margin: float = 1.0

    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return why a call is refused; None admits it."""
        refusal = SharedLimit.refuse(self, load, time_left)
        if refusal is not None:
            return refusal
        wait = load.wait
        if not load.in_flight or not wait:
            return None
        if wait + self.margin * load.service_time <= time_left:
            return None
        detail = f'expected wait {wait * 1e3:.0f} ms, left {time_left * 1e3:.0f} ms'
        return NotRun(Reason.DEADLINE_UNMET, detail, retry_after=retry_after(load))


def own_share(load: ServiceLoad, queue_depth: float) -> float:
    """Return the requests in flight that are this instance's own to send."""
    return max(1.0, load.slots * queue_depth / load.instances)


def refuse_overloaded(load: ServiceLoad) -> NotRun:
    """Return a refusal because the service's slots and queues are full."""
    detail = f'{load.total:.0f} requests in flight for {load.slots} slots'
    return NotRun(Reason.OVERLOADED, detail, retry_after=retry_after(load))


def retry_after(load: ServiceLoad) -> float:
    """Return after how many seconds to come back.

    The queue's expected wait, longer the more calls were refused lately: so many
    times more callers than can be served would come back.
    """
    admitted = max(1 - load.refused_share, MIN_RETRY_AFTER_SECONDS)
    wait = max(load.wait, load.service_time, MIN_RETRY_AFTER_SECONDS)
    return min(wait / admitted, MAX_RETRY_AFTER_SECONDS)
