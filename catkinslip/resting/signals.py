"""What answers say of the rest that their server wants."""

from attrs import frozen


@frozen
class RestSignal:
    """What one answer says: seconds without a request from here, or nothing."""

    seconds: float | None = None
    is_malformed: bool = False


NO_REST = RestSignal()
MALFORMED_REST = RestSignal(is_malformed=True)
