"""The log line of a request that ended."""

import logging

from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import Outcome

log = logging.getLogger('request')


def log_end(
    call: Call,
    outcome: Outcome,
    began_at: float,
    now: float,
    turn_seconds: float = 0.0,
    behind: int = 0,
) -> None:
    """Log how a request ended; times are in seconds on the monotonic clock.

    `turn_seconds` is how long its answer waited for its turn, `behind` the number of
    unanswered requests ahead of it on the connection when it started.
    """
    log.info(
        'request: %s %s ended as %s. route=%s ms=%.0f left_ms=%.0f spent_ms=%.0f '
        'turn_ms=%.0f behind=%d workspace=%s',
        call.request_id,
        call.service,
        outcome,
        call.route,
        (now - began_at) * 1e3,
        (call.caller_deadline - began_at) * 1e3,
        call.spent * 1e3,
        turn_seconds * 1e3,
        behind,
        call.workspace or '-',
    )
