"""Tests of the platform's headers to and from callers and backend servers."""

import unittest

import h11

from catkinslip.platform.dialect import PlatformDialect, parse_load_report
from catkinslip.proxy.headers import RequestHead, find
from catkinslip.proxy.outcomes import NotRun, Reason, Unknown
from catkinslip.routing.base import LoadReport
from tests.builders import plain_call

OWN_ID = (b'request-id', b'r')
SIGNED = (b'response-signature', b'3e1b')
LENGTH = (b'content-length', b'2')


class DialectTest(unittest.TestCase):
    """Headers of requests, checks of answers, and answers to callers."""

    def setUp(self):
        self.dialect = PlatformDialect()
        self.call = plain_call('one')

    def parameters(self, *headers: tuple[bytes, bytes]):
        head = RequestHead(b'GET', b'/a/', b'1.1', [(b'host', b'a:81'), *headers])
        return self.dialect.read_parameters(head, 0.0)

    def fault(
        self, status: int, *headers: tuple[bytes, bytes], is_reused: bool = False
    ) -> Unknown | None:
        return self.dialect.find_fault(
            self.call, status, list(headers), is_reused=is_reused
        )

    def problem(self, outcome: NotRun | Unknown) -> h11.Response:
        return self.dialect.problem_events(outcome, 'r')[0]

    def test_parameters_of_a_request(self):
        parameters = self.parameters((b'deadline-ms', b'1200'), OWN_ID)
        self.assertEqual((parameters.host, parameters.service), ('a', ''))
        self.assertEqual((parameters.timeout, parameters.request_id), (1.2, 'r'))

    def test_malformed_deadline_is_refused(self):
        self.assertIsInstance(self.parameters((b'deadline-ms', b'-5')), NotRun)
        self.assertIsInstance(self.parameters((b'deadline-ms', b'soon')), NotRun)

    def test_attempt_names_its_server_and_the_time_that_is_left(self):
        self.call.headers = [OWN_ID, (b'deadline-ms', b'9000'), (b'x-other', b'1')]
        headers = self.dialect.request_headers(self.call, 'i-1', 1, 0.25)
        self.assertEqual(find(headers, b'deadline-ms'), b'250')
        self.assertEqual(find(headers, b'target-instance'), b'i-1')
        self.assertEqual(find(headers, b'x-other'), b'1')
        self.assertEqual(headers.count(OWN_ID), 1)

    def test_success_needs_its_signature_and_its_own_id(self):
        self.assertIsNone(self.fault(200, OWN_ID, SIGNED, LENGTH))
        self.assertIsNotNone(self.fault(200, OWN_ID, LENGTH))
        self.assertIsNotNone(self.fault(200, SIGNED, LENGTH))
        crossed = self.fault(200, (b'request-id', b'other'), SIGNED)
        self.assertIs(crossed.reason, Reason.CROSSED)

    def test_refusal_without_an_id_is_not_trusted_on_a_reused_connection(self):
        # It may be a late second answer to a health check, and the request may run.
        refusal = (b'not-executed', b'1')
        for status in (421, 429, 503):
            self.assertIsNone(self.fault(status, refusal))
            self.assertIsNone(self.fault(status, refusal, OWN_ID, is_reused=True))
            fault = self.fault(status, refusal, is_reused=True)
            self.assertIs(fault.reason, Reason.BROKEN)

    def test_encoded_body_is_not_the_servers_own(self):
        encoded = (b'content-encoding', b'gzip')
        self.assertIsNotNone(self.fault(200, OWN_ID, SIGNED, encoded))

    def test_answer_that_ends_with_its_connection_is_taken(self):
        self.assertIsNone(self.fault(200, OWN_ID, SIGNED))

    def test_only_the_header_or_another_server_means_not_run(self):
        refusal = self.dialect.find_refusal
        self.assertIs(refusal(503, [(b'not-executed', b'1')]), Reason.SHED)
        self.assertIs(refusal(421, []), Reason.MISDIRECTED)
        self.assertIsNone(refusal(503, []))
        self.assertIsNone(refusal(500, [OWN_ID]))

    def test_load_report(self):
        self.assertEqual(parse_load_report(b'3,1,8'), LoadReport(4, None))
        self.assertEqual(parse_load_report(b'3, 0, 8, 400'), LoadReport(3, 0.25))
        for malformed in (b'', b'1,2', b'a,b,c', b'-1,0,2', b'1,0,2,x'):
            self.assertIsNone(parse_load_report(malformed))

    def test_not_run_is_503_with_the_time_until_a_retry(self):
        response = self.problem(NotRun(Reason.OVERLOADED, retry_after=0.2))
        self.assertEqual(response.status_code, 503)
        self.assertEqual(find(response.headers, b'retry-after'), b'0.200')
        self.assertEqual(self.problem(NotRun(Reason.TOO_LATE)).status_code, 503)

    def test_unknown_is_502_or_504(self):
        self.assertEqual(self.problem(Unknown(Reason.BROKEN)).status_code, 502)
        self.assertEqual(self.problem(Unknown(Reason.DEADLINE)).status_code, 504)

    def test_request_without_a_route_is_not_found(self):
        response = self.problem(NotRun(Reason.UNKNOWN_SERVICE))
        self.assertEqual(response.status_code, 404)

    def test_answer_to_something_else_is_no_answer_to_a_probe(self):
        read = self.dialect.read_probe
        load, server = (b'server-load', b'1,0,2,100'), (b'instance-id', b'i-1')
        self.assertEqual(read(200, [load, server]).report, LoadReport(1, 1.0))
        self.assertFalse(read(503, [load, server]).is_healthy)
        self.assertIsNone(read(200, [load]))
        self.assertIsNone(read(200, [OWN_ID, server]))


if __name__ == '__main__':
    unittest.main()
