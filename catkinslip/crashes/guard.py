"""Checks of requests against the crash registry, and detection of crashes."""

import logging
from abc import ABC, abstractmethod

import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.config.documents import AcceptedConfig
from catkinslip.crashes.base import CrashStore
from catkinslip.crashes.hidden_crashes import (
    BrokenRequest,
    BrokenRequests,
    RestartDetector,
)
from catkinslip.crashes.identity import RequestKey, key_of, query_of, target_of
from catkinslip.crashes.registry import CrashRegistry
from catkinslip.crashes.suspect import Decision, Verdict
from catkinslip.crashes.synchronizer import CrashSynchronizer
from catkinslip.models import Address
from catkinslip.proxy.call import Call
from catkinslip.proxy.outcomes import NotRun, Reason

#: Seconds allowed for the check of a port. The port of a process that ended refuses
#: within a round trip. A server that does not answer is unreachable, which is no
#: evidence against the request.
PORT_CHECK_SECONDS = 0.1
#: Number of crashed servers from which the call itself is sent to no further server.
CALL_STOP_SERVERS = 2
#: Seconds after which a caller may retry a request whose trial went to another copy, or
#: for whose trial the store did not answer.
NO_TRIAL_RETRY_SECONDS = 5.0

log = logging.getLogger('crashes')


class CrashListener(ABC):
    """Listener for crashes that this instance saw, to report them to others."""

    @abstractmethod
    def on_crash(self, key: RequestKey, query_by_server: dict[str, str]) -> None:
        """Handle a crash during a request, given all its crashed servers known here."""


@define
class CrashGuard:
    """Protection of servers from requests that crash them."""

    clock: Clock
    registry: CrashRegistry = Factory(CrashRegistry)
    #: Source of trials; None without a store, so that no trial is granted.
    synchronizer: CrashSynchronizer | None = None
    listeners: list[CrashListener] = Factory(list)
    #: Number of refused calls, for the metrics.
    refused: int = 0
    #: Recent requests whose connections broke at servers with an open port.
    broken_requests: BrokenRequests = Factory(BrokenRequests)
    #: Detection of crashes by changes of the registered servers.
    restarts: RestartDetector = Factory(RestartDetector)

    async def refuse(self, call: Call) -> NotRun | None:
        """Return the refusal of a call, or None if the call may be sent.

        A call during which one or two servers crashed is marked as suspect, so that no
        second server runs it. The refusal is immediate: no slot, probe, position in
        the queue or budget is used.
        """
        if not self._may_be_suspect(call):
            return None
        key = key_of(call)
        decision = self.registry.decide(key, query_of(call), self.clock.monotonic())
        call.is_suspect = decision.verdict is not Verdict.FREE
        if decision.verdict in (Verdict.FREE, Verdict.ALONE):
            return None
        if decision.verdict is Verdict.TRIAL:
            if self.synchronizer is not None and await self.synchronizer.claim_trial(
                key
            ):
                # A server that sheds the trial counts as one that it reached, too.
                call.max_attempts = 1
                return None
            decision = Decision(Verdict.REFUSED, NO_TRIAL_RETRY_SECONDS)
        self.refused += 1
        log.info(
            'crashes: %s is refused, it crashed servers. request=%s back_s=%.0f',
            call.request_id,
            key,
            decision.retry_after,
        )
        detail = 'Servers ended under this request.'
        return NotRun(Reason.CRASHES, detail, retry_after=decision.retry_after)

    def _may_be_suspect(self, call: Call) -> bool:
        by_target = self.registry.count_by_target
        return bool(by_target) and target_of(call) in by_target

    async def detect_crash(
        self,
        call: Call,
        server: str,
        address: Address,
        *,
        is_cold: bool = False,
        witness: Address | None = None,
    ) -> bool:
        """Return whether a server whose connection broke has crashed, and record it.

        A refused connection takes one round trip, 0.4 ms in the instance's own zone.
        Where `witness`, the address of another server, refuses connections too, the
        path from this instance is as likely at fault as the server.
        """
        with trio.CancelScope(shield=True):
            has_crashed = await refuses_connection(address)
            if has_crashed and witness is not None:
                has_crashed = not await refuses_connection(witness)
                if not has_crashed:
                    log.info(
                        'crashes: no crash of %s concluded, another server refuses '
                        'connections too. request=%s',
                        server,
                        key_of(call),
                    )
        now = self.clock.monotonic()
        broken = BrokenRequest(server, key_of(call), query_of(call), is_cold, now)
        if not has_crashed:
            self.broken_requests.add(broken)
            return False
        servers = self._record_crash(broken)
        call.is_suspect = call.is_suspect or is_cold or servers >= CALL_STOP_SERVERS
        return True

    def update(self, config: AcceptedConfig) -> None:
        """Apply a configuration, and record the crashes that it reveals.

        Where sockets outlive their processes, 29 servers crashed later than 3 s after
        the third during one request when these crashes were not recorded; none did
        when they were, in three runs (12 servers, 3 instances).
        """
        now = self.clock.monotonic()
        for server in self.restarts.update(config.document.register.backends, now):
            for broken in self.broken_requests.pop(server, now):
                log.info(
                    'crashes: %s had crashed when its connection broke. request=%s',
                    server,
                    broken.key,
                )
                self._record_crash(broken)

    def _record_crash(self, broken: BrokenRequest) -> int:
        """Record a crash and notify the listeners; return the number of crashes."""
        key, now = broken.key, self.clock.monotonic()
        servers = self.registry.record_crash(
            key, broken.query, broken.server, now, is_cold=broken.is_cold
        )
        known = self.registry.suspect_by_key[key].record.query_by_server
        for listener in self.listeners:
            listener.on_crash(key, known)
        return servers

    def record_answer(self, call: Call) -> None:
        """Record that a server ran a call and answered it."""
        if self._may_be_suspect(call):
            self.registry.record_answer(key_of(call), query_of(call))


def make_guard(clock: Clock, store: CrashStore) -> CrashGuard:
    """Return a guard whose registry is synchronized with a store."""
    guard = CrashGuard(clock)
    guard.synchronizer = CrashSynchronizer(guard.registry, store, clock)
    return guard


async def refuses_connection(address: Address) -> bool:
    """Return whether a connection to an address is refused."""
    family = trio.socket.AF_INET6 if ':' in address.host else trio.socket.AF_INET
    try:
        with trio.socket.socket(family) as sock, trio.move_on_after(PORT_CHECK_SECONDS):
            await sock.connect((address.host, address.port))
    except ConnectionRefusedError:
        return True
    except OSError as error:
        log.debug('crashes: a server is unreachable. error=%r', error)
    return False
