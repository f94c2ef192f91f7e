"""Tell instances in all zones within milliseconds of servers that ended.

Each datagram goes out twice, as some are lost. Whoever got none learns from the store
once two servers ended.
"""

import logging
from collections.abc import Callable

import orjson
import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.crashes.book import CrashBook
from catkinslip.crashes.guard import CrashListener
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.messages import ToldEnds, ends_from_plain, ends_to_plain
from catkinslip.crashes.suspect import GUILTY_SERVERS
from catkinslip.models import Address

#: At most 210 bytes each; a datagram stays below one packet of 1,500 bytes.
MOST_TOLD = 6
#: Requests that wait to be told; a rack that fails under more has nothing to tell.
MOST_WAITING = 60
#: Between two datagrams: those that serve get at most 20 of them a second from one
#: instance, each twice, 50 kB in its worst second.
FLUSH_SECONDS = 0.05
REPEAT_SECONDS = 0.1

log = logging.getLogger('crashes')

Post = Callable[[bytes, list[Address]], None]


@define
class CrashTeller(CrashListener):
    """Send what this instance saw, and take what others did."""

    own_id: str
    book: CrashBook
    clock: Clock
    targets: Callable[[], list[Address]]
    post: Post
    query_by_server_by_key: dict[RequestKey, dict[str, str]] = Factory(dict)
    has_news: trio.Event = Factory(trio.Event)

    def saw_end(self, key: RequestKey, query_by_server: dict[str, str]) -> None:
        """Learn of all servers that ended under a request, as known here."""
        waiting = self.query_by_server_by_key
        if len(waiting) >= MOST_WAITING and key not in waiting:
            log.info('crashes: too many ends wait to be told. request=%s', key)
            return
        waiting[key] = dict(list(query_by_server.items())[-GUILTY_SERVERS:])
        self.has_news.set()

    async def run(self) -> None:
        """Send news until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.has_news.wait()
                data = self._take_datagram()
                self.post(data, self.targets())
                nursery.start_soon(self._repeat, data)
                await trio.sleep(FLUSH_SECONDS)

    async def _repeat(self, data: bytes) -> None:
        await trio.sleep(REPEAT_SECONDS)
        self.post(data, self.targets())

    def _take_datagram(self) -> bytes:
        waiting = self.query_by_server_by_key
        told = [ToldEnds(key, waiting.pop(key)) for key in list(waiting)[:MOST_TOLD]]
        if not waiting:
            self.has_news = trio.Event()
        return orjson.dumps({'ends': ends_to_plain(told), 'by': self.own_id})

    def take(self, told: dict) -> None:
        """Take over a datagram; raise one of `messages.MALFORMED` for another one."""
        teller = str(told['by'])
        for each in ends_from_plain(told['ends']):
            ends = each.query_by_server
            if not 1 <= len(ends) <= GUILTY_SERVERS:
                raise ValueError(f'{len(ends)} servers are told of one request')
            self.book.heard(each.key, ends, self.clock.monotonic(), teller)
