"""The exchange of member records and topic updates with peers over HTTP."""

import logging
from collections.abc import Awaitable, Callable
from random import Random

import httpx
import orjson
import trio
from attrs import Factory, define

from catkinslip.clock import Clock, SystemClock
from catkinslip.membership.contacts import Contacts
from catkinslip.membership.members import Member, MemberTable, Status
from catkinslip.membership.messages import (
    ExchangeMessage,
    ProbeAnswer,
    ProbeRequest,
    converter,
)
from catkinslip.membership.protocol import PeerProtocol
from catkinslip.membership.topics import PeerTopic
from catkinslip.store.base import ListedInstance

PATH = '/v1/exchange'
PROBE_PATH = '/v1/probe'
PING_PATH = '/v1/ping'
JSON_HEADERS = {'Content-Type': 'application/json'}

#: Pause after each gossip, in rounds: urgent updates that arrive within this time are
#: sent together.
GOSSIP_PAUSE_ROUNDS = 0.2
#: Seconds beyond the timeouts after which this process is assumed to have been paused
#: during a probe, so that the outcome of the probe is ignored.
PAUSE_SLACK_SECONDS = 1.0

ListReader = Callable[[], Awaitable[list[ListedInstance] | None]]

log = logging.getLogger('membership')


@define
class PeerExchange:
    """The exchange of one instance with its peers, with failure detection."""

    members: MemberTable
    topic_by_name: dict[str, PeerTopic]
    client: httpx.AsyncClient
    random: Random
    seeds: tuple[str, ...] = ()
    clock: Clock = Factory(SystemClock)
    interval: float = 1.0
    timeout: float = 1.0
    protocol: PeerProtocol = Factory(
        lambda self: PeerProtocol(
            self.members, self.topic_by_name, self.random, self.interval
        ),
        takes_self=True,
    )
    contacts: Contacts = Factory(
        lambda self: Contacts(self.members, self.seeds, self.random), takes_self=True
    )
    _gossip_requested: trio.Event = Factory(trio.Event)

    async def run(self, read_list: ListReader) -> None:
        """Exchange with peers and read the instance list until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._gossip_when_requested)
            nursery.start_soon(self._read_list_when_due, read_list)
            while True:
                await self.run_once()
                await self._pause()

    async def run_once(self) -> None:
        """Run one round of exchanges with peers and with due contact addresses."""
        now = self.clock.monotonic()
        detector = self.protocol.detector
        detector.tick(now)
        async with trio.open_nursery() as nursery:
            for target in detector.next_targets(now):
                nursery.start_soon(self._probe, target)
            for control_address in self.contacts.due(now):
                nursery.start_soon(self.exchange_with, control_address)

    def gossip_soon(self) -> None:
        """Request gossip before the next round, for updates that cannot wait for it."""
        self._gossip_requested.set()

    async def gossip(self) -> None:
        """Exchange with several random peers now."""
        targets = self.protocol.detector.gossip_targets(self.clock.monotonic())
        async with trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(self.exchange_with, target.control_address, target)

    async def announce_leaving(self) -> None:
        """Notify several peers that this instance is leaving."""
        self.members.mark_leaving()
        await self.gossip()

    async def announce_stopped(self) -> None:
        """Notify several peers that this instance has stopped."""
        self.members.mark_stopped()
        with trio.move_on_after(self.timeout):
            await self.gossip()

    async def exchange_with(
        self, control_address: str, target: Member | None = None
    ) -> bool:
        """Exchange with one peer; return whether the peer answered."""
        request = self.protocol.request(self.clock.monotonic(), target)
        answer = await self._post(control_address, PATH, request, ExchangeMessage)
        if answer is None:
            return False
        missing = self.protocol.apply_answer(request, answer, self.clock.monotonic())
        self._gossip_urgent()
        if missing is not None:
            await self._post(control_address, PATH, missing, ExchangeMessage)
        return True

    def receive(self, message: ExchangeMessage) -> ExchangeMessage:
        """Apply a peer's message and return the answer to it."""
        answer = self.protocol.answer(message, self.clock.monotonic())
        self._gossip_urgent()
        return answer

    async def probe_for_peer(self, request: ProbeRequest) -> ProbeAnswer:
        """Ping an instance on behalf of a peer; return whether it was reached."""
        try:
            response = await self.client.get(
                f'http://{request.control_address}{PING_PATH}', timeout=self.timeout / 2
            )
        except (httpx.HTTPError, httpx.InvalidURL):
            return ProbeAnswer(False)
        return ProbeAnswer(response.is_success)

    async def _probe(self, target: Member) -> None:
        began = self.clock.monotonic()
        if await self.exchange_with(target.control_address, target):
            return
        if self._was_paused(began) or target.status is Status.FAILED:
            return
        now = self.clock.monotonic()
        if target.zone not in self.protocol.detector.probe_group_zones(now):
            return
        if await self._is_reached_by_others(target) or self._was_paused(now):
            return
        if self.protocol.detector.suspect(target, self.clock.monotonic()):
            log.warning(
                'membership: member suspected, no probe reached it. member=%s',
                target.member_id,
            )
            self.gossip_soon()

    async def _is_reached_by_others(self, target: Member) -> bool:
        request = ProbeRequest(target.control_address)
        answers: list[ProbeAnswer | None] = []

        async def probe_through(helper: Member) -> None:
            answers.append(
                await self._post(
                    helper.control_address, PROBE_PATH, request, ProbeAnswer
                )
            )

        async with trio.open_nursery() as nursery:
            for helper in self.protocol.detector.helpers(
                target, self.clock.monotonic()
            ):
                nursery.start_soon(probe_through, helper)
        return any(each is not None and each.reached for each in answers)

    def _was_paused(self, began: float) -> bool:
        return self.clock.monotonic() - began > 2 * self.timeout + PAUSE_SLACK_SECONDS

    async def _post(self, control_address: str, path: str, message, answer_type):
        try:
            response = await self.client.post(
                f'http://{control_address}{path}',
                content=orjson.dumps(converter.unstructure(message)),
                headers=JSON_HEADERS,
                timeout=self.timeout,
            )
            response.raise_for_status()
            return converter.structure(orjson.loads(response.content), answer_type)
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            log.debug('membership: no answer. peer=%s error=%r', control_address, error)
        except Exception:
            # A malformed answer is treated like a missing one.
            log.exception('membership: malformed answer. peer=%s', control_address)
        return None

    def _gossip_urgent(self) -> None:
        if self.protocol.has_urgent_updates:
            self.protocol.has_urgent_updates = False
            self.gossip_soon()

    async def _gossip_when_requested(self) -> None:
        while True:
            await self._gossip_requested.wait()
            self._gossip_requested = trio.Event()
            await self.gossip()
            await trio.sleep(self.interval * GOSSIP_PAUSE_ROUNDS)

    async def _read_list_when_due(self, read_list: ListReader) -> None:
        while True:
            now = self.clock.monotonic()
            is_gateway = self.protocol.detector.is_gateway(now)
            if self.contacts.is_list_due(now, is_gateway):
                listed = await read_list()
                if listed is not None:
                    self.contacts.apply_list(listed)
            await self._pause()

    async def _pause(self) -> None:
        await trio.sleep(self.interval * self.random.uniform(0.9, 1.1))
