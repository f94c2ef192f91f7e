"""Read declared settings and report every mistake at once."""

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
    """One setting: its flag, variable, default, conversion and help."""

    flag: str
    default: str
    convert: Callable[[str], Any]
    help: str
    group: str
    secret: bool = False

    @property
    def name(self) -> str:
        """Return the flag without its dashes."""
        return self.flag.removeprefix('--')

    @property
    def field(self) -> str:
        """Return the attribute that holds the value."""
        return self.name.replace('-', '_')

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return VARIABLE_PREFIX + self.field.upper()

    @property
    def range_text(self) -> str:
        """Return what the value must be, or an empty text."""
        return getattr(self.convert, 'text', '')

    @property
    def sentences(self) -> str:
        """Return the help: meaning, range, default and variable."""
        parts = [self.help]
        if self.range_text:
            parts.append(f'Must be {self.range_text}.')
        if self.default:
            parts.append(f'Default: {self.default}.')
        parts.append(f'Variable: {self.variable}.')
        return ' '.join(parts)

    def file_option(self) -> 'Option':
        """Return the option that names a file which holds a secret."""
        return Option(
            self.flag + FILE_SUFFIX,
            '',
            str,
            f'File that holds the value of {self.flag}, hidden from the process list.',
            self.group,
        )


@frozen
class SettingsError:
    """Every mistake found in flags and variables, one sentence each."""

    mistakes: tuple[str, ...]


class Conversion(ABC):
    """Convert the text of a setting and check its range."""

    @property
    @abstractmethod
    def text(self) -> str:
        """Return what the value must be, for help and errors."""

    @abstractmethod
    def __call__(self, text: str) -> Any:
        """Convert a text; raise ValueError when it is wrong."""


@frozen
class NumberConversion(Conversion):
    """Convert to a number within a range."""

    low: float
    high: float
    unit: str
    kind: type[int] | type[float] = float

    @property
    def text(self) -> str:
        """Return what the value must be, for help and errors."""
        word = 'a whole number ' if self.kind is int else ''
        return f'{word}from {shown(self.low)} to {shown(self.high)} {self.unit}'

    def __call__(self, text: str) -> float:
        """Convert a text; raise ValueError when it is wrong."""
        value = self.kind(text)
        if not self.low <= value <= self.high:
            raise ValueError(text)
        return value


@frozen
class WordConversion(Conversion):
    """Accept only some words."""

    choices: tuple[str, ...]

    @property
    def text(self) -> str:
        """Return what the value must be, for help and errors."""
        return 'one of ' + ', '.join(self.choices)

    def __call__(self, text: str) -> str:
        """Convert a text; raise ValueError when it is wrong."""
        if text not in self.choices:
            raise ValueError(text)
        return text


def shown(value: float) -> str:
    """Return a number without needless zeros or powers."""
    return str(int(value)) if value == int(value) else str(value)


def number(low: float, high: float, unit: str) -> NumberConversion:
    """Return a conversion to a number within a range."""
    return NumberConversion(low, high, unit)


def whole_number(low: int, high: int, unit: str) -> NumberConversion:
    """Return a conversion to a whole number within a range."""
    return NumberConversion(low, high, unit, int)


def one_of(*choices: str) -> WordConversion:
    """Return a conversion that accepts only the given words."""
    return WordConversion(choices)


def words(text: str) -> tuple[str, ...]:
    """Split a comma-separated list."""
    return tuple(word.strip() for word in text.split(',') if word.strip())


def with_secret_files(options: Sequence[Option]) -> tuple[Option, ...]:
    """Return the options and, after each secret, the one that names its file."""
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
    """Convert all values, flags before variables before files before defaults."""
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
    """Return the text of a setting; raise OSError when its file cannot be read."""
    text = given_text(option, flags, variables)
    if text is None and option.secret:
        path = given_text(option.file_option(), flags, variables)
        text = Path(path).read_text().strip() if path else None
    return option.default if text is None else text


def given_text(
    option: Option, flags: Mapping[str, str | None], variables: Mapping[str, str]
) -> str | None:
    """Return the text from a flag or else a variable, None when neither is given."""
    text = flags.get(option.field)
    return variables.get(option.variable) if text is None else text


def describe_mistake(
    option: Option,
    flags: Mapping[str, str | None],
    variables: Mapping[str, str],
    error: Exception,
) -> str:
    """Return a sentence that says what is wrong and what is right."""
    place = f'{option.flag} ({option.variable})'
    if isinstance(error, OSError):
        file_option = option.file_option()
        reason = error.strerror or type(error).__name__
        return f'{file_option.flag} ({file_option.variable}): {reason}.'
    text = find_text(option, flags, variables)
    if not text:
        return f'{place} is missing. {option.help}'
    value = 'the value' if option.secret else repr(text)
    if option.range_text:
        return f'{place}: {value} is wrong; it must be {option.range_text}.'
    return f'{place}: {value} is wrong: {error}.'
