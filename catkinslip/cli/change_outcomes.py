"""Descriptions of the outcome of a change, as sentences and as plain data."""

from catkinslip.config.changes import (
    ChangeAccepted,
    ChangeConflict,
    ChangeNotMade,
    ChangeOutcome,
    ChangeUnknown,
)
from catkinslip.config.history import Change
from catkinslip.status import ExitStatus


def describe_outcome(outcome: ChangeOutcome) -> tuple[str, ExitStatus, str, dict]:
    """Return the name, exit status, sentence and plain data of a change outcome."""
    match outcome:
        case ChangeAccepted(config):
            message = (
                f'Accepted as version {config.version}, change {config.change_id}.'
            )
            extra = {'version': str(config.version), 'change_id': config.change_id}
            return 'accepted', ExitStatus.SUCCESS, message, extra
        case ChangeConflict(winner):
            extra = {'winner': winner_data(winner)}
            message = f'Not changed: {winner_text(winner)} came first.'
            return 'conflict', ExitStatus.CONFLICT, message, extra
        case ChangeNotMade(reason):
            message = f'Not changed: {reason}.'
            return 'not made', ExitStatus.UNREACHABLE, message, {'reason': reason}
        case ChangeUnknown(change_id, reason):
            message = (
                f'Unknown whether change {change_id} was accepted: {reason}. '
                f'Check later with: catkinslip changes --change {change_id}'
            )
            extra = {'change_id': change_id, 'reason': reason}
            return 'unknown', ExitStatus.UNKNOWN, message, extra


def winner_data(winner: Change | None) -> dict | None:
    """Return the change that was accepted first as plain data, if it is known."""
    if winner is None:
        return None
    return {
        'version': str(winner.version),
        'change_id': winner.change_id,
        'author': winner.author,
    }


def winner_text(winner: Change | None) -> str:
    """Return the change that was accepted first as the subject of a sentence."""
    if winner is None:
        return 'another change, which could not be read,'
    return f'version {winner.version} by {winner.author}, change {winner.change_id},'
