"""Stops of instances with uploads, pipelined and relayed requests under way."""

import re
import unittest
from collections.abc import Awaitable, Callable

import httpx
import trio
from attrs import Factory, define

from catkinslip.models import Address
from tests.partitions import PartitionedPlatform
from tests.platform_builders import config_spec
from tests.small_platform import SmallPlatform, on_platform

WORK_SECONDS = 0.5
TIMEOUT_SECONDS = 4.0
DEADLINE_MS = 4000
#: Bytes of an upload, half of which are sent at its start.
BODY_BYTES = 200_000
PIPELINED = 3
STATUS = re.compile(rb'HTTP/1\.1 ([0-9]{3})')
#: Outcomes without a status: the connection was refused, or closed.
NOT_ACCEPTED, CLOSED = 0, -1
RELAYING_ZONES = ('zone-a', 'zone-a', 'zone-b')
REQUEST_SECONDS = 0.05
STOP_SECONDS = 6.0


@define
class Callers:
    """Callers with connections of their own, and how their requests ended."""

    platform: SmallPlatform
    began: float = Factory(trio.current_time)
    statuses_by_name: dict[str, list[int]] = Factory(dict)

    @property
    def address(self) -> Address:
        """Return the address of the instance that stops."""
        return Address.parse(self.platform.entries[0].settings.own.caller_address)

    async def upload(self, begins: float, ends: float) -> None:
        """Send the head and half of a body at one time, and the rest at another."""
        name = f'u{begins:g}-{ends:g}'
        head = (
            f'POST /p/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {name}\r\n'
            f'Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n'
        )
        half = b'x' * (BODY_BYTES // 2)
        await self._exchange(name, begins, ends, head.encode() + half, half)

    async def pipeline(self, at: float) -> None:
        """Send several requests at once on one connection."""
        heads = (
            f'GET /q/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p{at:g}-{number}\r\n'
            f'Deadline-Ms: {DEADLINE_MS}\r\n\r\n'
            for number in range(PIPELINED)
        )
        data = ''.join(heads).encode()
        await self._exchange(f'p{at:g}', at, at, data, b'', PIPELINED)

    async def _exchange(
        self,
        name: str,
        begins: float,
        ends: float,
        first: bytes,
        rest: bytes,
        answers: int = 1,
    ) -> None:
        await trio.sleep_until(self.began + begins)
        try:
            stream = await trio.open_tcp_stream(self.address.host, self.address.port)
        except OSError:
            self.statuses_by_name[name] = [NOT_ACCEPTED]
            return
        received = b''
        try:
            await stream.send_all(first)
            await trio.sleep_until(self.began + ends)
            await stream.send_all(rest)
            while len(STATUS.findall(received)) < answers:
                data = await stream.receive_some()
                if not data:
                    break
                received += data
        except trio.BrokenResourceError:
            pass
        self.statuses_by_name[name] = list(map(int, STATUS.findall(received)))


async def open_platform(platform: SmallPlatform) -> None:
    """Start servers of both services and an instance."""
    platform.store.put('config', 'main', config_spec(timeout=TIMEOUT_SECONDS))
    for number in range(4):
        service = 'one' if number else 'two'
        await platform.add_worker(
            f's{number}', service, slots=8, work_seconds=WORK_SECONDS
        )
    await platform.add_entry()


class StopTest(unittest.TestCase):
    """What was passed on before or in a stop is answered; the rest does not run."""

    def check(self, play: Callable[[Callers], list[Awaitable]]) -> Callers:
        """Play requests around a stop and return the callers."""
        kept: list[Callers] = []

        async def run(platform: SmallPlatform) -> None:
            await open_platform(platform)
            callers = Callers(platform, trio.current_time() + 1.0)
            kept.append(callers)
            async with trio.open_nursery() as nursery:
                for send, *times in play(callers):
                    nursery.start_soon(send, *times)
                await trio.sleep_until(callers.began)
                nursery.start_soon(platform.stop_entry)

        on_platform(run)
        return kept[0]

    def test_upload_that_is_under_way_as_the_stop_begins_is_not_cut(self):
        times = ((-0.5, 0.5), (-0.5, 2.0), (-0.5, 2.9), (-0.5, 4.0), (1.0, 3.5))
        callers = self.check(lambda it: [(it.upload, *each) for each in times])
        for name, statuses in callers.statuses_by_name.items():
            with self.subTest(name=name, statuses=statuses):
                self.assertEqual(callers.platform.runs(name), statuses.count(200))
        early = callers.statuses_by_name['u-0.5-0.5']
        self.assertEqual(early, [200])

    def test_pipelined_requests_that_were_passed_on_are_answered(self):
        times = (-0.2, 1.0, 2.5, 3.2, 4.5)
        callers = self.check(lambda it: [(it.pipeline, each) for each in times])
        for name, statuses in callers.statuses_by_name.items():
            ran = [
                number
                for number in range(PIPELINED)
                if callers.platform.runs(f'{name}-{number}')
            ]
            answered = [at for at, status in enumerate(statuses) if status == 200]
            with self.subTest(name=name, statuses=statuses):
                self.assertEqual(ran, answered)
        self.assertEqual(callers.statuses_by_name['p-0.2'], [200] * PIPELINED)


class RelayedStopTest(unittest.TestCase):
    """Relayed requests where the sender or the receiver stops."""

    def check(self, stopped: int) -> None:
        """Send requests to a lost instance while an instance stops."""

        async def run(platform: SmallPlatform) -> None:
            partitioned = PartitionedPlatform(platform)
            await partitioned.start(RELAYING_ZONES)
            await partitioned.lose(0)
            outcomes: dict[str, int] = {}
            async with trio.open_nursery() as nursery:
                nursery.start_soon(platform.stop_entry, stopped)
                for number in range(int(STOP_SECONDS / REQUEST_SECONDS)):
                    nursery.start_soon(send, platform, f'r{number}', outcomes)
                    await trio.sleep(REQUEST_SECONDS)
            allowed = {200, 503} if stopped else {200, 503, NOT_ACCEPTED}
            self.assertLessEqual(set(outcomes.values()), allowed)
            for name, status in outcomes.items():
                self.assertEqual(platform.runs(name), int(status == 200), name)
            self.assertGreater(list(outcomes.values()).count(200), 0)

        on_platform(run)

    def test_requests_of_a_lost_instance_are_not_cut_as_their_receiver_stops(self):
        self.check(1)

    def test_requests_of_a_lost_instance_are_not_cut_as_it_stops(self):
        self.check(0)


async def send(platform: SmallPlatform, name: str, outcomes: dict[str, int]) -> None:
    """Send a request that may run once to the first instance."""
    try:
        answer = await platform.send(
            'POST', '/p/x', request_id=name, deadline_ms=DEADLINE_MS
        )
        outcomes[name] = answer.status_code
    except httpx.ConnectError:
        outcomes[name] = NOT_ACCEPTED
    except httpx.HTTPError:
        outcomes[name] = CLOSED


if __name__ == '__main__':
    unittest.main()
