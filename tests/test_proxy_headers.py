"""The headers that are forwarded."""

import unittest

from catkinslip.proxy.headers import HOP_BY_HOP, end_to_end

REPLACED = HOP_BY_HOP | {b'content-length'}


class EndToEndTest(unittest.TestCase):
    """Headers of a request without those that this instance replaces."""

    def test_request_with_a_connection_header_was_sent_with_two_lengths(self):
        # The length of the caller was forwarded beside that of the attempt.
        headers = [(b'content-length', b'4'), (b'connection', b'keep-alive')]
        self.assertEqual(end_to_end(headers, REPLACED), [])

    def test_host_and_length_are_not_dropped_as_a_connection_header_names_them(self):
        headers = [
            (b'host', b'a.example'),
            (b'content-length', b'4'),
            (b'x-hop', b'1'),
            (b'connection', b'Host, content-length, x-hop'),
        ]
        self.assertEqual(end_to_end(headers, HOP_BY_HOP), headers[:2])
