"""Forwarding of calls over another instance where this one reaches no server."""

import logging
from collections import Counter
from collections.abc import Callable

import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.discovery.peer_health import Peer
from catkinslip.health.reach import ServerReach
from catkinslip.models import Address
from catkinslip.proxy.base import CallForwarder
from catkinslip.proxy.call import Call
from catkinslip.proxy.dialect import Dialect
from catkinslip.proxy.exchange import ANSWER_GRACE_SECONDS, AnswerHead
from catkinslip.proxy.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from catkinslip.proxy.pool import BackendPool
from catkinslip.proxy.relayed import RelayHead
from catkinslip.proxy.stopping import StopGate
from catkinslip.proxy.wire import Wire
from catkinslip.relaying.attempt import (
    OnServerSignals,
    RelayAttempt,
    ignore_server_signals,
)
from catkinslip.relaying.peers import RelayPeers

#: Instances that one request is relayed to, until one of them accepts it.
MAX_RECEIVERS = 3
#: Time after which a caller may come back where no instance reaches the servers.
UNREACHED_RETRY_SECONDS = 0.5
#: Refusals of a receiver that concern itself: another one may accept the request.
RECEIVER_REASONS = frozenset(
    {
        Reason.UNREACHED,
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_LIMIT,
        Reason.NOT_READY,
        Reason.SERVER_LEFT,
        Reason.STOPPING,
    }
)
#: Refusals after which another instance may have a path to a server.
PATH_REASONS = frozenset({Reason.UNREACHED, Reason.CONNECT_FAILED})
#: Refusals that paths at fault cause too: servers that do not answer count as busy, and
#: those that refuse connections as restarted.
DOUBTED_REASONS = PATH_REASONS | {Reason.DEADLINE_UNMET, Reason.COLD, Reason.TOO_LATE}

#: Takes a token to run a call once more, from its service, the number of times that it
#: may have run and its limit; returns whether it may run again.
TakeResend = Callable[[str, int, int | None], bool]

log = logging.getLogger('relaying')


@define
class RelayingForwarder(CallForwarder):
    """A call forwarder that relays what this instance cannot send itself."""

    own_id: str
    forwarder: CallForwarder
    reach: ServerReach
    peers: RelayPeers
    pool: BackendPool
    clock: Clock
    dialect: Dialect
    #: Returns the version of the rules in force.
    rules_version: Callable[[], int]
    #: Takes a token of the budget of resends for one more run of a call.
    take_resend: TakeResend
    #: Called with what the answer to a relayed request signals of its server.
    on_server_signals: OnServerSignals = ignore_server_signals
    stop_gate: StopGate = Factory(StopGate)
    #: Number of relayed requests by outcome, and of requests that others relayed here.
    count_by_outcome: Counter[str] = Factory(Counter)
    accepted: int = 0

    async def forward(self, call: Call, caller: Wire) -> Outcome:
        """Forward a call within its deadline and return its outcome.

        A call that another instance relayed is never relayed again.
        """
        if call.relayed is not None:
            return await self._forward_relayed(call, call.relayed, caller)
        if self.reach.is_lost(call.service):
            return await self._relay(call, caller, unreached())
        outcome = await self.forwarder.forward(call, caller)
        if self._may_relay(call, outcome):
            return await self._relay(call, caller, outcome)
        return outcome

    async def _forward_relayed(
        self, call: Call, head: RelayHead, caller: Wire
    ) -> Outcome:
        self.accepted += 1
        log.info(
            'relaying: %s %s was relayed by %s. runs=%d left_ms=%.0f',
            call.request_id,
            call.service,
            head.sender,
            head.runs,
            (call.deadline - self.clock.monotonic()) * 1e3,
        )
        if self.reach.is_lost(call.service):
            return unreached()
        return await self.forwarder.forward(call, caller)

    def _may_relay(self, call: Call, outcome: Outcome) -> bool:
        """Return whether a call that ended here may get an answer elsewhere."""
        if not call.is_resendable or call.is_expired(self.clock):
            return False
        if isinstance(outcome, Unknown):
            is_path_at_fault = call.is_diverted or self.reach.is_in_doubt(call.service)
            return is_path_at_fault and self._may_run_again(call, outcome)
        if not isinstance(outcome, NotRun):
            return False
        is_doubted = self.reach.is_in_doubt(call.service)
        return outcome.reason in (DOUBTED_REASONS if is_doubted else PATH_REASONS)

    def _may_run_again(self, call: Call, outcome: Unknown) -> bool:
        """Return whether a call whose connection broke may run once more.

        The token of a diverted call was taken as its attempts were ended.
        """
        if outcome.reason is not Reason.BROKEN or outcome.answer_started:
            return False
        if not call.repeatable or call.is_suspect:
            return False
        if call.is_diverted:
            call.is_diverted = False
            return True
        return self.take_resend(call.service, call.runs, call.max_attempts)

    async def _relay(
        self, call: Call, caller: Wire, fallback: NotRun | Unknown
    ) -> Outcome:
        """Relay a call; return `fallback` if no instance accepts it."""
        tried: set[str] = set()
        while call.is_resendable and len(tried) < MAX_RECEIVERS:
            refusal = self.stop_gate.check(call, self.clock.monotonic())
            if refusal is not None:
                return fallback if isinstance(fallback, Unknown) else refusal
            peer = self.peers.choose(call.service, tried)
            if peer is None:
                break
            outcome = await self._send(call, peer, caller)
            tried.add(peer.entry.instance_id)
            if isinstance(outcome, Unknown):
                call.runs += 1
                if not self._may_run_again(call, outcome):
                    return outcome
                fallback = outcome
            elif not is_receiver_refusal(outcome):
                # Not run there, but perhaps before.
                is_told = isinstance(outcome, NotRun) and isinstance(fallback, Unknown)
                return fallback if is_told else outcome
        log.info(
            'relaying: %s %s is relayed to no instance. tried=%s outcome=%s',
            call.request_id,
            call.service,
            ','.join(sorted(tried)) or '-',
            fallback,
        )
        self.count_by_outcome['none'] += 1
        return fallback

    async def _send(self, call: Call, peer: Peer, caller: Wire) -> Outcome:
        receiver = peer.entry.instance_id
        in_flight = self.peers.in_flight_by_id
        log.info(
            'relaying: %s %s goes to instance %s. zone=%s in_flight=%d runs=%d '
            'left_ms=%.0f',
            call.request_id,
            call.service,
            receiver,
            peer.entry.zone,
            in_flight[receiver],
            call.runs,
            (call.deadline - self.clock.monotonic()) * 1e3,
        )
        in_flight[receiver] += 1
        try:
            outcome = await self._run_attempt(call, peer, caller)
        finally:
            in_flight[receiver] -= 1
        if not isinstance(outcome, Answered):
            log.info(
                'relaying: %s ended at instance %s as %s.',
                call.request_id,
                receiver,
                outcome,
            )
        self.count_by_outcome[outcome_kind(outcome)] += 1
        return outcome

    async def _run_attempt(self, call: Call, peer: Peer, caller: Wire) -> Outcome:
        attempt = RelayAttempt(
            call,
            Address.parse(peer.entry.caller_address),
            caller,
            self.pool,
            self.clock,
            dialect=self.dialect,
            stop_gate=self.stop_gate,
            head=self._make_head(call, peer),
            receiver=peer.entry.instance_id,
            on_server_signals=self.on_server_signals,
        )
        remaining = max(0.0, call.deadline - self.clock.monotonic())
        with trio.move_on_after(remaining) as scope:
            result = await attempt.start()
            if not isinstance(result, AnswerHead):
                return result
            scope.deadline += ANSWER_GRACE_SECONDS
            return await attempt.pass_on(result)
        if attempt.is_sent or call.runs:
            return Unknown(Reason.DEADLINE, f'at {peer.entry.instance_id}')
        return NotRun(Reason.TOO_LATE)

    def _make_head(self, call: Call, peer: Peer) -> RelayHead:
        return RelayHead(
            peer.paths.relay_token,
            self.own_id,
            self.rules_version(),
            call.service,
            call.workspace,
            call.runs,
        )


def unreached() -> NotRun:
    """Return the refusal of a call whose servers this instance does not reach."""
    return NotRun(Reason.UNREACHED, retry_after=UNREACHED_RETRY_SECONDS)


def is_receiver_refusal(outcome: Outcome) -> bool:
    """Return whether another receiver may accept a call that ended at this one."""
    return isinstance(outcome, NotRun) and outcome.reason in RECEIVER_REASONS


def outcome_kind(outcome: Outcome) -> str:
    """Return the metric label of the outcome of a relayed request."""
    match outcome:
        case Answered():
            return 'answered'
        case NotRun():
            return 'not-run'
    return 'unknown'
