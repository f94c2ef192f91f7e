"""Decoder of the store's answers in which a value that cannot be decoded spoils little.

Any writer may put values into the store that a decoder of JSON rejects: halves of
surrogate pairs, bytes that are no UTF-8, deep nesting, numbers of any length. A sound
answer is decoded at once. Any other is split into its objects without decoding them, so
that each is decoded by itself and the others hold.
"""

import json
import re
from collections.abc import Callable, Iterator
from typing import Any

import orjson
from attrs import frozen

#: No value of the platform is nested nearly as deep, and the recursion limits of
#: interpreters are higher.
MAX_DEPTH = 100
OPENING, CLOSING = (b'[', b'{'), (b']', b'}')
TEXT = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
#: Anything but brackets, then a run of these; a quotation mark has no end.
BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|' + TEXT + rb')*+([\[{]++|[\]}]++|"|\Z)', re.DOTALL
)
#: A text, a number, a literal, or anything else outside lists and objects.
SCALAR = re.compile(TEXT + rb'|[^\s,:\[\]{}"]++', re.DOTALL)
SEPARATORS = re.compile(rb'[\s,:]*+')


@frozen
class UndecodableObject:
    """An object of the store that cannot be decoded, and its name if that can be."""

    name: str
    error: str


def load_answer(text: bytes) -> Any:
    """Decode an answer of the store; raise ValueError if it is not even well-formed.

    Objects that cannot be decoded are replaced by an UndecodableObject.
    """
    try:
        return load_json(text)
    except ValueError:
        return load_parts(text)


def load_parts(text: bytes) -> Any:
    """Decode a listing, changes or a single object, each object by itself."""
    text_by_key = dict(split_object(text))
    if not text_by_key.keys() & LOADER_BY_KEY.keys():
        return load_object(text)
    return {
        key: LOADER_BY_KEY.get(key, load_json)(value)
        for key, value in text_by_key.items()
    }


def load_items(text: bytes) -> list[Any]:
    """Decode the objects of a listing."""
    return [load_object(each) for each in split(text)]


def load_events(text: bytes) -> list[dict[str, Any]]:
    """Decode the events of an answer to a watch."""
    return [load_event(each) for each in split(text)]


def load_event(text: bytes) -> dict[str, Any]:
    """Decode an event, whose object may be undecodable."""
    return {
        key: load_object(value) if key == 'object' else load_json(value)
        for key, value in split_object(text)
    }


LOADER_BY_KEY: dict[str, Callable[[bytes], Any]] = {
    'items': load_items,
    'events': load_events,
}


def load_object(text: bytes) -> Any:
    """Decode an object of the store."""
    try:
        return load_json(text)
    except ValueError as error:
        return UndecodableObject(load_name(text), str(error))


def load_name(text: bytes) -> str:
    """Return the name in the metadata of an object; an empty text without one."""
    try:
        name = load_json(find_value(find_value(text, 'metadata'), 'name'))
    except ValueError:
        return ''
    return name if isinstance(name, str) else ''


def load_json(text: bytes) -> Any:
    """Decode JSON that any writer may have made; raise ValueError if it is none.

    Bytes that are no UTF-8 become halves of surrogate pairs, which no sound text has;
    NaN and infinity become floats, and control characters in texts are kept.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError:
        check_depth(text)
        return json.loads(text.decode(errors='surrogateescape'), strict=False)


def check_depth(text: bytes) -> None:
    """Raise ValueError if lists and objects are nested deeper than MAX_DEPTH."""
    depth = 0
    for match in BRACKETS.finditer(text):
        depth += depth_change(match[1])
        if depth > MAX_DEPTH:
            raise ValueError(f'lists and objects are nested deeper than {MAX_DEPTH}')


def depth_change(run: bytes) -> int:
    """Return by how much a run of brackets changes the depth."""
    if run.startswith(OPENING):
        return len(run)
    return -len(run) if run.startswith(CLOSING) else 0


def find_value(text: bytes, wanted: str) -> bytes:
    """Return the text of the value of a key; raise ValueError if there is none."""
    for key, value in split_object(text):
        if key == wanted:
            return value
    raise ValueError(f'there is no {wanted}')


def split_object(text: bytes) -> Iterator[tuple[str, bytes]]:
    """Yield the keys of an object with the texts of their values."""
    parts = split(text, b'{')
    for key in parts:
        yield str(load_json(key)), next(parts, b'')


def split(text: bytes, opening: bytes = b'[') -> Iterator[bytes]:
    """Yield the texts in a list, or those of keys and values in an object.

    Raises ValueError if the text is not a list or an object.
    """
    position = SEPARATORS.match(text).end()
    if text[position : position + 1] != opening:
        raise ValueError(f'{opening.decode()} expected at byte {position}')
    position = SEPARATORS.match(text, position + 1).end()
    while not text.startswith(CLOSING, position):
        end = end_of_value(text, position)
        yield text[position:end]
        position = SEPARATORS.match(text, end).end()


def end_of_value(text: bytes, start: int) -> int:
    """Return the position after the value that starts at a position."""
    if scalar := SCALAR.match(text, start):
        return scalar.end()
    depth = 0
    for match in BRACKETS.finditer(text, start):
        change = depth_change(match[1])
        if not change:
            break
        if depth + change <= 0:
            return match.start(1) + depth
        depth += change
    raise ValueError(f'the value at byte {start} has no end')
