"""Fingerprints that stand for API keys in logs and on pages.

Answers the question which of several keys a log line is about, without the key.
"""

from hashlib import blake2b
from typing import Any

#: Eight hexadecimal digits: enough to distinguish the keys of an operator, and too few
#: to check guesses of a whole key.
FINGERPRINT_BYTES = 4
#: The space makes the text invalid as a key, so that a document with fingerprints
#: cannot be applied by mistake.
FINGERPRINT_PREFIX = 'fingerprint '


def fingerprint_of(key: bytes) -> str:
    """Return the fingerprint of a key, which is the same on every instance."""
    return blake2b(key, digest_size=FINGERPRINT_BYTES).hexdigest()


def hide_keys(document: Any) -> Any:
    """Return a plain document, or a patch of one, with fingerprints in place of keys.

    The document is not changed; parts that hold no keys are shared.
    """
    workspaces = find_workspaces(document)
    if not workspaces:
        return document
    hidden = {name: hide_workspace(each) for name, each in workspaces.items()}
    return {**document, 'rules': {**document['rules'], 'workspaces': hidden}}


def find_workspaces(document: Any) -> dict[str, Any]:
    """Return the workspaces of a plain document or patch; empty if it has none."""
    rules = document.get('rules') if isinstance(document, dict) else None
    workspaces = rules.get('workspaces') if isinstance(rules, dict) else None
    return workspaces if isinstance(workspaces, dict) else {}


def hide_workspace(workspace: Any) -> Any:
    """Return a plain workspace with fingerprints in place of keys."""
    keys = workspace.get('api_keys') if isinstance(workspace, dict) else None
    if not keys:
        return workspace
    shown = [hide_key(key) for key in (keys if isinstance(keys, list | tuple) else [])]
    return {**workspace, 'api_keys': shown}


def hide_key(key: Any) -> str:
    """Return the text that stands for a key."""
    return FINGERPRINT_PREFIX + fingerprint_of(str(key).encode(errors='replace'))
