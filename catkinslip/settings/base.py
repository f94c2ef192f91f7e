"""Read declared settings and report every mistake at once."""

import argparse
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success


@frozen
class Option:
    """One setting: its flag, variable, default, conversion and help."""

    flag: str
    default: str
    convert: Callable[[str], Any]
    help: str
    group: str
    secret: bool = False

    @property
    def field(self) -> str:
        """Return the attribute that holds the value."""
        return self.flag.removeprefix('--').replace('-', '_')

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return 'CATKINSLIP_' + self.field.upper()


@frozen
class SettingsError:
    """Every mistake found in flags and variables, one sentence each."""

    mistakes: tuple[str, ...]


def number(low: float, high: float, unit: str) -> Callable[[str], float]:
    """Return a conversion to a number within a range."""

    def convert(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError(f'must be from {low:g} to {high:g} {unit}')
        return value

    return convert


def whole_number(low: int, high: int, unit: str) -> Callable[[str], int]:
    """Return a conversion to a whole number within a range."""

    def convert(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f'must be from {low} to {high} {unit}')
        return value

    return convert


def one_of(*choices: str) -> Callable[[str], str]:
    """Return a conversion that accepts only the given words."""

    def convert(text: str) -> str:
        if text not in choices:
            raise ValueError('must be one of ' + ', '.join(choices))
        return text

    return convert


def words(text: str) -> tuple[str, ...]:
    """Split a comma-separated list."""
    return tuple(word.strip() for word in text.split(',') if word.strip())


def build_parser(
    program: str, description: str, options: Sequence[Option]
) -> argparse.ArgumentParser:
    """Return a parser with one group of flags per group of options."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    group_by_title: dict[str, Any] = {}
    for option in options:
        group = group_by_title.get(option.group)
        if group is None:
            group = parser.add_argument_group(option.group)
            group_by_title[option.group] = group
        text = f'{option.help} Variable: {option.variable}.'
        if option.default:
            text += f' Default: {option.default}.'
        group.add_argument(option.flag, help=text.replace('%', '%%'))
    return parser


def read_values(
    options: Sequence[Option],
    flags: Mapping[str, str | None],
    variables: Mapping[str, str],
) -> Result[dict[str, Any], SettingsError]:
    """Convert all values, flags before variables before defaults."""
    value_by_field: dict[str, Any] = {}
    mistakes = []
    for option in options:
        text = flags.get(option.field)
        if text is None:
            text = variables.get(option.variable, option.default)
        try:
            value_by_field[option.field] = option.convert(text)
        except ValueError as error:
            shown = 'the value' if option.secret else repr(text)
            mistakes.append(
                f'{option.flag} ({option.variable}): {shown} is wrong: {error}.'
            )
    if mistakes:
        return Failure(SettingsError(tuple(mistakes)))
    return Success(value_by_field)
