"""Admission policies."""

from attrs import define

from catkinslip.limits.base import Admission
from catkinslip.limits.load import ServiceLoad
from catkinslip.proxy.outcomes import NotRun, Reason

MIN_RETRY_AFTER_SECONDS = 0.01
MAX_RETRY_AFTER_SECONDS = 30.0


@define
class SharedLimit(Admission):
    """An admission policy that reserves this instance's share and lends idle slots.

    A call within this instance's share of the slots is always admitted. A call beyond
    it is admitted while all instances together, according to the backend servers'
    reports, leave room.
    """

    queue_depth: float = 2.0

    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return the refusal of a call; None admits the call."""
        if load.in_flight < local_share(load, self.queue_depth):
            return None
        if load.total < load.slots * self.queue_depth:
            return None
        return refuse_overloaded(load)


@define
class DeadlineLimit(SharedLimit):
    """A shared limit that also refuses calls that would miss their deadline."""

    margin: float = 1.0

    def refuse(self, load: ServiceLoad, time_left: float) -> NotRun | None:
        """Return the refusal of a call; None admits the call."""
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


def local_share(load: ServiceLoad, queue_depth: float) -> float:
    """Return how many requests in flight this instance may always have."""
    return max(1.0, load.slots * queue_depth / load.instances)


def refuse_overloaded(load: ServiceLoad) -> NotRun:
    """Return the refusal of a call because the service's slots and queues are full."""
    detail = f'{load.total:.0f} requests in flight for {load.slots} slots'
    return NotRun(Reason.OVERLOADED, detail, retry_after=retry_after(load))


def retry_after(load: ServiceLoad) -> float:
    """Return the seconds after which a refused caller should retry.

    The result is the expected wait in the queue, and longer the more calls were refused
    lately: otherwise that many times more callers would return than can be served.
    """
    admitted = max(1 - load.refused_share, MIN_RETRY_AFTER_SECONDS)
    wait = max(load.wait, load.service_time, MIN_RETRY_AFTER_SECONDS)
    return min(wait / admitted, MAX_RETRY_AFTER_SECONDS)
