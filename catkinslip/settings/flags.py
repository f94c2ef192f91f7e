"""Parsing of command-line flags with cleo."""

from collections.abc import Sequence
from difflib import get_close_matches

from attrs import Factory, define, frozen
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.definition import Definition
from cleo.io.inputs.option import Option as CleoOption

from catkinslip.settings.base import Option


@frozen
class ParsedFlags:
    """Texts of the parsed flags, and a sentence for each invalid argument."""

    text_by_field: dict[str, str | None]
    switches: frozenset[str]
    mistakes: tuple[str, ...]


def cleo_option(option: Option) -> CleoOption:
    """Return the cleo option for the flag of a setting."""
    return CleoOption(option.name, None, flag=False, description=option.full_help)


def parse_flags(
    arguments: Sequence[str], options: Sequence[Option], switches: Sequence[CleoOption]
) -> ParsedFlags:
    """Parse flags; omit invalid arguments and describe them as mistakes."""
    definition = Definition([*map(cleo_option, options), *switches])
    checker = FlagChecker(definition)
    checker.check(list(arguments))
    parsed = ArgvInput(['', *checker.accepted])
    parsed.bind(definition)
    given = parsed.options
    return ParsedFlags(
        {each.field: given.get(each.name) for each in options},
        frozenset(each.name for each in switches if given.get(each.name)),
        tuple(checker.mistakes),
    )


@define
class FlagChecker:
    """Checker that finds every invalid argument; cleo stops at the first."""

    definition: Definition
    accepted: list[str] = Factory(list)
    mistakes: list[str] = Factory(list)

    def check(self, arguments: list[str]) -> None:
        """Collect mistakes and the arguments that cleo can parse; empty the list."""
        while arguments:
            argument = arguments.pop(0)
            flag, equals, _ = argument.partition('=')
            if not argument.startswith('-'):
                self.mistakes.append(f'{argument!r} is not preceded by a flag.')
                continue
            takes_value = self._takes_value(flag)
            value = []
            if takes_value is not False and not equals:
                value = pop_value(arguments)
            if takes_value is None:
                self.mistakes.append(self._describe_unknown(flag))
            elif takes_value and not equals and not value:
                self.mistakes.append(f'{flag} needs a value.')
            elif not takes_value and equals:
                self.mistakes.append(f'{flag} takes no value.')
            else:
                self.accepted.extend((argument, *value))

    def _takes_value(self, flag: str) -> bool | None:
        """Return whether a flag takes a value, or None if there is no such flag."""
        name = flag.removeprefix('--')
        if flag.startswith('--') and self.definition.has_option(name):
            return self.definition.option(name).accepts_value()
        if not flag.startswith('--') and self.definition.has_shortcut(flag[1:]):
            return self.definition.option_for_shortcut(flag[1:]).accepts_value()
        return None

    def _describe_unknown(self, flag: str) -> str:
        names = [each.name for each in self.definition.options]
        matches = get_close_matches(flag.lstrip('-'), names, 1)
        hint = (
            f'Did you mean --{matches[0]}?' if matches else 'See --help for all flags.'
        )
        return f'{flag} is not a flag. {hint}'


def pop_value(arguments: list[str]) -> list[str]:
    """Remove the next argument from a list and return it if it is a value."""
    if arguments and not arguments[0].startswith('-'):
        return [arguments.pop(0)]
    return []
