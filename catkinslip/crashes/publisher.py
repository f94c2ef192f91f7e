"""Datagrams that report crashed servers to instances in all zones within milliseconds.

Each datagram is sent twice, as some are lost. An instance that receives neither reads
the crashes from the store once two servers crashed.
"""

import logging
from collections.abc import Callable

import orjson
import trio
from attrs import Factory, define

from catkinslip.clock import Clock
from catkinslip.crashes.guard import CrashListener
from catkinslip.crashes.identity import RequestKey
from catkinslip.crashes.messages import (
    CrashReport,
    reports_from_plain,
    reports_to_plain,
)
from catkinslip.crashes.registry import CrashRegistry
from catkinslip.crashes.suspect import VERDICT_SERVERS
from catkinslip.models import Address

#: Maximum number of reports in a datagram. A report takes at most 210 bytes; a datagram
#: stays below one packet of 1,500 bytes.
MAX_REPORTS = 6
#: Maximum number of requests that wait to be reported; if a rack fails during more of
#: them, the crashes are no evidence.
MAX_PENDING = 60
#: Seconds between two datagrams: each serving instance receives at most 20 of them a
#: second from one instance, each twice, 50 kB in its worst second.
FLUSH_SECONDS = 0.05
#: Seconds after which a datagram is sent again.
REPEAT_SECONDS = 0.1

log = logging.getLogger('crashes')

SendDatagram = Callable[[bytes, list[Address]], None]


def ignore_answer() -> None:
    """Do nothing after an answer."""


@define
class CrashPublisher(CrashListener):
    """Exchange of crash reports with other instances by datagrams."""

    #: ID of this instance, which its datagrams carry.
    own_id: str
    registry: CrashRegistry
    clock: Clock
    #: Returns the addresses of the other instances that serve.
    targets: Callable[[], list[Address]]
    #: Sends a datagram to several addresses.
    send: SendDatagram
    #: Called after the answer to a query for crashes was applied.
    on_answer: Callable[[], None] = ignore_answer
    #: Crashes to report: the query that each server ran, by request.
    query_by_server_by_key: dict[RequestKey, dict[str, str]] = Factory(dict)
    #: Set while there are crashes to report.
    has_updates: trio.Event = Factory(trio.Event)

    def on_crash(self, key: RequestKey, query_by_server: dict[str, str]) -> None:
        """Queue the last servers that crashed during a request for a datagram."""
        pending = self.query_by_server_by_key
        if len(pending) >= MAX_PENDING and key not in pending:
            log.info('crashes: too many requests wait to be reported. request=%s', key)
            return
        pending[key] = dict(list(query_by_server.items())[-VERDICT_SERVERS:])
        self.has_updates.set()

    async def run(self) -> None:
        """Send datagrams with crash reports until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self.has_updates.wait()
                data = self._pop_datagram()
                self.send(data, self.targets())
                nursery.start_soon(self._repeat, data)
                await trio.sleep(FLUSH_SECONDS)

    async def _repeat(self, data: bytes) -> None:
        await trio.sleep(REPEAT_SECONDS)
        self.send(data, self.targets())

    def _pop_datagram(self) -> bytes:
        pending = self.query_by_server_by_key
        reports = [
            CrashReport(key, pending.pop(key)) for key in list(pending)[:MAX_REPORTS]
        ]
        if not pending:
            self.has_updates = trio.Event()
        return orjson.dumps({'ends': reports_to_plain(reports), 'by': self.own_id})

    def apply_datagram(self, datagram: dict) -> None:
        """Apply a datagram; raise one of `messages.MALFORMED` if it is malformed."""
        peer = str(datagram['by'])
        for each in reports_from_plain(datagram['ends']):
            crashes = each.query_by_server
            if not 1 <= len(crashes) <= VERDICT_SERVERS:
                raise ValueError(
                    f'a crash report has {len(crashes)} servers, allowed are 1 to 3'
                )
            self.registry.apply_peer_report(
                each.key, crashes, self.clock.monotonic(), peer
            )
        if 'answers' in datagram:
            self.on_answer()
