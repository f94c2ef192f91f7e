"""Parser of the load reports in answers.

The header is ORCA's `endpoint-load-metrics` in its TEXT form:
https://github.com/envoyproxy/envoy/issues/6614
"""

from catkinslip.routing.base import LoadReport

HEADER = b'endpoint-load-metrics'
PREFIX = b'TEXT '
IN_FLIGHT = b'named_metrics.in_flight'
SPEED = b'named_metrics.speed'
MAX_BYTES = 1024
MAX_IN_FLIGHT = 1e6
MIN_SPEED = 1e-3
MAX_SPEED = 1e6


def parse_report(value: bytes) -> LoadReport | None:
    """Parse a load report; return None if it is malformed or out of range."""
    if len(value) > MAX_BYTES or not value.startswith(PREFIX):
        return None
    in_flight = speed = None
    try:
        for field in value[len(PREFIX) :].split(b','):
            name, _, number = field.strip().partition(b'=')
            if name == IN_FLIGHT:
                in_flight = float(number)
            elif name == SPEED:
                speed = float(number)
    except ValueError:
        return None
    # Comparisons with NaN are false, so NaN is rejected too.
    if in_flight is None or not 0 <= in_flight <= MAX_IN_FLIGHT:
        return None
    if speed is not None and not MIN_SPEED <= speed <= MAX_SPEED:
        return None
    return LoadReport(in_flight, speed)
