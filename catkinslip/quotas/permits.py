"""The permits of one call: one for each send that may run, and the rest back."""

from attrs import define

from catkinslip.quotas.base import QuotaGate


@define
class CallPermits:
    """The permits that one call holds; the first is taken before it is created."""

    gate: QuotaGate
    workspace: str
    #: Expiry of the first permit, on the monotonic clock. Further ones expire later.
    expires_at: float = 0.0
    held: int = 1
    #: Number of sends that may have run.
    ran: int = 0
    is_settled: bool = False

    def take_more(self) -> bool:
        """Take a permit for a hedge or a further attempt; return whether there is one.

        Each attempt after one that may have run takes a permit of its own.
        """
        if not self.gate.try_acquire(self.workspace):
            return False
        self.held += 1
        return True

    def settle(self) -> None:
        """Give the permits of sends that did not run back, once."""
        if self.is_settled:
            return
        self.is_settled = True
        for _ in range(self.held - self.ran):
            self.gate.release(self.workspace, self.expires_at)
