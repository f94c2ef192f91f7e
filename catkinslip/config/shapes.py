"""Checks of plain data against attrs classes, with the location of every mistake."""

import types
from collections.abc import Iterator
from enum import Enum
from math import isfinite
from typing import Any, Union, get_args, get_origin

import attrs
from attrs import frozen

from catkinslip.config.documents import Range

#: Description of each type in mistakes.
DESCRIPTION_BY_TYPE = {
    str: 'text',
    int: 'a whole number',
    float: 'a number',
    bool: 'true or false',
    dict: 'a map',
    tuple: 'a list',
    type(None): 'null',
}


@frozen
class DocumentMistake:
    """A mistake in a document: its location, such as `rules.routes.a`, and a reason."""

    place: str
    reason: str


def check_shape(
    plain: Any, expected: Any, location: str, *, is_secret: bool = False
) -> Iterator[DocumentMistake]:
    """Yield each mistake in plain data that does not have the expected type.

    With `is_secret`, values of a wrong type are not shown, as they may be API keys.
    """
    origin = get_origin(expected)
    if origin in (Union, types.UnionType):
        choices = [each for each in get_args(expected) if each is not type(None)]
        if plain is not None:
            yield from check_shape(plain, choices[0], location, is_secret=is_secret)
    elif attrs.has(expected):
        yield from check_fields(plain, expected, location, is_secret=is_secret)
    elif origin is dict:
        inner = get_args(expected)[1]
        yield from check_map(plain, inner, location, is_secret=is_secret)
    elif origin is tuple:
        inner = get_args(expected)[0]
        yield from check_list(plain, inner, location, is_secret=is_secret)
    elif not is_scalar(plain, expected):
        yield wrong_type(plain, expected, location, is_secret=is_secret)


def check_fields(
    plain: Any, expected: type, location: str, *, is_secret: bool = False
) -> Iterator[DocumentMistake]:
    """Yield the mistakes in a map that holds the fields of a class."""
    if not isinstance(plain, dict):
        yield wrong_type(plain, dict, location, is_secret=is_secret)
        return
    attribute_by_name = attrs.fields_dict(attrs.resolve_types(expected))
    for name in plain:
        if name not in attribute_by_name:
            field_names = ', '.join(attribute_by_name)
            yield DocumentMistake(
                join(location, name), f'unknown field; allowed: {field_names}'
            )
    for name, attribute in attribute_by_name.items():
        inner = join(location, name)
        if name in plain:
            hides = is_secret or attribute.metadata.get('secret', False)
            mistakes = list(
                check_shape(plain[name], attribute.type, inner, is_secret=hides)
            )
            allowed = attribute.metadata.get('range')
            yield from mistakes or check_range(plain[name], allowed, inner)
        elif attribute.default is attrs.NOTHING:
            yield DocumentMistake(inner, 'is missing')


def check_map(
    plain: Any, inner: Any, location: str, *, is_secret: bool = False
) -> Iterator[DocumentMistake]:
    """Yield the mistakes in a map whose values have one type."""
    if not isinstance(plain, dict):
        yield wrong_type(plain, dict, location, is_secret=is_secret)
        return
    for key, value in plain.items():
        yield from check_shape(value, inner, join(location, key), is_secret=is_secret)


def check_list(
    plain: Any, inner: Any, location: str, *, is_secret: bool = False
) -> Iterator[DocumentMistake]:
    """Yield the mistakes in a list whose values have one type."""
    if not isinstance(plain, list | tuple):
        yield wrong_type(plain, tuple, location, is_secret=is_secret)
        return
    for index, value in enumerate(plain):
        place = f'{location}[{index}]'
        yield from check_shape(value, inner, place, is_secret=is_secret)


def check_range(
    value: Any, allowed: Range | None, location: str
) -> Iterator[DocumentMistake]:
    """Yield a mistake if a number is outside its allowed range."""
    if allowed is None or value is None or allowed.low <= value <= allowed.high:
        return
    bounds = f'from {allowed.low:g} to {allowed.high:g} {allowed.unit}'
    yield DocumentMistake(location, f'{value!r} is not {bounds}')


def is_scalar(plain: Any, expected: type) -> bool:
    """Return whether a value has a scalar type without conversion."""
    if expected is float:
        is_number = isinstance(plain, int | float) and not isinstance(plain, bool)
        return is_number and isfinite(plain)
    if expected is int:
        return isinstance(plain, int) and not isinstance(plain, bool)
    if issubclass(expected, Enum):
        return plain in [each.value for each in expected]
    return isinstance(plain, expected)


def wrong_type(
    plain: Any, expected: type, location: str, *, is_secret: bool = False
) -> DocumentMistake:
    """Return the mistake for a value of the wrong type."""
    is_shown = not is_secret and len(repr(plain)) <= 40
    shown = repr(plain) if is_shown else type(plain).__name__
    description = DESCRIPTION_BY_TYPE.get(expected, expected.__name__)
    if issubclass(expected, Enum):
        description = 'one of ' + ', '.join(repr(each.value) for each in expected)
    return DocumentMistake(location, f'{shown} is not {description}')


def join(location: str, name: object) -> str:
    """Return the location of a field or key within another location."""
    return f'{location}.{name}' if location else str(name)
