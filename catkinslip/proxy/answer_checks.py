"""Checks of answers' heads that are stricter than those of the codec.

Two readers must never read one answer differently, so an unusual head is none:
https://www.rfc-editor.org/rfc/rfc9112#section-5.2
"""

from catkinslip.proxy.head_checks import has_controls, is_folded


def find_head_fault(head: bytes) -> str | None:
    """Return the fault in the bytes of an answer's head; None if there is none."""
    if is_folded(head):
        return 'a header is folded'
    if has_controls(head):
        return 'a control character stands in the head'
    return None
