"""An instance kept sending requests to a server that had requested a rest period."""

import unittest
from collections import Counter

import trio

from standins.workers import Fault
from tests.small_platform import SmallPlatform, on_platform

CALLERS = 12
WORK_SECONDS = 0.02
REST_SECONDS = 3.0
#: Seconds in which requests that were already on their way may still arrive.
ON_THE_WAY_SECONDS = 0.5
MAX_IN_REST = 2
LOAD_SECONDS = 5.0


async def call_repeatedly(
    platform: SmallPlatform, statuses: Counter, name: str
) -> None:
    """Send one request after the other without end."""
    count = 0
    while True:
        count += 1
        answer = await platform.send('POST', '/p/a', request_id=f'{name}-{count}')
        statuses[answer.status_code] += 1


async def call_for(platform: SmallPlatform, seconds: float) -> Counter:
    """Send requests from several callers for some seconds, and return the statuses."""
    statuses: Counter = Counter()
    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            name = f'r{number}-{trio.current_time():.3f}'
            nursery.start_soon(call_repeatedly, platform, statuses, name)
        await trio.sleep(seconds)
        nursery.cancel_scope.cancel()
    return statuses


def most_in_rest(arrived_at: list[float]) -> int:
    """Return the greatest number of arrivals in the rest period after an arrival."""
    return max(
        sum(
            at + ON_THE_WAY_SECONDS <= other < at + REST_SECONDS for other in arrived_at
        )
        for at in arrived_at
    )


class IncidentTest(unittest.TestCase):
    """Requests to a server that refuses all of them and requests a rest period."""

    def test_server_that_asked_for_rest_is_left_alone_while_it_lasts(self):
        async def check(platform):
            for number in range(3):
                await platform.add_worker(f'i-{number}', work_seconds=WORK_SECONDS)
            await platform.add_entry()
            await call_for(platform, 0.5)
            worker = platform.worker_by_id['i-0']
            worker.fault, worker.rest = Fault.SHED, b'%g' % REST_SECONDS
            began = trio.current_time()
            statuses = await call_for(platform, LOAD_SECONDS)
            arrived_at = [at for at in worker.arrived_at if at >= began]
            self.assertGreaterEqual(len(arrived_at), 1)
            self.assertLessEqual(most_in_rest(arrived_at), MAX_IN_REST)
            # The other servers answer the remaining requests.
            self.assertGreater(statuses[200], statuses.total() * 0.9)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()
