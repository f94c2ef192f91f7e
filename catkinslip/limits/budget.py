"""The budget of extra requests that retries and hedges share."""

from attrs import define

TOKEN_TOLERANCE = 1e-9


@define
class ExtraBudget:
    """Earn a share of a token with each call; an extra request takes one.

    Extra requests never exceed `share` times the calls, since the budget starts
    empty and saves at most `reserve` tokens.
    """

    share: float
    reserve: float
    tokens: float = 0.0

    def earn(self) -> None:
        """Count one call."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def has(self, kept: float = 0.0) -> bool:
        """Tell whether a token can be taken while some tokens are kept."""
        return self.tokens - kept >= 1 - TOKEN_TOLERANCE

    def take(self) -> None:
        """Take one token."""
        self.tokens -= 1
