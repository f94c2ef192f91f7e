"""Review of refusals of requests with idempotency keys.

"Not run" is read as said of the key. A refusal before the key was looked up is true of
one sending only, as an earlier sending of the key may have run.
"""

import logging
from typing import ClassVar

from attrs import define

from catkinslip.proxy import headers as names
from catkinslip.proxy.base import RefusalReview
from catkinslip.proxy.call import Call
from catkinslip.proxy.headers import RequestHead
from catkinslip.proxy.outcomes import NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.wire import Wire
from catkinslip.tickets.gate import (
    AtMostOnceForwarder,
    answer_repeated,
    describe,
    key_text,
)
from catkinslip.tickets.keys import parse_key
from catkinslip.tickets.table import Admitted

#: Refusals of connections or bytes of which no whole head was received: the request may
#: have a key.
WITHOUT_WHOLE_HEAD = frozenset({Reason.SLOW_REQUEST, Reason.CONNECTION_LIMIT})

log = logging.getLogger('tickets')


@define
class KeyedRefusalReview(RefusalReview):
    """The review that looks a key up, or says that the outcome is unknown."""

    refused_head_seconds: ClassVar[float] = 1.0

    gate: AtMostOnceForwarder

    async def review(self, call: Call, refusal: NotRun, caller: Wire) -> Outcome:
        """Return the outcome of a call that is refused instead of being forwarded."""
        text = key_text(call)
        if not text or self.gate.is_repeatable(call):
            return refusal
        outcome = await self._review_keyed(call, text, refusal, caller)
        log.info(
            'tickets: refusal reviewed. request=%s refusal=%s outcome=%s',
            call.request_id,
            refusal.reason.slug,
            outcome,
        )
        return outcome

    async def _review_keyed(
        self, call: Call, text: str, refusal: NotRun, caller: Wire
    ) -> Outcome:
        unknown = Unknown(refusal.reason, refusal.detail)
        key = parse_key(text)
        if key is None:
            return refusal if self._never_accepts(call) else unknown
        if refusal.reason is Reason.KEY_REJECTED:
            # Without a valid API key nothing is told about requests.
            return unknown
        if key.member_id != self.gate.members.own.member_id:
            return unknown
        decision = self.gate.look_up(call, key)
        log.info(
            'tickets: key of a refused request looked up. request=%s decision=%s',
            call.request_id,
            describe(decision),
        )
        if decision == Admitted():
            return refusal
        return await answer_repeated(decision, call, caller)

    def _never_accepts(self, call: Call) -> bool:
        """Return whether no instance accepts a key that the caller generated."""
        return self.gate.config.is_ready and not self.gate.is_recorded(call)

    def review_unread(
        self, refusal: NotRun, head: RequestHead | None, data: bytes
    ) -> NotRun | Unknown:
        """Return the outcome of a request that is refused before it is a call."""
        if head is not None:
            may_have_key = names.find(head.headers, names.IDEMPOTENCY_KEY) is not None
        else:
            is_incomplete = refusal.reason in WITHOUT_WHOLE_HEAD
            may_have_key = is_incomplete or names.IDEMPOTENCY_KEY in data.lower()
        return Unknown(refusal.reason, refusal.detail) if may_have_key else refusal
