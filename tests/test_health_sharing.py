"""Sharing of load reports and silent servers between the instances of a zone."""

import unittest
from random import Random

import orjson
import trio

from catkinslip.clock import SystemClock
from catkinslip.config.documents import AcceptedConfig, Document, converter
from catkinslip.health.sharing import ReportSharer
from catkinslip.models import Address
from catkinslip.routing.base import LoadReport
from catkinslip.routing.delay import PAUSED_DELAY, ExpectedDelay
from catkinslip.routing.directory import Directory
from catkinslip.routing.router import PEER_SILENCE_MIN_AGE_SECONDS, ServiceRouter
from tests.builders import document_plain
from tests.small_platform import free_ports, wait_for

SERVERS = {'limits-1': '10.0.0.1:80', 'limits-2': '10.0.0.2:80'}


class Side:
    """One of two instances that share reports."""

    def __init__(self, own: int, other: int):
        self.clock = SystemClock()
        self.directory = Directory(lambda: ExpectedDelay(Random(1)))
        self.sharer = ReportSharer(
            Address('127.0.0.1', own),
            lambda: [Address('127.0.0.1', other)],
            self.directory,
            self.clock,
        )
        self.directory.on_load_change = self.sharer.queue_load
        plain = document_plain(SERVERS)
        document = converter.structure(plain, Document)
        self.directory.update(AcceptedConfig(document=document))

    @property
    def router(self) -> ServiceRouter:
        return self.directory.router_by_service['limits']

    def load(self, name: str = 'limits-1'):
        return self.router.load_by_id[name]


def between_two(check) -> None:
    """Run an async check between two instances that share reports."""

    async def run():
        one, two = free_ports(2)
        first, second = Side(one, two), Side(two, one)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(first.sharer.run)
                nursery.start_soon(second.sharer.run)
                await trio.sleep(0.05)
                await check(first, second)
                nursery.cancel_scope.cancel()

    trio.run(run)


class ShareTest(unittest.TestCase):
    """Reports that one instance receives reach the other."""

    def test_reports_of_all_servers_arrive(self):
        async def check(first, second):
            now = first.clock.monotonic()
            first.router.apply_peer_report('limits-1', LoadReport(3, 0.5), now)
            first.router.apply_peer_report('limits-2', LoadReport(1, 1.0), now)
            await wait_for(lambda: second.sharer.received == 2)
            self.assertEqual(second.load().report, LoadReport(3, 0.5))
            self.assertEqual(second.load('limits-2').report, LoadReport(1, 1.0))

        between_two(check)

    def test_older_report_changes_nothing(self):
        async def check(first, second):
            now = first.clock.monotonic()
            second.router.record_report('limits-1', LoadReport(1, 1.0), now + 1, 0)
            first.router.apply_peer_report('limits-1', LoadReport(9, 0.1), now)
            first.router.apply_peer_report('limits-2', LoadReport(9, 0.1), now)
            await wait_for(lambda: second.load('limits-2').report is not None)
            self.assertEqual(second.load().report, LoadReport(1, 1.0))

        between_two(check)

    def test_silent_server_is_avoided_by_both_until_it_answers(self):
        async def check(first, second):
            first.router.mark_silent('limits-1')
            first.router.publish_silence('limits-1')
            await wait_for(lambda: second.load().is_silent)
            now = second.clock.monotonic()
            worst = second.router.rank(now)[-1]
            self.assertEqual(worst.load.backend_id, 'limits-1')
            self.assertGreater(worst.delay, PAUSED_DELAY)
            first.router.apply_peer_report('limits-1', LoadReport(0, 1.0), now)
            await wait_for(lambda: not second.load().is_silent)

        between_two(check)

    def test_peer_report_of_silence_does_not_override_an_answer(self):
        async def check(first, second):
            now = second.clock.monotonic()
            second.router.record_report('limits-1', LoadReport(0, 1.0), now, 0)
            second.router.apply_peer_silence(
                'limits-1', now + PEER_SILENCE_MIN_AGE_SECONDS / 2
            )
            self.assertFalse(second.load().is_silent)
            second.router.apply_peer_silence(
                'limits-1', now + PEER_SILENCE_MIN_AGE_SECONDS * 2
            )
            self.assertTrue(second.load().is_silent)

        between_two(check)

    def test_silence_reported_by_a_peer_is_not_forwarded(self):
        async def check(first, second):
            second.router.apply_peer_silence('limits-1', second.clock.monotonic())
            self.assertIsNone(second.sharer.encode())

        between_two(check)

    def test_malformed_datagrams_are_counted_and_ignored(self):
        async def check(first, second):
            wrong = (b'', b'{', b'[]', b'{"reports": 3}', b'{"reports": [[1]]}', b'7')
            wrong += (orjson.dumps({'reports': [['limits-1', 'x', 1, 0]]}),)
            for data in wrong:
                second.sharer.apply_datagram(data)
            self.assertEqual(second.sharer.malformed, len(wrong))
            self.assertIsNone(second.load().report)

        between_two(check)


if __name__ == '__main__':
    unittest.main()
