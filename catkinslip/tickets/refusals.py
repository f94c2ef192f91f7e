"""Review of refusals of requests with idempotency keys.

"Not run" is read as said of the key. A refusal before the key was looked up is true of
one sending only, as an earlier sending of the key may have run.
"""

import logging

from attrs import define

from catkinslip.proxy.base import RefusalReview
from catkinslip.proxy.call import Call
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

log = logging.getLogger('tickets')


@define
class KeyedRefusalReview(RefusalReview):
    """The review that looks a key up, or says that the outcome is unknown."""

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
        if refusal.reason is Reason.KEY_REJECTED:
            # Without a valid API key nothing is told about requests.
            return unknown
        key = parse_key(text)
        if key is None:
            return refusal if self._never_accepts(call) else unknown
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
