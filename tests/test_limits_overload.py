"""Overload of real processes: a request with the outcome not-run must not have run."""

import json
import unittest

import httpx
import trio

from catkinslip.cli.application import run
from standins.ledgers import SentRequest, find_contradictions, read_ledger
from standins.load import LoadCaller, Tally
from standins.processes import wait_until
from tests.builders import document_plain
from tests.small_fleet import new_process_group

CALLERS = 24
SECONDS = 3.0
TIMEOUT_SECONDS = 0.12


class Caller(LoadCaller):
    """A caller that requires a retry delay in each refusal."""

    async def exchange(self, sending: SentRequest, subject: str):
        status, headers, body = await super().exchange(sending, subject)
        if status == 503:
            document = json.loads(body)
            waits = int(headers[b'retry-after']), document['retry_after_ms']
            if min(waits) < 1 or headers[b'catkinslip-outcome'] != b'not-run':
                raise AssertionError(document)
        return status, headers, body


class OverloadTest(unittest.TestCase):
    """Two instances, two backend servers with two slots, many callers."""

    def setUp(self):
        self.group = new_process_group(self)

    def start(self) -> None:
        platform_url = f'http://{self.group.start_platform().address}'
        self.ledgers = [self.group.folder / f'limits-{n}.ledger' for n in (1, 2)]
        self.backends = [
            self.group.start_backend(path.stem, slots=2, service_time=0.05, ledger=path)
            for path in self.ledgers
        ]
        self.daemons = [
            self.group.start_daemon(
                f'entry-{n}',
                'zone-a',
                platform_url=platform_url,
                peer_interval=0.1,
                request_timeout=TIMEOUT_SECONDS,
            )
            for n in (1, 2)
        ]
        address_by_backend = {each.name: each.address for each in self.backends}
        path = self.group.folder / 'document.json'
        path.write_text(json.dumps(document_plain(address_by_backend, slots=2)))
        status = run(['apply', str(path), '--platform-url', platform_url, '--quiet'])
        self.assertEqual(status, 0)
        for daemon in self.daemons:
            wait_until(lambda d=daemon: serves(d.address))

    def test_refused_requests_did_not_run(self):
        self.start()
        tally = trio.run(load, [each.address for each in self.daemons])
        runs = [run for path in self.ledgers for run in read_ledger(path)]
        self.assertGreater(tally.right, 0)
        self.assertGreater(tally.not_run, 0)
        self.assertEqual((tally.wrong, tally.cut), (0, 0))
        self.assertEqual(find_contradictions(tally.sent_requests, runs), [])


async def load(addresses: list[str]) -> Tally:
    """Send requests that are not repeatable from more callers than there are slots."""
    tally = Tally()
    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            caller = Caller(f'c{number}', 'limits', addresses, tally, 'POST')
            nursery.start_soon(caller.run, SECONDS, 0.01)
    return tally


def serves(address: str) -> bool:
    return httpx.get(f'http://{address}/', headers={'Host': 'limits'}).is_success
