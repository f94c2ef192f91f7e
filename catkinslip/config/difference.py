"""Tell what two documents differ in, so that a change costs little to take over."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from catkinslip.config.documents import Document


@frozen
class DocumentDifference:
    """Names of what is new, changed or gone."""

    backends: frozenset[str]
    #: Services that differ themselves or in one of their backend servers.
    services: frozenset[str]
    #: Services that differ themselves.
    redefined: frozenset[str]


def compare(before: Document, after: Document) -> DocumentDifference:
    """Compare two documents; quick where they share most of their entries."""
    old, new = before.register.backends, after.register.backends
    backends = differing(old, new)
    services = differing(before.effective_services(), after.effective_services())
    touched = {
        each[name].service for name in backends for each in (old, new) if name in each
    }
    return DocumentDifference(
        frozenset(backends), frozenset(services | touched), frozenset(services)
    )


def differing(before: Mapping[str, Any], after: Mapping[str, Any]) -> set[str]:
    """Return the keys whose values differ or which only one map has."""
    changed = {
        key
        for key, value in after.items()
        if (known := before.get(key)) is not value and known != value
    }
    return changed | (before.keys() - after.keys())
