"""Log lines about limits that change and workspaces whose requests are refused.

Load: thousands of workspaces change or exceed their limits at once; the number of lines
is limited, and one more line counts the rest.
"""

import logging

from catkinslip.config.documents import Workspace
from catkinslip.quotas.holders import Stock

#: Maximum number of lines for one change or one interval between two reports.
MAX_LINES = 20

log = logging.getLogger('quotas')


def log_refusals(stock_by_name: dict[str, Stock], now: float) -> None:
    """Write a line for each workspace with refusals since the last lines."""
    refused = [(name, stock) for name, stock in stock_by_name.items() if stock.unlogged]
    refused.sort(key=lambda each: -each[1].unlogged)
    for name, stock in refused[:MAX_LINES]:
        log_refused_workspace(name, stock, now)
    others = refused[MAX_LINES:]
    if others:
        log.info(
            'quotas: requests of others refused. workspaces=%d count=%d',
            len(others),
            sum(stock.unlogged for _, stock in others),
        )
    for _, stock in refused:
        stock.unlogged = 0


def log_refused_workspace(name: str, stock: Stock, now: float) -> None:
    """Write the number of refusals of one workspace and what they were based on."""
    usage = stock.usage
    log.info(
        'quotas: requests refused. workspace=%s count=%d limit=%s in_use=%s '
        'usage_age_s=%s retry_s=%.3f',
        name,
        stock.unlogged,
        stock.limit and stock.limit.requests_per_second,
        usage and round(usage.per_second, 1),
        usage and round(now - stock.usage_at, 1),
        max(0.0, stock.refused_until - now),
    )


def log_changes(
    before: dict[str, Workspace], after: dict[str, Workspace], version: object
) -> None:
    """Log the limits that come into force, in at most MAX_LINES lines."""
    changed = [
        name
        for name in sorted(before.keys() | after.keys())
        if limits_of(before.get(name)) != limits_of(after.get(name))
    ]
    for name in changed[:MAX_LINES]:
        log.info(
            'quotas: limit in force. workspace=%s limit=%s was=%s version=%s',
            name,
            limits_of(after.get(name)),
            limits_of(before.get(name)),
            version,
        )
    if len(changed) > MAX_LINES:
        log.info(
            'quotas: more limits in force. workspaces=%d version=%s',
            len(changed) - MAX_LINES,
            version,
        )


def limits_of(workspace: Workspace | None) -> tuple[float, float] | None:
    """Return the rate and burst of a workspace; None if there is none."""
    if workspace is None:
        return None
    return workspace.requests_per_second, workspace.burst
