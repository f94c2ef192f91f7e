"""Check a configuration document before it is accepted."""

import cattrs
from attrs import frozen
from cattrs import transform_error
from returns.result import Failure, Result, Success

from catkinslip.config.documents import Document, converter


@frozen
class DocumentMistake:
    """One mistake: where it stands and why it is one."""

    place: str
    reason: str


@frozen
class DocumentRefused:
    """A document that must not be accepted."""

    mistakes: tuple[DocumentMistake, ...]


def read_document(plain: object) -> Result[Document, DocumentRefused]:
    """Read a document from plain data and check it."""
    try:
        document = converter.structure(plain, Document)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        reasons = transform_error(error, path='document')
        mistakes = tuple(DocumentMistake('document', reason) for reason in reasons)
        return Failure(DocumentRefused(mistakes))
    mistakes = (*check_backends(document), *check_rules(document))
    if mistakes:
        return Failure(DocumentRefused(mistakes))
    return Success(document)


def check_backends(document: Document) -> tuple[DocumentMistake, ...]:
    """Return the mistakes in the backend servers of the register."""
    mistakes = []
    for backend_id, backend in document.register.backends.items():
        place = f'register.backends.{backend_id}'
        if backend.service not in document.register.services:
            reason = f'service {backend.service!r} is not in the register'
            mistakes.append(DocumentMistake(f'{place}.service', reason))
        if not 0 < backend.port < 65536:
            reason = f'{backend.port} is not a TCP port'
            mistakes.append(DocumentMistake(f'{place}.port', reason))
    return tuple(mistakes)


def check_rules(document: Document) -> tuple[DocumentMistake, ...]:
    """Return the mistakes in the rules."""
    mistakes = []
    for index, rule in enumerate(document.rules.requests):
        if rule.service == '*' or rule.service in document.register.services:
            continue
        reason = f'service {rule.service!r} is not in the register'
        mistakes.append(DocumentMistake(f'rules.requests[{index}].service', reason))
    return tuple(mistakes)
