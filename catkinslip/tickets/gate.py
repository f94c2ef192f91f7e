"""At-most-once forwarding of requests that must not run twice."""

import logging
from hashlib import blake2b

import trio
from attrs import define

from catkinslip.config.documents import RecordPlace, RequestRule
from catkinslip.config.holder import ConfigHolder
from catkinslip.membership.members import MemberTable
from catkinslip.proxy import headers as names
from catkinslip.proxy.base import CallForwarder
from catkinslip.proxy.call import Call
from catkinslip.proxy.caller_watch import has_left
from catkinslip.proxy.forwarder import Forwarder
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.wire import Wire
from catkinslip.tickets import table as tickets
from catkinslip.tickets.keys import AnchoredClock, TicketKey, parse_key
from catkinslip.tickets.passing import HomeForwarder
from catkinslip.tickets.records import (
    Claim,
    OtherRequest,
    PlatformRecords,
    RecordUnavailable,
)
from catkinslip.tickets.replay import RecordingWire, send_replay

FINGERPRINT_BYTES = 16
#: Timeout for the release of a platform record, in seconds.
RELEASE_SECONDS = 5.0

REASON_BY_REFUSAL = {
    tickets.Refusal.OTHER_INCARNATION: Unknown(Reason.HOME_GONE),
    tickets.Refusal.EXPIRED: Unknown(Reason.KEY_EXPIRED),
    tickets.Refusal.OTHER_REQUEST: NotRun(Reason.KEY_OF_OTHER_REQUEST),
    tickets.Refusal.TOO_FAR_AHEAD: NotRun(Reason.KEY_TOO_FAR_AHEAD),
    tickets.Refusal.FULL: NotRun(Reason.KEYS_FULL),
}

log = logging.getLogger('tickets')


@define
class AtMostOnceForwarder(CallForwarder):
    """A call forwarder that runs each key at most once over all instances."""

    forwarder: Forwarder
    table: tickets.TicketTable
    records: PlatformRecords
    home_forwarder: HomeForwarder
    config: ConfigHolder
    members: MemberTable
    clock: AnchoredClock

    async def forward(self, call: Call, caller: Wire) -> Outcome:
        """Forward one call within its deadline and return its outcome."""
        if self.is_repeatable(call):
            return await self.forwarder.forward(call, caller)
        text = key_text(call)
        recorded = self.is_recorded(call)
        key = parse_key(text)
        if key is None:
            return await self._forward_without_ticket(call, caller, text, recorded)
        if key.member_id == self.members.own.member_id:
            return await self._forward_at_home(call, caller, key)
        return await self._forward_to_home(call, caller, key)

    def is_repeatable(self, call: Call) -> bool:
        """Return whether a call may run again, so that its key does not matter.

        Without a configuration this is not known of a call with a key.
        """
        return call.repeatable and (self.config.is_ready or not key_text(call))

    def is_recorded(self, call: Call) -> bool:
        """Return whether the rules ask for a record of a call in the platform."""
        method = call.method.decode('latin-1')
        path = call.target.decode('latin-1').partition('?')[0]
        document = self.config.current.document
        rule: RequestRule | None = document.find_rule(call.service, method, path)
        return rule is not None and rule.record is RecordPlace.PLATFORM

    def look_up(self, call: Call, key: TicketKey) -> tickets.Decision:
        """Return the decision on a key whose home is this instance, without admission.

        `Admitted` means that no request with this key has run here.
        """
        return self.table.look_up(key, fingerprint(call), self.clock.now())

    async def _forward_without_ticket(
        self, call: Call, caller: Wire, text: str, recorded: bool
    ) -> Outcome:
        if text and not self.config.is_ready:
            return Unknown(Reason.RECORD_UNAVAILABLE, 'no configuration yet')
        if recorded and not text:
            return NotRun(Reason.KEY_REQUIRED)
        if recorded:
            return await self._forward_recorded(call, caller, text)
        if text:
            return NotRun(Reason.KEY_NOT_ACCEPTED)
        return await self.forwarder.forward(call, caller)

    async def _forward_at_home(
        self, call: Call, caller: Wire, key: TicketKey
    ) -> Outcome:
        decision = self.table.admit(key, fingerprint(call), self.clock.now())
        log.info(
            'tickets: key looked up. request=%s decision=%s',
            call.request_id,
            describe(decision),
        )
        if decision == tickets.Admitted():
            return await self._run(call, caller, key)
        return await answer_repeated(decision, call, caller)

    async def _run(self, call: Call, caller: Wire, key: TicketKey) -> Outcome:
        if has_left(caller):
            # A later request with this key may have been answered as not run.
            self.table.release(key)
            return NotRun(Reason.CALLER_LEFT)
        if call.is_expired(self.home_forwarder.clock):
            self.table.release(key)
            return NotRun(Reason.TOO_LATE)
        recorder = RecordingWire(
            caller.stream, caller.codec, caller.peer, caller=caller
        )
        outcome: Outcome = Unknown(Reason.BROKEN)
        try:
            outcome = await self.forwarder.forward(call, recorder)
        finally:
            # Also runs if the caller has closed the connection or this instance stops.
            self._record_outcome(key, outcome, recorder)
        return outcome

    def _record_outcome(self, key: TicketKey, outcome: Outcome, recorder) -> None:
        match outcome:
            case NotRun():
                self.table.release(key)
            case Answered(status):
                self.table.mark_answered(key, status, recorder.kept_answer())
            case _:
                self.table.mark_unknown(key)

    async def _forward_to_home(
        self, call: Call, caller: Wire, key: TicketKey
    ) -> Outcome:
        home = self.members.member_by_id.get(key.member_id)
        is_passed_on = names.find(call.headers, names.PASSED_BY) is not None
        if is_passed_on or home is None or home.incarnation > key.incarnation:
            return Unknown(Reason.HOME_GONE)
        log.info(
            'tickets: request forwarded to its home. request=%s home=%s',
            call.request_id,
            home.member_id,
        )
        return await self.home_forwarder.send(call, home, caller)

    async def _forward_recorded(self, call: Call, caller: Wire, text: str) -> Outcome:
        if has_left(caller):
            return NotRun(Reason.CALLER_LEFT)
        name = f'{call.service}\0{text}'
        claim = await self.records.claim(name, fingerprint(call))
        match claim:
            case Claim():
                log.info('tickets: record claimed. request=%s', call.request_id)
            case OtherRequest():
                return NotRun(Reason.KEY_OF_OTHER_REQUEST)
            case RecordUnavailable(reason):
                return Unknown(Reason.RECORD_UNAVAILABLE, reason)
            case _:
                return Unknown(Reason.ALREADY_SENT)
        outcome = await self._run_recorded(call, caller)
        if isinstance(outcome, NotRun):
            with trio.move_on_after(RELEASE_SECONDS, shield=True):
                await self.records.release(claim)
        return outcome

    async def _run_recorded(self, call: Call, caller: Wire) -> Outcome:
        if has_left(caller):
            # The claim may have taken long, and a later request with this key may have
            # been answered as not run.
            return NotRun(Reason.CALLER_LEFT)
        return await self.forwarder.forward(call, caller)


async def answer_repeated(
    decision: tickets.Decision, call: Call, caller: Wire
) -> Outcome:
    """Answer a request whose key is not admitted, and return its outcome."""
    match decision:
        case tickets.Replay(answer):
            await send_replay(answer, caller, call.request_id)
            return Answered(answer.status)
        case tickets.AlreadySent(state, status):
            detail = state.value if status is None else f'{state.value} {status}'
            return Unknown(Reason.ALREADY_SENT, detail)
    return REASON_BY_REFUSAL[decision]


def key_text(call: Call) -> str:
    """Return the idempotency key of a call; empty if it has none."""
    value = names.find(call.headers, names.IDEMPOTENCY_KEY) or b''
    return value.decode('latin-1')


def fingerprint(call: Call) -> bytes:
    """Return a digest of the service, method, target, body and workspace of a request.

    The workspace keeps a kept answer from callers of other workspaces.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (call.service.encode(), call.method, call.target, call.body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    digest.update(call.workspace.encode())
    return digest.digest()


def describe(decision: tickets.Decision) -> str:
    """Return the text of a decision for log lines."""
    match decision:
        case tickets.Admitted():
            return 'admitted, the key is new'
        case tickets.Replay():
            return 'answered from the kept answer'
        case tickets.AlreadySent(state):
            return f'refused, the key is {state.value}'
    return f'refused, the key is {decision.value}'
