"""Callers with keep-alive connections, and the outcomes of their requests."""

from enum import Enum, auto, unique
from random import Random

import httpx
import trio
from attrs import Factory, define

from soak.world import Instance, World

DEADLINE_MS = 1200
ANSWER_SECONDS = 4.0
PAUSE_SECONDS = 0.03
NOT_RUN_STATUSES = (408, 421, 429, 503)


@unique
class Outcome(Enum):
    """The outcome of a request as its caller observed it."""

    ANSWERED = auto()
    NOT_RUN = auto()
    FAILED = auto()
    NOTHING = auto()


@define
class Request:
    """One request as its caller observed it; times are those of the trio clock."""

    request_id: str
    is_idempotent: bool
    instance: str
    sent_at: float
    outcome: Outcome | None = None
    status: int = 0
    ended_at: float = 0.0
    #: Seconds that the caller waits, as it declared.
    deadline: float = DEADLINE_MS / 1000


@define
class Callers:
    """Load generator that sends requests to all instances and records the outcomes."""

    world: World
    random: Random
    requests: list[Request] = Factory(list)
    violations: list[str] = Factory(list)
    count: int = 0
    #: Deadlines of the requests in milliseconds, one of which is drawn for each.
    deadlines_ms: tuple[int, ...] = (DEADLINE_MS,)

    async def run(self, callers: int) -> None:
        """Send requests from a number of callers until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in range(callers):
                instances = self.world.instances
                nursery.start_soon(self._call, instances[number % len(instances)])

    async def _call(self, instance: Instance) -> None:
        address = f'http://127.0.0.1:{instance.port_by_name["front"]}'
        async with httpx.AsyncClient(
            base_url=address, timeout=ANSWER_SECONDS, verify=False
        ) as client:
            while True:
                await self._send(client, instance)
                await trio.sleep(PAUSE_SECONDS * self.random.uniform(0.5, 1.5))

    async def _send(self, client: httpx.AsyncClient, instance: Instance) -> None:
        self.count += 1
        request = Request(
            f'r{self.count}',
            self.random.random() < 0.5,
            instance.name,
            trio.current_time(),
        )
        self.requests.append(request)
        deadline_ms = self.deadlines_ms[0]
        if len(self.deadlines_ms) > 1:
            deadline_ms = self.random.choice(self.deadlines_ms)
        request.deadline = deadline_ms / 1000
        headers = {
            'Host': 'a.example',
            'Request-Id': request.request_id,
            'Deadline-Ms': str(deadline_ms),
        }
        method, path = ('GET', '/q/x') if request.is_idempotent else ('POST', '/p/x')
        try:
            answer = await client.request(method, path, headers=headers)
        except httpx.HTTPError:
            request.outcome = Outcome.NOTHING
        else:
            self._record_answer(request, answer)
        request.ended_at = trio.current_time()

    def _record_answer(self, request: Request, answer: httpx.Response) -> None:
        request.status = answer.status_code
        if answer.is_success:
            request.outcome = Outcome.ANSWERED
            expected = f'answer to {request.request_id}'.encode()
            if answer.content != expected:
                self.violations.append(
                    f'{request.request_id} got a wrong answer: {answer.content[:60]}'
                )
        elif answer.status_code in NOT_RUN_STATUSES:
            request.outcome = Outcome.NOT_RUN
        else:
            request.outcome = Outcome.FAILED
