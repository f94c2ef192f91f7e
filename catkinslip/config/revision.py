"""Update of a document that rebuilds only the entries that a patch changes."""

from typing import Any

from attrs import evolve

from catkinslip.config.documents import Backend, Document, Service, converter

#: Class of the entries of each section of the register.
CLASS_BY_SECTION = {'services': Service, 'backends': Backend}


def revise_document(document: Document, plain: dict, patch: dict) -> Document:
    """Return a document with a patch applied.

    `plain` is the plain data of the result. Entries that the patch does not change are
    the same objects as before.
    """
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
                revised[name] = converter.structure(found, CLASS_BY_SECTION[section])
        register = evolve(register, **{section: revised})
    return evolve(document, register=register)


def is_entries(sections: Any) -> bool:
    """Return whether a patch of the register changes only services and servers."""
    return (
        isinstance(sections, dict)
        and set(sections) <= set(CLASS_BY_SECTION)
        and all(isinstance(entries, dict) for entries in sections.values())
    )
