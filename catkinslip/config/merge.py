"""JSON merge patches between two documents.

See https://www.rfc-editor.org/rfc/rfc7396
"""

from typing import Any


def merge_patch(target: Any, patch: Any) -> Any:
    """Return the target with a merge patch applied, without changing the target."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def merge_diff(before: dict, after: dict) -> dict:
    """Return the merge patch that turns one map into another.

    The maps must not contain nulls, which a merge patch cannot set.
    """
    patch: dict = dict.fromkeys(key for key in before if key not in after)
    for key, value in after.items():
        old_value = before.get(key)
        if key in before and old_value == value:
            continue
        if isinstance(old_value, dict) and isinstance(value, dict):
            patch[key] = merge_diff(old_value, value)
        else:
            patch[key] = value
    return patch
