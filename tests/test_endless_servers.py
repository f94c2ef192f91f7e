"""Tests of a whole instance beside servers that send bytes without end."""

import unittest
from collections import Counter

import psutil
import trio
from attrs import Factory, define

from catkinslip.proxy.wire import MAX_EVENTS_IN_TURN
from standins.workers import Endless
from tests.endless_builders import count_parsing
from tests.platform_builders import config_spec
from tests.small_platform import SmallPlatform, on_platform, wait_for

REQUESTS = 40
#: Time between two requests to each service, in seconds.
INTERVAL_SECONDS = 0.05
MAX_MEMORY_BYTES = 64 << 20
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: signed-ID\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
NO_LENGTH = b'HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nConnection: close\r\n\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'
#: What no answer has come of: the request goes to another server.
WITHOUT_ANSWER = {
    'interim answers': Endless(b'', INTERIM, repeats=2000),
    'slow interim answers': Endless(b'', INTERIM, pause=0.02),
    'lines of a head': Endless(b'HTTP/1.1 200 OK\r\n', b'a: b\r\n', repeats=10_000),
    'one line': Endless(b'HTTP/1.1 200 ', b'a' * 1000, repeats=60),
    'zeros': Endless(b'', bytes(1000), repeats=60),
    'refusal': Endless(REFUSAL, b'1\r\nx\r\n', repeats=10_000),
    'slow refusal': Endless(REFUSAL, b'1\r\nx\r\n', pause=1.0),
}
#: What is passed on until the deadline, as it may be an answer.
BODIES = {
    'small chunks': Endless(CHUNKED, b'1\r\nx\r\n', repeats=10_000),
    'trailers': Endless(CHUNKED + b'0\r\n', b'a: b\r\n', repeats=10_000),
    'one chunk line': Endless(CHUNKED + b'1;', b'a' * 1000, repeats=60),
    'no length': Endless(NO_LENGTH, b'a' * 1000, repeats=60),
    'slow body': Endless(CHUNKED, b'1\r\nx\r\n', pause=1.0),
}


@define
class Ends:
    """How the requests of callers ended, by path."""

    count_by_path: dict[str, Counter] = Factory(dict)

    async def send(self, platform: SmallPlatform, path: str, name: str) -> None:
        """Send a request and count its status, or the error that ended it."""
        try:
            end = (await platform.get(path, request_id=name)).status_code
        except Exception as error:
            end = type(error).__name__
        self.count_by_path.setdefault(path, Counter())[end] += 1


async def start(platform: SmallPlatform, endless: Endless, faulty: int) -> None:
    """Start an instance with a mixed service and a sound one."""
    spec = config_spec()
    rows = spec['routes']['rows']
    rows[0] = ['r1', 'a.example', '/q/', 'idempotent', 1.5, 1.0, 2, None, 2, 'one']
    rows[1] = ['r2', 'a.example', '/p/', 'idempotent', 1.5, 1.0, 2, None, 2, 'two']
    platform.store.put('config', 'main', spec)
    for number in range(faulty):
        await platform.add_worker(f'bad-{number}', slots=8, endless=endless)
    for number in range(2):
        await platform.add_worker(f'one-{number}', slots=8)
        await platform.add_worker(f'two-{number}', service='two', slots=8)
    await platform.add_entry()


class EndlessServersTest(unittest.TestCase):
    """Servers that answer health checks soundly send bytes without end."""

    # Guards against bytes of one service's servers that keep callers of another from
    # their answers, or its own callers from a sound server.

    def test_bytes_that_are_no_answer_cost_no_request(self):
        for name, endless in WITHOUT_ANSWER.items():
            with self.subTest(name=name):
                ends = self.play(endless, faulty=1)
                self.assertEqual(ends.count_by_path['/q/a'], {200: REQUESTS})

    def test_endless_bodies_leave_other_services_alone(self):
        for name, endless in BODIES.items():
            with self.subTest(name=name):
                self.play(endless, faulty=1)

    def test_several_endless_servers_leave_other_services_alone(self):
        self.play(BODIES['small chunks'], faulty=4)

    def play(self, endless: Endless, faulty: int) -> Ends:
        """Send requests to both services; check what is true for all bytes."""
        ends = Ends()

        async def check(platform: SmallPlatform):
            await start(platform, endless, faulty)
            bad = platform.worker_by_id['bad-0']
            before = psutil.Process().memory_info().rss
            with count_parsing() as count:
                async with trio.open_nursery() as nursery:
                    for number in range(REQUESTS):
                        for path in ('/p/a', '/q/a'):
                            name = f'{path[1]}{number}'
                            nursery.start_soon(ends.send, platform, path, name)
                        await trio.sleep(INTERVAL_SECONDS)
            used = psutil.Process().memory_info().rss - before
            self.assertEqual(ends.count_by_path['/p/a'], {200: REQUESTS})
            self.assertLess(used, MAX_MEMORY_BYTES)
            self.assertLessEqual(count.max_step, 2 * MAX_EVENTS_IN_TURN)
            self.assertGreater(bad.runs_by_request.total(), 0)
            await wait_for(lambda: bad.endless_closed)

        on_platform(check)
        return ends


if __name__ == '__main__':
    unittest.main()
