"""A caller's request as the request path knows it."""

import re
from math import inf
from random import Random

from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.config.documents import Document, Service
from catkinslip.config.holder import ConfigHolder
from catkinslip.proxy import headers as names
from catkinslip.proxy.bodies import Body, RestOfBody
from catkinslip.proxy.head_checks import malformed, origin_form
from catkinslip.proxy.outcomes import NotRun

REQUEST_ID = re.compile(rb'[\x21-\x7e]{1,128}\Z')
SECONDS = re.compile(rb'[0-9]{1,12}(\.[0-9]{1,9})?\Z')
ATTEMPT = re.compile(rb'[1-9][0-9]{0,3}\Z')


@define
class Call:
    """One request of a caller; the deadline is on the monotonic clock."""

    request_id: str
    service: str
    method: bytes
    target: bytes
    headers: list[names.Header]
    body: bytes
    repeatable: bool
    deadline: float
    attempt: int = 1
    wall_deadline: float = inf
    peer: str = ''
    rest: RestOfBody | None = None

    @property
    def is_resendable(self) -> bool:
        """Tell whether the whole request can still be sent."""
        return self.rest is None or not self.rest.is_started

    def is_late(self, clock: Clock) -> bool:
        """Tell whether the deadline passed on either clock.

        The wall clock goes on while a paused machine's monotonic clock may not.
        """
        return clock.monotonic() >= self.deadline or clock.wall() >= self.wall_deadline


@define
class CallMaker:
    """Turn requests into calls."""

    clock: Clock
    random: Random
    config: ConfigHolder
    request_timeout: float
    #: The document that the services were taken from.
    document: Document | None = None
    service_by_name: dict[str, Service] = Factory(dict)

    def new_request_id(self) -> str:
        """Return an ID for a request that has none."""
        return f'{self.random.getrandbits(64):016x}'

    def make(self, request: names.RequestHead, body: Body, peer: str) -> Call | NotRun:
        """Return the call, or a refusal when a header of ours is wrong."""
        headers = request.headers
        request_id = names.find(headers, names.REQUEST_ID)
        if request_id is not None and REQUEST_ID.match(request_id) is None:
            return malformed('catkinslip-request-id is not 1 to 128 visible characters')
        service = service_name(headers)
        timeout = self._timeout(service, headers)
        if isinstance(timeout, NotRun):
            return timeout
        attempt = names.find(headers, names.ATTEMPT) or b'1'
        if ATTEMPT.match(attempt) is None:
            return malformed('catkinslip-attempt is no number from 1 to 9999')
        target = origin_form(request.target)
        return Call(
            request_id=request_id.decode() if request_id else self.new_request_id(),
            service=service,
            method=request.method,
            target=target,
            headers=headers,
            body=body.start,
            repeatable=self._is_repeatable(service, request.method, target),
            deadline=self.clock.monotonic() + timeout,
            attempt=int(attempt),
            wall_deadline=self.clock.wall() + timeout,
            peer=peer,
            rest=body.rest,
        )

    def _is_repeatable(self, service: str, method: bytes, target: bytes) -> bool:
        path = target.decode('latin-1').partition('?')[0]
        document = self.config.current.document
        return document.is_repeatable(service, method.decode('latin-1'), path)

    def _timeout(self, service: str, headers) -> float | NotRun:
        timeout = self._longest(service)
        given = names.find(headers, names.TIMEOUT)
        if given is not None:
            if SECONDS.match(given) is None:
                return malformed('catkinslip-timeout is no number of seconds')
            timeout = min(timeout, float(given))
        given = names.find(headers, names.DEADLINE)
        if given is not None:
            if SECONDS.match(given) is None:
                return malformed('catkinslip-deadline is no number of unix seconds')
            timeout = min(timeout, float(given) - self.clock.wall())
        return timeout

    def _longest(self, service: str) -> float:
        document = self.config.current.document
        if document is not self.document:
            self.document = document
            self.service_by_name = document.effective_services()
        known = self.service_by_name.get(service)
        if known is None:
            return self.request_timeout
        return min(self.request_timeout, known.timeout)


def service_name(headers) -> str:
    """Return the service that a request names."""
    service = names.find(headers, names.SERVICE) or names.find(headers, b'host')
    return (service or b'').decode('latin-1').partition(':')[0]
