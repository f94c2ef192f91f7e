"""Checks of a configuration document before it is accepted."""

import json
import re
from collections.abc import Callable, Iterator
from ipaddress import ip_address
from typing import Any

from attrs import frozen
from returns.result import Failure, Result, Success

from catkinslip.config.documents import Document, canonical_json, converter, to_plain
from catkinslip.config.shapes import DocumentMistake, check_shape

#: Maximum size of a document as JSON, in bytes. The platform stores values of up to
#: a megabyte, and a snapshot adds a few fields to the document.
MAX_DOCUMENT_BYTES = 980_000
MAX_NAME_CHARACTERS = 128
NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')
HEALTH_PATH = re.compile(r'/[!-~]*')
#: A space would make it look like a fingerprint, which operators see in its place.
API_KEY = re.compile(r'[!-~]{1,256}')
API_KEY_REASON = 'a key has 1 to 256 visible ASCII characters and no spaces'
METHOD = re.compile(r'[A-Z][A-Z0-9-]*')
NAME_REASON = (
    f'a name has 1 to {MAX_NAME_CHARACTERS} letters, digits, dots, dashes '
    'and underscores and begins with a letter or a digit'
)
ANY_SERVICE = '*'


@frozen
class DocumentRefused:
    """Refusal of a document, with all mistakes that were found."""

    mistakes: tuple[DocumentMistake, ...]


def parse_document(text: bytes) -> Result[Document, DocumentRefused]:
    """Parse a document from JSON and check it."""
    duplicates: list[str] = []

    def unique_map(pairs: list[tuple[str, Any]]) -> dict:
        value_by_key = dict(pairs)
        if len(value_by_key) < len(pairs):
            keys = [key for key, _ in pairs]
            duplicates.extend(key for key in value_by_key if keys.count(key) > 1)
        return value_by_key

    try:
        plain = json.loads(text, object_pairs_hook=unique_map)
    except (ValueError, RecursionError) as error:
        return refused(DocumentMistake('document', f'is not JSON, {error}'))
    if duplicates:
        reason = 'is a duplicate key in one map'
        return refused(*(DocumentMistake(key, reason) for key in duplicates))
    return read_document(plain)


def read_document(plain: object) -> Result[Document, DocumentRefused]:
    """Build a document from plain data and check it."""
    mistakes = list(check_shape(plain, Document, ''))
    if mistakes:
        return refused(*mistakes)
    document = converter.structure(plain, Document)
    for check in CHECKS:
        mistakes.extend(check(document))
    return refused(*mistakes) if mistakes else Success(document)


def refused(*mistakes: DocumentMistake) -> Failure[DocumentRefused]:
    """Return the refusal of a document for some mistakes.

    A mistake without a location is one of the whole document: it gets the location
    `document`.
    """
    located = (
        DocumentMistake(each.place or 'document', each.reason) for each in mistakes
    )
    return Failure(DocumentRefused(tuple(located)))


def check_names(document: Document) -> Iterator[DocumentMistake]:
    """Yield a mistake for each name that is not safe in headers, paths and logs."""
    register = document.register
    for name in register.services:
        if not is_name(name):
            yield DocumentMistake(f'register.services.{name}', NAME_REASON)
    for name, backend in register.backends.items():
        if not is_name(name):
            yield DocumentMistake(f'register.backends.{name}', NAME_REASON)
        if not is_name(backend.zone):
            yield DocumentMistake(f'register.backends.{name}.zone', NAME_REASON)


def check_addresses(document: Document) -> Iterator[DocumentMistake]:
    """Yield a mistake for each address that is invalid or used twice."""
    backend_by_address: dict[tuple[str, int], str] = {}
    for name, backend in document.register.backends.items():
        location = f'register.backends.{name}'
        try:
            number = ip_address(backend.host)
        except ValueError:
            reason = f'{backend.host!r} is not an IP address'
            yield DocumentMistake(f'{location}.host', reason)
            continue
        if number.is_unspecified or number.is_multicast:
            reason = f'{backend.host} is not the IP address of a single server'
            yield DocumentMistake(f'{location}.host', reason)
        address = (str(number), backend.port)
        first = backend_by_address.setdefault(address, name)
        if first != name:
            reason = f'{backend.host}:{backend.port} is also the address of {first}'
            yield DocumentMistake(location, reason)


def check_services(document: Document) -> Iterator[DocumentMistake]:
    """Yield a mistake for each referenced service that is not in the register."""
    services = document.register.services
    located = [
        (f'register.backends.{name}.service', backend.service)
        for name, backend in document.register.backends.items()
    ]
    located += [(f'rules.services.{name}', name) for name in document.rules.services]
    located += [
        (f'rules.requests[{index}].service', rule.service)
        for index, rule in enumerate(document.rules.requests)
        if rule.service != ANY_SERVICE
    ]
    for location, service in located:
        if service not in services:
            reason = f'service {service!r} is not in the register'
            yield DocumentMistake(location, reason)


def check_health_paths(document: Document) -> Iterator[DocumentMistake]:
    """Yield a mistake for each health path that is not a valid path of a request."""
    for name, service in document.register.services.items():
        if not HEALTH_PATH.fullmatch(service.health_path):
            reason = f'{service.health_path!r} is not a path such as /health'
            yield DocumentMistake(f'register.services.{name}.health_path', reason)


def check_requests(document: Document) -> Iterator[DocumentMistake]:
    """Yield the mistakes in the paths and methods of request rules."""
    for index, rule in enumerate(document.rules.requests):
        location = f'rules.requests[{index}]'
        if not rule.path.startswith(('/', '*')):
            reason = f'{rule.path!r} does not begin with a slash or an asterisk'
            yield DocumentMistake(f'{location}.path', reason)
        if not rule.methods:
            yield DocumentMistake(
                f'{location}.methods', 'is empty; at least one method is required'
            )
        for number, method in enumerate(rule.methods):
            if not METHOD.fullmatch(method):
                reason = f'{method!r} is not an HTTP method in capital letters'
                yield DocumentMistake(f'{location}.methods[{number}]', reason)


def check_routes(document: Document) -> Iterator[DocumentMistake]:
    """Yield the mistakes in routes, and each route with the same match as another."""
    name_by_match: dict[tuple[str, str], str] = {}
    for name, route in document.rules.routes.items():
        location = f'rules.routes.{name}'
        prefix = route.path_prefix
        if not (prefix.startswith('/') and prefix.endswith('/')):
            reason = f'{prefix!r} does not begin and end with a slash'
            yield DocumentMistake(f'{location}.path_prefix', reason)
        if not any(part.weight for part in route.parts):
            yield DocumentMistake(
                f'{location}.parts', 'no service has a weight above 0'
            )
        for index, part in enumerate(route.parts):
            if part.service not in document.register.services:
                reason = f'service {part.service!r} is not in the register'
                yield DocumentMistake(f'{location}.parts[{index}].service', reason)
        first = name_by_match.setdefault((route.host.lower(), prefix), name)
        if first != name:
            yield DocumentMistake(location, f'matches the same requests as {first}')


def check_evacuations(document: Document) -> Iterator[DocumentMistake]:
    """Yield a mistake for each evacuated zone that has no backend server."""
    zones = {backend.zone for backend in document.register.backends.values()}
    for index, zone in enumerate(document.rules.evacuated_zones):
        if zone not in zones:
            reason = f'zone {zone!r} has no backend server'
            yield DocumentMistake(f'rules.evacuated_zones[{index}]', reason)


def check_workspaces(document: Document) -> Iterator[DocumentMistake]:
    """Yield the mistakes in names and keys of workspaces, without any key."""
    place_by_key: dict[str, str] = {}
    for name, workspace in document.rules.workspaces.items():
        location = f'rules.workspaces.{name}'
        if not is_name(name):
            yield DocumentMistake(location, NAME_REASON)
        for index, key in enumerate(workspace.api_keys):
            place = f'{location}.api_keys[{index}]'
            if not API_KEY.fullmatch(key):
                yield DocumentMistake(place, API_KEY_REASON)
            first = place_by_key.setdefault(key, place)
            if first != place:
                yield DocumentMistake(place, f'is the same key as {first}')


def check_size(document: Document) -> Iterator[DocumentMistake]:
    """Yield a mistake if the document is larger than the platform can store."""
    size = len(canonical_json(to_plain(document)))
    if size > MAX_DOCUMENT_BYTES:
        reason = f'has {size} bytes of JSON; at most {MAX_DOCUMENT_BYTES} are allowed'
        yield DocumentMistake('document', reason)


def is_name(text: str) -> bool:
    """Return whether a text is a valid name: safe in headers, paths and logs."""
    return len(text) <= MAX_NAME_CHARACTERS and bool(NAME.fullmatch(text))


Check = Callable[[Document], Iterator[DocumentMistake]]
CHECKS: tuple[Check, ...] = (
    check_names,
    check_addresses,
    check_services,
    check_health_paths,
    check_requests,
    check_routes,
    check_evacuations,
    check_workspaces,
    check_size,
)
