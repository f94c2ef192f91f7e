"""The share of every limit that this instance generates.

Load: lists of instances differ for a few seconds while instances join and leave. A
larger share is used only when it has been in the list for some time, and a smaller one
at once, so that the shares of all instances add up to at most 1 where lists agree
within that time.
"""

from math import inf

from attrs import define

#: Seconds until a larger share is used. Peers pass a new list on within about a second.
SETTLE_SECONDS = 2.0


@define
class GeneratorShare:
    """The share that is in use, from the shares in the list; times are monotonic."""

    in_use: float = 0.0
    _listed: float = 0.0
    _since: float = inf
    _is_first: bool = True

    def update(self, listed: float, now: float, *, was_listed: bool) -> float:
        """Return the share in use, given that of the current list.

        `was_listed` is whether the list already held this instance when it started; the
        others then count its share all the time.
        """
        if listed != self._listed:
            # A further rise within the time counts from its own start.
            self._listed, self._since = listed, now
        is_known = self._is_first and was_listed and listed > 0
        if listed < self.in_use or is_known or now - self._since >= SETTLE_SECONDS:
            self.in_use = listed
        # An instance that enters a home set later is new to the others' lists.
        self._is_first = False
        return self.in_use
