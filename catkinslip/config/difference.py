"""Differences between two documents, so that applying a small change costs little."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from catkinslip.config.documents import Document


@frozen
class DocumentDifference:
    """Names of the services and backend servers that were added, changed or removed."""

    #: Backend servers that differ.
    backends: frozenset[str]
    #: Services whose own fields or one of whose backend servers differ.
    services: frozenset[str]
    #: Services whose own fields differ.
    redefined: frozenset[str]


def compare_documents(before: Document, after: Document) -> DocumentDifference:
    """Return the difference between two documents.

    The comparison is fast where both documents share most of their entry objects.
    """
    old, new = before.register.backends, after.register.backends
    backends = changed_keys(old, new)
    services = changed_keys(before.effective_services(), after.effective_services())
    touched = {
        each[name].service for name in backends for each in (old, new) if name in each
    }
    return DocumentDifference(
        frozenset(backends), frozenset(services | touched), frozenset(services)
    )


def changed_keys(before: Mapping[str, Any], after: Mapping[str, Any]) -> set[str]:
    """Return the keys that only one map has, or whose values differ."""
    changed = {
        key
        for key, value in after.items()
        if (old_value := before.get(key)) is not value and old_value != value
    }
    return changed | (before.keys() - after.keys())
