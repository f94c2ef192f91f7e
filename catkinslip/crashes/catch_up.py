"""Exchange of crashes that the store does not hold, with instances that started.

A crash report reaches the instances that serve at that time. Records are written later,
or not at all during an outage of the store, and an instance that starts then is in no
list. So an instance asks some others for what they know, and gets their reports.
"""

import logging
from collections.abc import Callable
from random import Random

import orjson
import trio
from attrs import Factory, define

from catkinslip.crashes.messages import CrashReport, reports_to_plain
from catkinslip.crashes.publisher import MAX_PENDING, MAX_REPORTS, SendDatagram
from catkinslip.crashes.registry import CrashRegistry
from catkinslip.crashes.suspect import VERDICT_SERVERS, Suspect
from catkinslip.models import Address

#: Number of instances that are asked at once.
QUERY_FANOUT = 3
#: Interval of queries: the first one, which doubles until an answer, and the longest.
FIRST_QUERY_SECONDS = 0.1
QUERY_SECONDS = 20.0
#: Time for which reports are also sent to an instance that asked; two queries may be
#: lost.
REQUESTER_SECONDS = 65.0

log = logging.getLogger('crashes')


@define
class CrashCatchUp:
    """Queries for crashes that the store does not hold, and the answers to them."""

    own_id: str
    own_address: Address
    registry: CrashRegistry
    random: Random
    #: Returns the addresses of the other instances that serve.
    serving: Callable[[], list[Address]]
    send: SendDatagram
    is_answered: bool = False
    #: End of the time for which reports are sent to an instance that asked.
    until_by_requester: dict[Address, float] = Factory(dict)

    async def run(self) -> None:
        """Ask for crashes until cancelled, more often until the first answer."""
        seconds = FIRST_QUERY_SECONDS
        while True:
            serving = self.serving()
            if serving:
                chosen = self.random.sample(serving, min(QUERY_FANOUT, len(serving)))
                query = {'ends-wanted': str(self.own_address), 'by': self.own_id}
                self.send(orjson.dumps(query), chosen)
                seconds = QUERY_SECONDS if self.is_answered else 2 * seconds
                seconds = min(seconds, QUERY_SECONDS)
            await trio.sleep(seconds * self.random.uniform(0.9, 1.1))

    def record_answer(self) -> None:
        """Record that reports of another instance arrived."""
        self.is_answered = True

    def targets(self) -> list[Address]:
        """Return the addresses that crash reports are sent to."""
        now = trio.current_time()
        for address, until in list(self.until_by_requester.items()):
            if now >= until:
                del self.until_by_requester[address]
        return list(dict.fromkeys([*self.serving(), *self.until_by_requester]))

    def receive_query(self, datagram: dict) -> None:
        """Answer a query; raise one of `messages.MALFORMED` if it is malformed."""
        requester = Address.parse_numeric(datagram['ends-wanted'])
        is_new = requester not in self.until_by_requester
        self.until_by_requester[requester] = trio.current_time() + REQUESTER_SECONDS
        reports = self._unsaved_reports()
        if is_new:
            log.info(
                'crashes: crashes sent to an instance that asked. instance=%s '
                'requests=%d',
                datagram['by'],
                len(reports),
            )
        for start in range(0, max(1, len(reports)), MAX_REPORTS):
            part = reports_to_plain(reports[start : start + MAX_REPORTS])
            answer = {'ends': part, 'by': self.own_id, 'answers': True}
            self.send(orjson.dumps(answer), [requester])

    def _unsaved_reports(self) -> list[CrashReport]:
        """Return the crashes that the store does not hold, the most severe first."""
        unsaved = [it for it in self.registry.suspect_by_key.values() if it.unsaved]
        unsaved.sort(key=lambda each: -each.server_count)
        return [report_of(each) for each in unsaved[:MAX_PENDING]]


def report_of(suspect: Suspect) -> CrashReport:
    """Return the report of the last servers that crashed during a request."""
    last = list(suspect.record.query_by_server.items())[-VERDICT_SERVERS:]
    return CrashReport(suspect.record.key, dict(last))
