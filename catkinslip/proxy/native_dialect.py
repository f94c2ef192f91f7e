"""The headers of catkinslip's native interface."""

import re
from collections.abc import Sequence

import h11

from catkinslip.proxy import answers, problems
from catkinslip.proxy import headers as names
from catkinslip.proxy.call import Call
from catkinslip.proxy.dialect import CallParameters, Dialect, ProbeAnswer
from catkinslip.proxy.head_checks import malformed
from catkinslip.proxy.headers import Header, RequestHead
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.routing.base import LoadReport

SECONDS = re.compile(rb'[0-9]{1,12}(\.[0-9]{1,9})?\Z')
ATTEMPT = re.compile(rb'[1-9][0-9]{0,3}\Z')


class NativeDialect(Dialect):
    """Codec of the headers that docs/REQUESTS.md specifies."""

    key_header = names.API_KEY
    workspace_header = names.WORKSPACE
    reserves_workspace_headers = True
    passed_header = names.PASSED_WORKSPACE

    def read_parameters(
        self, request: RequestHead, wall: float
    ) -> CallParameters | NotRun:
        """Return the call parameters of a request, or a refusal if one is malformed."""
        headers = request.headers
        request_id = names.find(headers, names.REQUEST_ID)
        if request_id is not None and names.REQUEST_ID_FORM.match(request_id) is None:
            return malformed('catkinslip-request-id is not 1 to 128 visible characters')
        timeout = read_timeout(headers, wall)
        if isinstance(timeout, NotRun):
            return timeout
        attempt = names.find(headers, names.ATTEMPT) or b'1'
        if ATTEMPT.match(attempt) is None:
            return malformed('catkinslip-attempt is no number from 1 to 9999')
        host = names.find(headers, b'host') or b''
        return CallParameters(
            service=strip_port(names.find(headers, names.SERVICE) or host),
            host=strip_port(host),
            request_id=request_id.decode() if request_id else None,
            timeout=timeout,
            attempt=int(attempt),
        )

    def request_headers(
        self, call: Call, backend_id: str, number: int, remaining: float
    ) -> list[Header]:
        """Return the headers of an attempt, without those that frame the body."""
        headers = names.request_headers(call.headers, call.peer)
        headers += self.workspace_headers(call)
        headers.append((names.REQUEST_ID, call.request_id.encode()))
        headers.append((names.DEADLINE, b'%.3f' % call.wall_deadline))
        headers.append((names.ATTEMPT, b'%d' % (call.attempt + number - 1)))
        return headers

    def find_fault(
        self,
        call: Call,
        status: int,
        headers: list[Header],
        *,
        is_reused: bool = False,
    ) -> Unknown | None:
        """Return why an answer must not be forwarded; None if it may."""
        echo = names.find(headers, names.REQUEST_ID)
        if echo is not None and echo != call.request_id.encode():
            return Unknown(Reason.CROSSED)
        if answers.is_unframed(status, headers, call.method):
            # A truncated answer of this form looks the same as a complete one.
            return Unknown(Reason.BROKEN, 'no header tells where the answer ends')
        return answers.find_framing_fault(headers)

    def find_refusal(self, status: int, headers: list[Header]) -> Reason | None:
        """Return why a server did not run a request; None if it may have run it."""
        refused = names.find(headers, names.OUTCOME) == names.NOT_RUN
        return Reason.SHED if status == 503 and refused else None

    def read_report(self, headers: Sequence[Header]) -> LoadReport | None:
        """Return the load report in an answer's headers; None if there is none."""
        return answers.read_report(headers)

    def answer_headers(self, call: Call, headers: list[Header]) -> list[Header]:
        """Return the headers of an answer as forwarded to the caller."""
        return names.answer_headers(headers, call.request_id)

    def problem_events(
        self,
        outcome: NotRun | Unknown,
        request_id: str,
        method: bytes = b'',
        *,
        close: bool = False,
    ) -> list[h11.Event]:
        """Return the error answer to a request that no backend server answered."""
        return problems.problem_events(outcome, request_id, method, close=close)

    def probe_request(self, service: str, path: str) -> h11.Request:
        """Return the request head of a probe."""
        return h11.Request(
            method='GET', target=path, headers=[(b'host', service.encode())]
        )

    def read_probe(self, status: int, headers: list[Header]) -> ProbeAnswer | None:
        """Return the content of a probe answer; None if it answers another request."""
        if names.find(headers, names.REQUEST_ID) is not None:
            return None
        return ProbeAnswer(status < 400, answers.read_report(headers))


def read_timeout(headers: Sequence[Header], wall: float) -> float | NotRun | None:
    """Return the caller's timeout in seconds, a refusal, or None if undeclared.

    The shorter of the timeout and deadline headers applies; `wall` is the current time
    in Unix seconds.
    """
    timeout = None
    value = names.find(headers, names.TIMEOUT)
    if value is not None:
        if SECONDS.match(value) is None:
            return malformed('catkinslip-timeout is no number of seconds')
        timeout = float(value)
    value = names.find(headers, names.DEADLINE)
    if value is not None:
        if SECONDS.match(value) is None:
            return malformed('catkinslip-deadline is no number of unix seconds')
        remaining = float(value) - wall
        timeout = remaining if timeout is None else min(timeout, remaining)
    return timeout


def strip_port(name: bytes) -> str:
    """Return a host or service name without its port."""
    return name.decode('latin-1').partition(':')[0]
