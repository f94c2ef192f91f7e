"""The help of a command, built from its definition."""

from collections.abc import Iterable, Sequence

from cleo.commands.help_command import HelpCommand as CleoHelpCommand

from catkinslip.cli.base import BaseCommand
from catkinslip.cli.definition import CommandDefinition
from catkinslip.cli.output import Printer
from catkinslip.settings.base import Option, with_secret_files
from catkinslip.status import ExitStatus

COMMON_STATUSES = (ExitStatus.SUCCESS, ExitStatus.ERROR, ExitStatus.USAGE)
GENERAL = 'General'


class HelpCommand(CleoHelpCommand):
    """Print the help of a command, or the list of commands."""

    description = 'Show the help of a command.'

    def handle(self) -> int:
        """Print the help of the named command and return the exit status."""
        if self._command is None:
            self._command = self.application.find(self.argument('command_name'))
        if not isinstance(self._command, BaseCommand):
            return super().handle()
        Printer(self.io).line(help_text(self._command.command_definition))
        self._command = None
        return int(ExitStatus.SUCCESS)


def help_text(definition: CommandDefinition) -> str:
    """Return the help of a command: usage, flags, examples and exit statuses."""
    parts = [usage(definition), definition.help]
    if definition.arguments:
        parts.append(section('Arguments', argument_lines(definition)))
    for group, options in group_options(with_secret_files(definition.settings)).items():
        lines = (f'--{each.name}=VALUE\n      {each.full_help}' for each in options)
        parts.append(section(group, lines))
    parts.append(section(GENERAL, switch_lines(definition)))
    if definition.examples:
        lines = (f'# {each.meaning}\n  {each.line}' for each in definition.examples)
        parts.append(section('Examples', lines))
    statuses = sorted({*COMMON_STATUSES, *definition.statuses})
    lines = (f'{status.value}  {status.meaning}' for status in statuses)
    parts.append(section('Exit statuses', lines))
    return '\n\n'.join(parts)


def usage(definition: CommandDefinition) -> str:
    """Return the usage line of a command."""
    parts = ['catkinslip', definition.name]
    for each in definition.arguments:
        name = f'<{each.name}>'
        parts.append(name if each.is_required() else f'[{name}]')
    return 'Usage: ' + ' '.join((*parts, '[flags]'))


def argument_lines(definition: CommandDefinition) -> list[str]:
    """Return the name and the description of each argument of a command."""
    return [f'<{each.name}>\n      {each.description}' for each in definition.arguments]


def switch_lines(definition: CommandDefinition) -> list[str]:
    """Return the name and the description of each flag without a variable."""
    lines = []
    for each in definition.switches:
        value = '=VALUE' if each.accepts_value() else ''
        lines.append(f'--{each.name}{value}\n      {each.description}')
    lines.append('--quiet, -q\n      Print errors only.')
    lines.append('--help, -h\n      Show this help.')
    return lines


def section(title: str, lines: Iterable[str]) -> str:
    """Return a section of the help with its title and indented lines."""
    return '\n'.join((f'{title}:', *(f'  {line}' for line in lines)))


def group_options(options: Sequence[Option]) -> dict[str, list[Option]]:
    """Return options by group, in the order of their declaration."""
    options_by_group: dict[str, list[Option]] = {}
    for option in options:
        options_by_group.setdefault(option.group, []).append(option)
    return options_by_group
