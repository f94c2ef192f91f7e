"""Declaration and reading of settings; all mistakes are reported together."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success

VARIABLE_PREFIX = 'CATKINSLIP_'
FILE_SUFFIX = '-file'


@frozen
class Option:
    """Declaration of one setting: flag, default, conversion, help and group."""

    flag: str
    default: str
    convert: Callable[[str], Any]
    help: str
    group: str
    secret: bool = False

    @property
    def name(self) -> str:
        """Return the flag without its leading dashes."""
        return self.flag.removeprefix('--')

    @property
    def field(self) -> str:
        """Return the name of the field that holds the value of the setting."""
        return self.name.replace('-', '_')

    @property
    def variable(self) -> str:
        """Return the name of the environment variable of the setting."""
        return VARIABLE_PREFIX + self.field.upper()

    @property
    def range_text(self) -> str:
        """Return a phrase for the allowed values, or an empty text for any value."""
        return getattr(self.convert, 'text', '')

    @property
    def full_help(self) -> str:
        """Return the help of the setting with its range, default and variable."""
        parts = [self.help]
        if self.range_text:
            parts.append(f'Must be {self.range_text}.')
        if self.default:
            parts.append(f'Default: {self.default}.')
        parts.append(f'Variable: {self.variable}.')
        return ' '.join(parts)

    def file_option(self) -> 'Option':
        """Return the option for a file that contains the value of this option."""
        return Option(
            self.flag + FILE_SUFFIX,
            '',
            str,
            f'File that holds the value of {self.flag}, hidden from the process list.',
            self.group,
        )


@frozen
class SettingsError:
    """Every mistake found in flags and variables, as one sentence each."""

    mistakes: tuple[str, ...]


class Conversion(ABC):
    """Conversion of the text of a setting, with a check of its range."""

    @property
    @abstractmethod
    def text(self) -> str:
        """Return a phrase for the allowed values, used in help and errors."""

    @abstractmethod
    def __call__(self, text: str) -> Any:
        """Convert the text of a setting; raise ValueError if it is not allowed."""


@frozen
class NumberConversion(Conversion):
    """Conversion to a number within a range, both limits included."""

    low: float
    high: float
    unit: str
    number_type: type[int] | type[float] = float

    @property
    def text(self) -> str:
        """Return a phrase for the allowed values, used in help and errors."""
        prefix = 'a whole number ' if self.number_type is int else ''
        return (
            f'{prefix}from {number_text(self.low)} to '
            f'{number_text(self.high)} {self.unit}'
        )

    def __call__(self, text: str) -> float:
        """Convert the text of a setting; raise ValueError if it is not allowed."""
        value = self.number_type(text)
        if not self.low <= value <= self.high:
            raise ValueError(text)
        return value


@frozen
class ChoiceConversion(Conversion):
    """Conversion that accepts one of several choices."""

    choices: tuple[str, ...]

    @property
    def text(self) -> str:
        """Return a phrase for the allowed values, used in help and errors."""
        return 'one of ' + ', '.join(self.choices)

    def __call__(self, text: str) -> str:
        """Convert the text of a setting; raise ValueError if it is not allowed."""
        if text not in self.choices:
            raise ValueError(text)
        return text


def number_text(value: float) -> str:
    """Return a number as text, without a fraction if it is whole."""
    return str(int(value)) if value == int(value) else str(value)


def number(low: float, high: float, unit: str) -> NumberConversion:
    """Return a conversion to a number within a range."""
    return NumberConversion(low, high, unit)


def whole_number(low: int, high: int, unit: str) -> NumberConversion:
    """Return a conversion to a whole number within a range."""
    return NumberConversion(low, high, unit, int)


def one_of(*choices: str) -> ChoiceConversion:
    """Return a conversion that accepts only the given choices."""
    return ChoiceConversion(choices)


def split_list(text: str) -> tuple[str, ...]:
    """Split a comma-separated list into its items, without empty ones."""
    return tuple(item.strip() for item in text.split(',') if item.strip())


def with_secret_files(options: Sequence[Option]) -> tuple[Option, ...]:
    """Return options with, after each secret, the option for its file."""
    found: list[Option] = []
    for option in options:
        found.append(option)
        if option.secret:
            found.append(option.file_option())
    return tuple(found)


def read_values(
    options: Sequence[Option],
    flags: Mapping[str, str | None],
    variables: Mapping[str, str],
) -> Result[dict[str, Any], SettingsError]:
    """Read and convert settings from flags, variables, files and defaults.

    An earlier source in this order overrides a later one.
    """
    value_by_field: dict[str, Any] = {}
    mistakes = []
    for option in options:
        try:
            text = find_text(option, flags, variables)
            value_by_field[option.field] = option.convert(text)
        except (ValueError, OSError) as error:
            mistakes.append(describe_mistake(option, flags, variables, error))
    if mistakes:
        return Failure(SettingsError(tuple(mistakes)))
    return Success(value_by_field)


def find_text(
    option: Option, flags: Mapping[str, str | None], variables: Mapping[str, str]
) -> str:
    """Return the text of a setting; raise OSError if its file cannot be read."""
    text = given_text(option, flags, variables)
    if text is None and option.secret:
        path = given_text(option.file_option(), flags, variables)
        text = Path(path).read_text().strip() if path else None
    return option.default if text is None else text


def given_text(
    option: Option, flags: Mapping[str, str | None], variables: Mapping[str, str]
) -> str | None:
    """Return the text of a setting from its flag or variable, None without both."""
    text = flags.get(option.field)
    return variables.get(option.variable) if text is None else text


def describe_mistake(
    option: Option,
    flags: Mapping[str, str | None],
    variables: Mapping[str, str],
    error: Exception,
) -> str:
    """Return a sentence with the setting, its value and the allowed values."""
    setting = f'{option.flag} ({option.variable})'
    if isinstance(error, OSError):
        file_option = option.file_option()
        reason = error.strerror or type(error).__name__
        return f'{file_option.flag} ({file_option.variable}): {reason}.'
    text = find_text(option, flags, variables)
    if not text:
        return f'{setting} is missing. {option.help}'
    value = 'the value' if option.secret else repr(text)
    if option.range_text:
        return f'{setting}: {value} is wrong; it must be {option.range_text}.'
    return f'{setting}: {value} is wrong: {error}.'
