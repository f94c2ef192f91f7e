"""Answers of an instance to callers: outcomes, refusals and local pages."""

import logging
from collections.abc import Callable, Sequence

import h11
from attrs import define

from catkinslip.proxy.base import LocalPages, RefusalReview
from catkinslip.proxy.call import Call
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.headers import Header, RequestHead
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.relayed import encode_outcome
from catkinslip.proxy.wire import Wire

REASONS_WITHOUT_ANSWER = frozenset({Reason.CALLER_LEFT, Reason.CONNECTION_CLOSED})

log = logging.getLogger('request')


@define
class CallerAnswers:
    """Sender of answers that no backend server made."""

    dialect: Dialect
    new_request_id: Callable[[], str]
    review: RefusalReview

    async def report(self, wire: Wire, call: Call, outcome: Outcome) -> bool:
        """Send the outcome of a call; return whether the connection is reusable."""
        if isinstance(outcome, Answered):
            if wire.codec.their_state is h11.SEND_BODY:
                await wire.close_gracefully()
            return is_reusable(wire)
        if outcome.reason in REASONS_WITHOUT_ANSWER or has_begun(wire):
            await wire.reset()
            return False
        headers = [] if call.relayed is None else [encode_outcome(outcome)]
        return await self.send_problem(
            wire, outcome, call.request_id, call.method, headers=headers
        )

    async def answer_locally(
        self, wire: Wire, request: RequestHead, pages: LocalPages
    ) -> bool:
        """Answer with a local page; return whether the connection is reusable."""
        answer = pages.answer(request)
        if isinstance(answer, NotRun):
            request_id = self.new_request_id()
            return await self.send_problem(wire, answer, request_id, request.method)
        await wire.send(*answer)
        return is_reusable(wire)

    async def refuse(
        self, wire: Wire, refusal: NotRun, request: RequestHead | None = None
    ) -> bool:
        """Refuse a request that is not a call, and close the connection."""
        request_id = self.new_request_id()
        outcome = self.review.review_unread(refusal, request, wire.refused_head)
        log.info(
            'request: %s refused as %s, %s. outcome=%s',
            request_id,
            refusal.reason.slug,
            refusal.detail,
            outcome,
        )
        method = request.method if request else b''
        return await self.send_problem(wire, outcome, request_id, method, close=True)

    async def send_problem(
        self,
        wire: Wire,
        outcome: NotRun | Unknown,
        request_id: str,
        method: bytes,
        *,
        close: bool = False,
        headers: Sequence[Header] = (),
    ) -> bool:
        """Send an error answer; return whether the connection is reusable."""
        close = close or wire.codec.their_state is h11.SEND_BODY
        events = self.dialect.problem_events(outcome, request_id, method, close=close)
        if headers:
            events[0] = with_headers(events[0], headers)
        await wire.send(*events)
        if close:
            await wire.close_gracefully()
        return is_reusable(wire)


def with_headers(response: h11.Response, headers: Sequence[Header]) -> h11.Response:
    """Return a response head with further headers."""
    return h11.Response(
        status_code=response.status_code, headers=[*response.headers, *headers]
    )


def has_begun(wire: Wire) -> bool:
    """Return whether any byte of an answer may have been sent to the caller."""
    return wire.codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE)


def is_reusable(wire: Wire) -> bool:
    """Return whether the connection is reusable: both sides completed the exchange."""
    if wire.has_unwritten:
        return False
    return wire.codec.our_state is h11.DONE and wire.codec.their_state is h11.DONE
