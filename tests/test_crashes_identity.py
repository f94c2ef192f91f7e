"""Identity of requests, and the log line of a broken connection."""

import unittest

from catkinslip.crashes.identity import key_of
from catkinslip.proxy.call import Call
from standins.workers import Fault
from tests.small_platform import on_platform


def call(target: bytes = b'/q/a', **fields) -> Call:
    """Return the call of a request from a caller."""
    method, body = fields.pop('method', b'POST'), fields.pop('body', b'x')
    host = fields.pop('host', b'a.example')
    peer = fields.pop('peer', '10.0.0.1')
    request_id = fields.pop('request_id', 'r1')
    credentials = fields.pop('credentials', b'Bearer one')
    headers = [
        (b'host', host),
        (b'request-id', request_id.encode()),
        (b'authorization', credentials),
    ]
    return Call(
        request_id, 'one', method, target, headers, body, True, deadline=1, peer=peer
    )


class IdentityTest(unittest.TestCase):
    """Identity of a request by method, host, path, body and credentials."""

    def test_same_request_under_another_id_and_query(self):
        known = key_of(call())
        for again in (
            call(request_id='r2'),
            call(b'/q/a?sort=new'),
            call(host=b'A.example'),
            call(peer='10.0.0.2'),
        ):
            self.assertEqual(key_of(again), known)

    def test_other_requests(self):
        known = key_of(call())
        for other in (
            call(credentials=b'Bearer other'),
            call(b'/q/b'),
            call(body=b'y'),
            call(method=b'GET'),
            call(host=b'b.example'),
            call(b'/q/ax', body=b''),
        ):
            self.assertNotEqual(key_of(other), known)


class BreakLogTest(unittest.TestCase):
    """Log line and metric of a connection that broke during a request."""

    def test_break_is_logged_and_counted(self):
        async def check(platform):
            await platform.add_worker('i-1', fault=Fault.RESET)
            entry = await platform.add_entry()
            with self.assertLogs('routing', 'INFO') as logs:
                await platform.send('POST', '/p/x')
            line = next(each for each in logs.output if ' broke. ' in each)
            for part in (
                'r1 ',
                'to i-1',
                'ms=',
                'connection=',
                'request=',
                'caller=127.0.0.1 ',
            ):
                self.assertIn(part, line)
            families = {f.name: f for s in entry.sources for f in s.families()}
            samples = families['catkinslip_breaks_total'].samples
            self.assertEqual(sum(each.value for each in samples), 1)

        on_platform(check)
