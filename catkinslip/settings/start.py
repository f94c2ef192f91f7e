"""Reading of all daemon settings at its start, and the help of the daemon."""

from collections.abc import Mapping, Sequence

from cleo.helpers import option
from returns.result import Failure, Result, Success

from catkinslip.settings.base import (
    VARIABLE_PREFIX,
    Option,
    SettingsError,
    read_values,
    with_secret_files,
)
from catkinslip.settings.daemon import DaemonSettings, check_combinations
from catkinslip.settings.daemon_options import OPTIONS
from catkinslip.settings.flags import ParsedFlags, parse_flags

PROGRAM = 'catkinslipd'
DESCRIPTION = 'Balance the load of backend servers; one process per instance.'
SWITCHES = (
    option('check', None, 'Check all settings, print every mistake and end.'),
    option('help', 'h', 'Show this help.'),
    option('version', 'V', 'Show the version.'),
)
EXAMPLES = (
    'catkinslipd --instance-id entry-1 --zone zone-a',
    'CATKINSLIP_ZONE=zone-a catkinslipd --instance-id entry-1 --check',
)


def parse_daemon_flags(arguments: Sequence[str]) -> ParsedFlags:
    """Parse the daemon's flags."""
    return parse_flags(arguments, with_secret_files(OPTIONS), SWITCHES)


def read_daemon_settings(
    flags: ParsedFlags, variables: Mapping[str, str]
) -> Result[DaemonSettings, SettingsError]:
    """Read the daemon's settings and check each value and their combinations."""
    options = with_secret_files(OPTIONS)
    mistakes = list(flags.mistakes)
    match read_values(options, flags.text_by_field, variables):
        case Failure(error):
            return Failure(SettingsError((*mistakes, *error.mistakes)))
        case Success(value_by_field):
            fields = {each.field: value_by_field[each.field] for each in OPTIONS}
            settings = DaemonSettings(**fields)
            mistakes.extend(check_combinations(settings))
    return Failure(SettingsError(tuple(mistakes))) if mistakes else Success(settings)


def unknown_variables(
    variables: Mapping[str, str], known: Sequence[Option]
) -> list[str]:
    """Return sorted names of `CATKINSLIP_` variables that no option reads."""
    names = {each.variable for each in known}
    return sorted(
        name
        for name in variables
        if name.startswith(VARIABLE_PREFIX) and name not in names
    )


def daemon_help() -> str:
    """Return the help of the daemon: flags by group, switches and examples."""
    lines = [f'Usage: {PROGRAM} [flags]', '', DESCRIPTION]
    group = None
    for each in with_secret_files(OPTIONS):
        if each.group != group:
            group = each.group
            lines.extend(('', f'{group}:'))
        lines.extend((f'  {each.flag}=VALUE', f'      {each.full_help}'))
    lines.extend(('', 'General:'))
    for switch in SWITCHES:
        lines.extend((f'  --{switch.name}', f'      {switch.description}'))
    lines.extend(('', 'Examples:', *(f'  {line}' for line in EXAMPLES)))
    return '\n'.join(lines)
