"""The headers of catkinslip's own interface."""

import re
from collections.abc import Sequence

import h11

from catkinslip.proxy import answers, problems
from catkinslip.proxy import headers as names
from catkinslip.proxy.calls import Call
from catkinslip.proxy.dialect import CallParameters, Dialect, ProbeAnswer
from catkinslip.proxy.head_checks import malformed
from catkinslip.proxy.headers import Header, RequestHead
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.routing.base import LoadReport

SECONDS = re.compile(rb'[0-9]{1,12}(\.[0-9]{1,9})?\Z')
ATTEMPT = re.compile(rb'[1-9][0-9]{0,3}\Z')


class NativeDialect(Dialect):
    """Spell what docs/REQUESTS.md says."""

    def read_parameters(
        self, request: RequestHead, wall: float
    ) -> CallParameters | NotRun:
        """Read a caller's headers, or refuse one that is malformed."""
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
        headers.append((names.REQUEST_ID, call.request_id.encode()))
        headers.append((names.DEADLINE, b'%.3f' % call.wall_deadline))
        headers.append((names.ATTEMPT, b'%d' % (call.attempt + number - 1)))
        return headers

    def find_fault(
        self, call: Call, status: int, headers: list[Header]
    ) -> Unknown | None:
        """Return why an answer must not reach the caller; None when it may."""
        echo = names.find(headers, names.REQUEST_ID)
        if echo is not None and echo != call.request_id.encode():
            return Unknown(Reason.CROSSED)
        if answers.is_unframed(status, headers, call.method):
            # Cut or whole, such an answer looks the same.
            return Unknown(Reason.BROKEN, 'no header tells where the answer ends')
        return answers.find_framing_fault(headers)

    def find_refusal(self, status: int, headers: list[Header]) -> Reason | None:
        """Return why the backend server did not run a request; None if it may have."""
        refused = names.find(headers, names.OUTCOME) == names.NOT_RUN
        return Reason.SHED if status == 503 and refused else None

    def read_report(self, headers: Sequence[Header]) -> LoadReport | None:
        """Return the load report of an answer."""
        return answers.read_report(headers)

    def answer_headers(self, call: Call, headers: list[Header]) -> list[Header]:
        """Return an answer's headers for the caller."""
        return names.answer_headers(headers, call.request_id)

    def problem_events(
        self,
        outcome: NotRun | Unknown,
        request_id: str,
        method: bytes = b'',
        *,
        close: bool = False,
    ) -> list[h11.Event]:
        """Return the answer that tells a caller how a request ended."""
        return problems.problem_events(outcome, request_id, method, close=close)

    def probe_request(self, service: str, path: str) -> h11.Request:
        """Return the head of a probe."""
        return h11.Request(
            method='GET', target=path, headers=[(b'host', service.encode())]
        )

    def read_probe(self, status: int, headers: list[Header]) -> ProbeAnswer | None:
        """Read the answer to a probe; None when it answers something else."""
        if names.find(headers, names.REQUEST_ID) is not None:
            return None
        return ProbeAnswer(status < 400, answers.read_report(headers))


def read_timeout(headers: Sequence[Header], wall: float) -> float | NotRun | None:
    """Return the seconds that a caller waits; None when it does not say."""
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
    """Return a host or service name without a port."""
    return name.decode('latin-1').partition(':')[0]
