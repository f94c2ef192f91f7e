"""Planned work only: instances stop in series, beside signals and changes of rules."""

import re
import signal
from collections.abc import Awaitable, Callable, Collection, Iterable, Iterator

import trio
from attrs import Factory, define, frozen

from soak.callers import Callers, Outcome, Request
from soak.faults import FaultPlayer
from soak.world import STOP_SECONDS, Instance

#: A request that was sent no later than this after SIGTERM may be cut in the last sixth
#: of the grace period.
EXCUSED_SECONDS = 3.0
LAST_SIXTH_SECONDS = STOP_SECONDS * 5 / 6
#: A request that was read and not passed on is answered within this time.
LOST_SLACK_SECONDS = 0.2
#: The line in an instance's log of a request that it has read.
READ_LINE = re.compile(r' request: (r\d+) ')
#: Timeout of the routes in the configuration.
TIMEOUT_SECONDS = 1.5
#: Time from the grace period's end until a cut counts as one of the stop.
AFTER_GRACE_SECONDS = 1.0
#: Deadlines of the callers, in milliseconds; the timeout of the route ends some sooner.
DEADLINES_MS = (400, 1200, 3000)
#: Usual work of a server, long enough that most callers always wait for an answer, and
#: that of a slowed one in percent of it.
WORK_SECONDS = 0.3
SLOW_PERCENTS = (150, 300, 450)


@frozen
class Stop:
    """A stop of an instance, begun at a time of the trio clock."""

    name: str
    began: float

    def covers(self, at: float) -> bool:
        """Return whether a cut at a time belongs to this stop."""
        return self.began <= at <= self.began + STOP_SECONDS + AFTER_GRACE_SECONDS


@define
class StopPlayer(FaultPlayer):
    """Player of stops, further signals, changes of rules and slow servers."""

    stops: list[Stop] = Factory(list)

    def _faults(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        return (
            self.stop,
            self.stop,
            self.stop,
            self.hang_up,
            self.signal_again,
            self.change_config,
            self.slow_worker,
        )

    async def stop(self) -> None:
        """Stop an instance as the platform does: SIGTERM, then SIGKILL."""
        instance = self._instance()
        if instance is None:
            return
        self.stops.append(Stop(instance.name, trio.current_time()))
        instance.send(signal.SIGTERM, 'stopped')
        with trio.move_on_after(STOP_SECONDS):
            await self._wait_for_end(instance)
        instance.send(signal.SIGKILL)
        await self._restart(instance)

    async def signal_again(self) -> None:
        """Send a further SIGTERM or SIGHUP to an instance that stops, if one does."""
        stopping = [each for each in self.world.instances if each.exit_reason]
        if stopping:
            number = self.world.random.choice((signal.SIGTERM, signal.SIGHUP))
            self.world.random.choice(stopping).send(number)

    async def slow_worker(self) -> None:
        """Slow a server down for a while, so that requests last long in a stop."""
        worker = self.world.random.choice(list(self.world.worker_by_id.values()))
        worker.percent = self.world.random.choice(SLOW_PERCENTS)
        await self._wait_for_short_time()
        worker.percent = 100

    async def run(self, seconds: float) -> None:
        """Play planned work for some seconds, then wait until all has ended."""
        workers = self.world.worker_by_id.values()
        usual_seconds = [worker.work_seconds for worker in workers]
        for worker in workers:
            worker.work_seconds = WORK_SECONDS
        await super().run(seconds)
        for worker, seconds_before in zip(workers, usual_seconds, strict=True):
            worker.work_seconds = seconds_before

    def _instance(self) -> Instance | None:
        """Return an instance that does not stop; all may stop at the same time."""
        free = [each for each in self.world.instances if not each.exit_reason]
        return self.world.random.choice(free) if free else None


def find_lost(
    callers: Callers, stops: list[Stop], read_ids: Collection[str]
) -> Iterator[str]:
    """Yield the requests that a stop cut or left without an answer.

    `read_ids` are the IDs of the requests that an instance has read.
    """
    for request in callers.requests:
        runs = callers.world.runs(request.request_id)
        if runs and is_unanswered(request) and not is_excused(request, stops):
            yield (
                f'{request.request_id} at {request.instance} ran and was cut '
                f'{request.ended_at - request.sent_at:.2f} s after it was sent, '
                f'{describe(request, stops)}'
            )
        if not runs and request.request_id in read_ids and is_held(request):
            yield (
                f'{request.request_id} at {request.instance} was held '
                f'{request.ended_at - request.sent_at:.2f} s and not answered, '
                f'{describe(request, stops)}'
            )


def is_unanswered(request: Request) -> bool:
    """Return whether no server's answer reached the caller of a request."""
    return request.outcome in (Outcome.NOTHING, Outcome.FAILED)


def is_held(request: Request) -> bool:
    """Return whether the connection of a request ended late and without an answer."""
    is_late = request.ended_at - request.sent_at > LOST_SLACK_SECONDS
    return request.outcome is Outcome.NOTHING and is_late


def find_read_ids(instances: Iterable[Instance]) -> frozenset[str]:
    """Return the IDs of the requests whose end instances have logged."""
    return frozenset(
        request_id
        for instance in instances
        for request_id in READ_LINE.findall(instance.log_path.read_text())
    )


def is_excused(request: Request, stops: list[Stop]) -> bool:
    """Return whether a request may be cut: it lasted too long, or was sent early."""
    seconds = request.ended_at - request.sent_at
    if seconds >= min(request.deadline, TIMEOUT_SECONDS):
        return True
    stop = find_stop(request, stops)
    if stop is None:
        return False
    is_early = request.sent_at <= stop.began + EXCUSED_SECONDS
    return is_early and request.ended_at >= stop.began + LAST_SIXTH_SECONDS


def find_stop(request: Request, stops: list[Stop]) -> Stop | None:
    """Return the stop of a request's instance in which the request ended."""
    for stop in stops:
        if stop.name == request.instance and stop.covers(request.ended_at):
            return stop
    return None


def describe(request: Request, stops: list[Stop]) -> str:
    """Return when a request was sent and ended in a stop, as text."""
    stop = find_stop(request, stops)
    if stop is None:
        return 'in no stop'
    sent, ended = request.sent_at - stop.began, request.ended_at - stop.began
    return f'sent {sent:.2f} s and ended {ended:.2f} s after SIGTERM'
