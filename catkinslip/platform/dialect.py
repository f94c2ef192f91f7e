"""The dialect of the platform: its headers on requests and answers."""

import math
import re
from collections.abc import Sequence

import h11

from catkinslip.platform import names as wire
from catkinslip.proxy import answers
from catkinslip.proxy import headers as names
from catkinslip.proxy.call import Call
from catkinslip.proxy.dialect import CallParameters, Dialect, ProbeAnswer
from catkinslip.proxy.head_checks import malformed
from catkinslip.proxy.headers import Header, RequestHead
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.resting.signals import MALFORMED_REST, NO_REST, RestSignal
from catkinslip.routing.base import LoadReport
from catkinslip.routing.signals import ServerSignals
from catkinslip.throttling.signals import MALFORMED_RATE, NO_RATE, RateSignal

MILLISECONDS_FORM = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,9})?\Z')
#: The form of a rate, which is a decimal number of requests per second.
RATE_FORM = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,9})?\Z')
REST_FORM = re.compile(rb'[0-9]{1,9}(\.[0-9]{1,9})?\Z')
LOAD_FIELD_FORM = re.compile(rb'[0-9]{1,9}\Z')
NORMAL_PERCENT = 100.0
MAX_PERCENT = 1_000_000.0
MISDIRECTED_STATUS = 421
LEAVING_VALUE = b'1'
#: Seconds: to callers, the time until they may retry; from a server, its rest period.
RETRY_AFTER = b'retry-after'
#: A longer time, over a day, cannot be that of a cold start.
MAX_COLD_SECONDS = 86_400.0
#: A server that refuses requests for longer is expected to leave.
MAX_REST_SECONDS = 86_400.0
#: Statuses of refusals. With any other status, Retry-After is meant for callers.
RESTING_STATUSES = frozenset({429, 503})
#: Headers of the caller that are not forwarded, since each attempt sets its own.
REPLACED_IN_REQUESTS = names.HOP_BY_HOP | {
    b'content-length',
    b'expect',
    wire.DEADLINE,
    wire.TARGET,
}
REPLACED_IN_ANSWERS = names.HOP_BY_HOP | {wire.REQUEST_ID}
#: The shortest time before a retry that callers are sent; after a longer one, more of
#: them would not retry at all.
MIN_RETRY_AFTER_SECONDS = 0.05


class PlatformDialect(Dialect):
    """Codec of the platform's headers."""

    key_header = wire.API_KEY
    workspace_header = wire.WORKSPACE

    def read_parameters(
        self, request: RequestHead, wall: float
    ) -> CallParameters | NotRun:
        """Return the call parameters of a request, or a refusal if one is malformed."""
        headers = request.headers
        request_id = names.find(headers, wire.REQUEST_ID)
        if request_id is not None and names.REQUEST_ID_FORM.match(request_id) is None:
            return malformed('the request ID is not 1 to 128 visible characters')
        timeout = None
        deadline = names.find(headers, wire.DEADLINE)
        if deadline is not None:
            if MILLISECONDS_FORM.match(deadline) is None:
                return malformed('the deadline is no number of milliseconds')
            timeout = float(deadline) / 1000
        host = (names.find(headers, b'host') or b'').decode('latin-1')
        return CallParameters(
            service='',
            host=host.partition(':')[0],
            request_id=request_id.decode() if request_id else None,
            timeout=timeout,
        )

    def request_headers(
        self, call: Call, backend_id: str, number: int, remaining: float
    ) -> list[Header]:
        """Return the headers of an attempt, without those that frame the body."""
        headers = self.relay_headers(call, remaining)
        headers += self.workspace_headers(call)
        headers.append((wire.TARGET, backend_id.encode()))
        return headers

    def relay_headers(self, call: Call, remaining: float) -> list[Header]:
        """Return the headers with which a call is relayed to another instance."""
        headers = names.end_to_end(call.headers, REPLACED_IN_REQUESTS)
        if names.find(headers, wire.REQUEST_ID) is None:
            headers.append((wire.REQUEST_ID, call.request_id.encode()))
        headers.append((wire.DEADLINE, b'%d' % max(1, int(remaining * 1000))))
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
        echoed_id = names.find(headers, wire.REQUEST_ID)
        is_same_id = echoed_id == call.request_id.encode()
        # A success must have its ID and signature. A refusal may have no such header,
        # but where health checks came before it, it may be an answer to one of these.
        if echoed_id is not None and not is_same_id:
            return Unknown(Reason.CROSSED)
        if 200 <= status < 300:
            if not is_same_id or names.find(headers, wire.SIGNATURE) is None:
                return Unknown(Reason.BROKEN, 'a success without its signature')
            if names.find(headers, b'content-encoding') is not None:
                return Unknown(Reason.BROKEN, "the body is not the server's own")
        elif status < 400:
            return Unknown(Reason.BROKEN, f'status {status} is no answer')
        elif not is_same_id and (is_reused or find_refusal(status, headers) is None):
            return Unknown(Reason.BROKEN, 'an answer without its request ID')
        return answers.find_framing_fault(headers)

    def find_refusal(self, status: int, headers: list[Header]) -> Reason | None:
        """Return why a server did not run a request; None if it may have run it."""
        return find_refusal(status, headers)

    def read_report(self, headers: Sequence[Header]) -> LoadReport | None:
        """Return the load report in an answer's headers; None if there is none."""
        value = names.find(headers, wire.SERVER_LOAD)
        return None if value is None else parse_load_report(value)

    def read_signals(self, status: int, headers: Sequence[Header]) -> ServerSignals:
        """Return the signals that a server sends in the headers of an answer."""
        leaving = names.find(headers, wire.LEAVING)
        return ServerSignals(
            read_rate(headers),
            read_rest(status, headers),
            is_leaving=leaving is not None and leaving.strip() == LEAVING_VALUE,
        )

    def answer_headers(self, call: Call, headers: list[Header]) -> list[Header]:
        """Return the headers of an answer as forwarded to the caller."""
        forwarded = names.end_to_end(headers, REPLACED_IN_ANSWERS)
        forwarded.append((wire.REQUEST_ID, call.request_id.encode()))
        return forwarded

    def problem_events(
        self,
        outcome: NotRun | Unknown,
        request_id: str,
        method: bytes = b'',
        *,
        close: bool = False,
    ) -> list[h11.Event]:
        """Return the error answer to a request that no backend server answered."""
        status = outcome.reason.status
        if isinstance(outcome, NotRun) and status >= 500:
            # 503 is the only 5xx status that guarantees that the request has not run.
            status = 503
        headers = [(wire.REQUEST_ID, request_id.encode())]
        if status == 401:
            headers.append(names.AUTHENTICATE)
        if status in RESTING_STATUSES:
            seconds = retry_after_seconds(outcome)
            headers.append((RETRY_AFTER, b'%.3f' % seconds))
        body = b'' if method == b'HEAD' else f'{outcome}\n'.encode()
        headers.append((b'content-type', b'text/plain'))
        headers.append((b'content-length', b'%d' % len(body)))
        if close:
            headers.append((b'connection', b'close'))
        response = h11.Response(status_code=status, headers=headers)
        return [response, *([h11.Data(data=body)] if body else []), h11.EndOfMessage()]

    def probe_request(self, service: str, path: str) -> h11.Request:
        """Return the request head of a probe."""
        return h11.Request(
            method='GET', target=path, headers=[(b'host', service.encode())]
        )

    def read_probe(self, status: int, headers: list[Header]) -> ProbeAnswer | None:
        """Return the content of a probe answer; None if it answers another request."""
        server_id = names.find(headers, wire.SERVER_ID)
        if names.find(headers, wire.REQUEST_ID) is not None or server_id is None:
            return None
        report = self.read_report(headers)
        cold = read_cold_seconds(headers)
        return ProbeAnswer(
            status == 200,
            report,
            server_id.decode('latin-1'),
            cold,
            self.read_signals(status, headers),
        )


def read_cold_seconds(headers: Sequence[Header]) -> float | None:
    """Return the seconds that a server stays cold; None if the header is malformed.

    A server that does not send the header is warm.
    """
    value = names.find(headers, wire.COLD)
    if value is None:
        return 0.0
    if MILLISECONDS_FORM.match(value) is None:
        return None
    return min(float(value) / 1000, MAX_COLD_SECONDS)


def read_rate(headers: Sequence[Header]) -> RateSignal:
    """Return the request rate that a server advertises in an answer.

    The lowest of several rates applies; one malformed rate makes all malformed.
    """
    values = [value for name, value in headers if name == wire.RATE]
    if not values:
        return NO_RATE
    if any(RATE_FORM.match(value) is None for value in values):
        return MALFORMED_RATE
    return RateSignal(min(map(float, values)))


def read_rest(status: int, headers: Sequence[Header]) -> RestSignal:
    """Return the rest period that a server requests in an answer.

    The longest of several periods applies; one malformed period makes all malformed.
    """
    if status not in RESTING_STATUSES:
        return NO_REST
    values = [value for name, value in headers if name == RETRY_AFTER]
    if not values:
        return NO_REST
    if any(REST_FORM.match(value) is None for value in values):
        return MALFORMED_REST
    return RestSignal(min(max(map(float, values)), MAX_REST_SECONDS))


def find_refusal(status: int, headers: list[Header]) -> Reason | None:
    """Return why a server did not run a request; None if it may have run it."""
    if status == MISDIRECTED_STATUS:
        return Reason.MISDIRECTED
    refused = names.find(headers, wire.NOT_EXECUTED) is not None
    return Reason.SHED if refused and status >= 400 else None


def parse_load_report(value: bytes) -> LoadReport | None:
    """Parse a load report; return None if it is malformed.

    Its fields are the running and waiting requests, the slots and, optionally, the time
    that work takes, in percent of the normal time.
    """
    fields = [each.strip() for each in value.split(b',')]
    if len(fields) < 3 or any(LOAD_FIELD_FORM.match(each) is None for each in fields):
        return None
    running, waiting = int(fields[0]), int(fields[1])
    speed = None
    if len(fields) > 3:
        percent = min(max(float(fields[3]), 1.0), MAX_PERCENT)
        speed = NORMAL_PERCENT / percent
    return LoadReport(running + waiting, speed)


def retry_after_seconds(outcome: NotRun | Unknown) -> float:
    """Return the time in seconds after which a caller may retry a request.

    MIN_RETRY_AFTER_SECONDS replaces a time that is missing, shorter or infinite: no
    caller has an infinite time left.
    """
    seconds = outcome.retry_after if isinstance(outcome, NotRun) else None
    if seconds is None or not math.isfinite(seconds):
        return MIN_RETRY_AFTER_SECONDS
    return max(seconds, MIN_RETRY_AFTER_SECONDS)
