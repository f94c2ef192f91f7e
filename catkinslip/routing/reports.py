"""Read load reports from answers.

The header is ORCA's `endpoint-load-metrics` in its TEXT form:
https://github.com/envoyproxy/envoy/issues/6614
"""

from catkinslip.routing.base import LoadReport

HEADER = b'endpoint-load-metrics'
PREFIX = 'TEXT '
IN_FLIGHT = 'named_metrics.in_flight'
SPEED = 'named_metrics.speed'


def parse_report(value: bytes) -> LoadReport | None:
    """Parse a load report; None for anything malformed."""
    text = value.decode('latin-1')
    if not text.startswith(PREFIX):
        return None
    value_by_name = {}
    for field in text.removeprefix(PREFIX).split(','):
        name, _, number = field.strip().partition('=')
        try:
            value_by_name[name] = float(number)
        except ValueError:
            return None
    in_flight = value_by_name.get(IN_FLIGHT)
    if in_flight is None or not 0 <= in_flight < float('inf'):
        return None
    return LoadReport(in_flight, value_by_name.get(SPEED))
