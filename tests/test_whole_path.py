"""Test of the whole request path with separate processes."""

import json
import unittest

import httpx

from catkinslip.cli.application import run
from standins.processes import wait_until
from tests.builders import document_plain
from tests.small_fleet import new_process_group

ADDRESSES_PATH = '/.well-known/catkinslip/addresses/limits'


def get(address: str, path: str, **arguments) -> httpx.Response:
    return httpx.get(f'http://{address}{path}', timeout=10, **arguments)


class WholePathTest(unittest.TestCase):
    """A caller, two instances, backend servers, the platform and the CLI."""

    def setUp(self):
        self.group = new_process_group(self)

    def apply(self, platform_url: str, plain: dict) -> int:
        path = self.group.folder / 'document.json'
        path.write_text(json.dumps(plain))
        return run(['apply', str(path), '--platform-url', platform_url, '--quiet'])

    def test_request_reaches_a_backend_through_each_instance(self):
        platform_url = f'http://{self.group.start_platform().address}'
        backends = [self.group.start_backend(f'limits-{n}') for n in (1, 2)]
        daemons = [
            self.group.start_daemon(
                f'entry-{n}', 'zone-a', platform_url=platform_url, peer_interval=0.1
            )
            for n in (1, 2)
        ]
        document = document_plain({each.name: each.address for each in backends})
        self.assertEqual(self.apply(platform_url, document), 0)
        for daemon in daemons:
            wait_until(lambda d=daemon: serves(d.address))
        wait_until(lambda: len(addresses(daemons[0].address)) == 2)
        for address in addresses(daemons[0].address):
            answer = get(address, '/limits/7', headers={'Host': 'limits'})
            self.assertEqual(answer.status_code, 200)
            self.assertEqual(answer.json()['path'], '/limits/7')
            self.assertEqual(
                answer.json()['request_id'], answer.headers['catkinslip-request-id']
            )


def serves(address: str) -> bool:
    return get(address, '/', headers={'Host': 'limits'}).status_code == 200


def addresses(address: str) -> list[str]:
    return get(address, ADDRESSES_PATH).json()['addresses']
