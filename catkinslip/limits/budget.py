"""The budget of extra requests that retries and hedges share."""

from attrs import define

TOKEN_TOLERANCE = 1e-9
START_SHARE = 0.5


@define
class ExtraBudget:
    """Earn a share of a token with each call; an extra request takes one.

    Extra requests never exceed `share` times the calls, since the budget starts
    empty and saves at most `reserve` tokens; a reserve that instances share comes on
    top.
    """

    share: float
    reserve: float
    tokens: float = 0.0
    has_started: bool = False

    def set_reserve(self, reserve: float) -> None:
        """Follow the own share of a reserve that all instances have together.

        Half of it is there at the start, so that one restart within the window of
        the bound spends at most half as much again.
        """
        if not self.has_started:
            self.has_started = True
            self.tokens = reserve * START_SHARE
        self.reserve = reserve
        self.tokens = min(self.tokens, reserve)

    def earn(self) -> None:
        """Count one call."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def has(self, kept: float = 0.0) -> bool:
        """Tell whether a token can be taken while some tokens are kept."""
        return self.tokens - kept >= 1 - TOKEN_TOLERANCE

    def take(self) -> None:
        """Take one token."""
        self.tokens -= 1
