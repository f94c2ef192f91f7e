"""Renew only the parts of a document that a patch touches."""

from typing import Any

from attrs import evolve

from catkinslip.config.documents import Backend, Document, Service, converter

REVISED = {'services': Service, 'backends': Backend}


def revise_document(document: Document, plain: dict, patch: dict) -> Document:
    """Return the document of plain data, which is the document with a patch."""
    sections = patch.get('register', {})
    if set(patch) != {'register'} or not is_entries(sections):
        return converter.structure(plain, Document)
    register = document.register
    for section, entries in sections.items():
        revised = dict(getattr(register, section))
        for name, entry in entries.items():
            if entry is None:
                revised.pop(name, None)
            else:
                found = plain['register'][section][name]
                revised[name] = converter.structure(found, REVISED[section])
        register = evolve(register, **{section: revised})
    return evolve(document, register=register)


def is_entries(sections: Any) -> bool:
    """Tell whether a patch changes only entries of services and backend servers."""
    return (
        isinstance(sections, dict)
        and set(sections) <= set(REVISED)
        and all(isinstance(entries, dict) for entries in sections.values())
    )
