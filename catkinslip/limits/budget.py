"""The budget of extra requests that retries and hedges share."""

from attrs import define

TOKEN_TOLERANCE = 1e-9
INITIAL_SHARE = 0.5


@define
class ExtraBudget:
    """A token bucket that calls fill and extra requests empty.

    Each call adds a share of a token, and each extra request takes one token. Extra
    requests never exceed `share` times the calls, since the budget starts empty and
    saves at most `reserve` tokens. A reserve that instances share comes in addition.
    """

    share: float
    reserve: float
    tokens: float = 0.0
    has_started: bool = False

    def set_reserve(self, reserve: float) -> None:
        """Set this instance's share of a reserve that all instances have together.

        Half of the reserve is available at the start, so that one restart within the
        window of the bound spends at most half as much again.
        """
        if not self.has_started:
            self.has_started = True
            self.tokens = reserve * INITIAL_SHARE
        self.reserve = reserve
        self.tokens = min(self.tokens, reserve)

    def earn(self) -> None:
        """Add the share of a token that one call earns."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def has_token(self, reserved: float = 0.0) -> bool:
        """Return whether a token can be taken while some tokens stay reserved."""
        return self.tokens - reserved >= 1 - TOKEN_TOLERANCE

    def take(self) -> None:
        """Remove one token."""
        self.tokens -= 1
