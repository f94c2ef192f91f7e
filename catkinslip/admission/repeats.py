"""Callers that send a refused request again before their retry delay has passed.

Load: three callers in ten send again at once, three times as often as others, while the
servers have no room or refuse half of their requests. A caller whose address sends
again before the time of its last refusal for want of room is recognised, as long as the
address has one call at a time. Addresses with several calls at once belong to several
callers, whose fresh calls must not count as repeated ones.
"""

from attrs import Factory, define

#: Seconds by which a caller may return early: timers are rounded.
TOLERANCE_SECONDS = 0.005
#: Seconds after which an address that had several calls at once may be one caller.
SHARED_SECONDS = 60.0
#: Maximum number of addresses; the one that was seen longest ago is removed.
MAX_ADDRESSES = 4096


@define
class AddressCalls:
    """The calls of one address; times are monotonic seconds."""

    open_calls: int = 0
    #: Time before which a refused caller must not return.
    refused_until: float = 0.0
    #: Time until which the address counts as shared by several callers.
    shared_until: float = 0.0


@define
class RepeatedCalls:
    """Recognition of callers that return too early, in bounded memory."""

    calls_by_address: dict[str, AddressCalls] = Factory(dict)

    def arrive(self, address: str, now: float) -> bool:
        """Count a call that arrived; return whether its caller returned too early."""
        if not address:
            return False
        known = self.calls_by_address.pop(address, None) or AddressCalls()
        if len(self.calls_by_address) >= MAX_ADDRESSES:
            del self.calls_by_address[self._evicted()]
        self.calls_by_address[address] = known
        known.open_calls += 1
        if known.open_calls > 1:
            known.shared_until = now + SHARED_SECONDS
        if now < known.shared_until:
            return False
        return now < known.refused_until - TOLERANCE_SECONDS

    def end(self, address: str, now: float, retry_after: float | None) -> None:
        """Count a call that ended, refused with a time to return if there is one."""
        known = self.calls_by_address.get(address)
        if known is None:
            return
        known.open_calls = max(0, known.open_calls - 1)
        if retry_after is None:
            known.refused_until = 0.0
        else:
            known.refused_until = max(known.refused_until, now + retry_after)

    def _evicted(self) -> str:
        """Return the address seen longest ago, one without open calls if any."""
        by_address = self.calls_by_address
        idle = (name for name, each in by_address.items() if not each.open_calls)
        return next(idle, next(iter(by_address)))
