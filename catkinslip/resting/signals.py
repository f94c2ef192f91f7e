"""Signals in answers that request a rest period."""

from attrs import frozen


@frozen
class RestSignal:
    """Requested seconds without requests from this instance, or None for no rest."""

    seconds: float | None = None
    is_malformed: bool = False


NO_REST = RestSignal()
MALFORMED_REST = RestSignal(is_malformed=True)
