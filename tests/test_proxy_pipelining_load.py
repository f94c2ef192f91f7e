"""Pipelined requests under random loads, and behind the forwarder with its attempts."""

import unittest
from random import Random

import h11
import trio
import trio.testing
from attrs import Factory, define
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinslip.clock import Clock, SystemClock
from catkinslip.limits.base import LimitSettings
from catkinslip.metrics.pipelining import PipelineMetrics
from catkinslip.proxy.observer import RequestObserver
from catkinslip.proxy.outcomes import Answered, Outcome
from tests.builders import caller_server
from tests.pipeline_builders import CallerConnection, answer_events, get, post
from tests.test_limits_attempts import (
    HEDGE_DELAY,
    SCRIPTS,
    SLOW,
    ScriptedPool,
    make_forwarder,
)

MAX_REQUESTS = 4
CONNECTIONS = 20
REQUESTS = 40
SEED = 11


@define
class EndCounter(RequestObserver):
    """Observer that records how each request ended."""

    outcomes_by_id: dict[str, list[Outcome]] = Factory(dict)

    def on_server_chosen(self, call, choice, number) -> None:
        """Ignore the choice."""

    def on_attempt_ended(self, call, backend_id, outcome, seconds) -> None:
        """Ignore the attempt."""

    def on_request_ended(self, call, outcome, seconds) -> None:
        """Record an outcome."""
        self.outcomes_by_id.setdefault(call.request_id, []).append(outcome)


@define
class OverlapForwarder:
    """Forwarder that answers after a random time and checks what runs side by side."""

    random: Random
    clock: Clock = Factory(SystemClock)
    running_by_connection: dict[str, dict[str, bool]] = Factory(dict)
    most: int = 0
    faults: list[str] = Factory(list)

    async def forward(self, call, caller):
        """Answer with the path of the call."""
        path = call.target.decode()
        running = self.running_by_connection.setdefault(path.split('/')[1], {})
        if not all([call.repeatable, *running.values()]) and running:
            self.faults.append(f'{path} ran beside {list(running)}')
        running[path] = call.repeatable
        self.most = max(self.most, len(running))
        await trio.sleep(self.random.choice((0.0, 0.0, 0.001, 0.004)))
        del running[path]
        for event in answer_events(path.encode()):
            await caller.send(event)
        return Answered(200)


async def send_in_parts(stream, data: bytes, random: Random) -> None:
    """Send data in parts of random sizes, some of them later."""
    while data:
        size = random.choice((1, 30, 70, 500, 5000))
        await stream.send_all(data[:size])
        data = data[size:]
        await trio.sleep(random.choice((0.0, 0.0, 0.0, 0.002)))


class RandomLoadTest(unittest.TestCase):
    """Many connections with random requests, sizes of reads and times."""

    def test_order_barriers_and_bounds_hold(self):
        # Guards against races between the reading of requests and their answering.
        forwarder = OverlapForwarder(Random(SEED))
        server = caller_server(forwarder, max_pipelined_requests=MAX_REQUESTS)

        async def call(port: int, name: int) -> None:
            random = Random(f'{SEED} {name}')
            paths = [f'/{name}/{number}' for number in range(REQUESTS)]
            makers = random.choices((get, post), (5, 1), k=REQUESTS)
            data = b''.join(
                maker(path) for maker, path in zip(makers, paths, strict=True)
            )
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_in_parts, stream, data, random)
                caller = CallerConnection(stream)
                for path in paths:
                    self.assertEqual(await caller.read_bodies(1), [path])
            await stream.aclose()

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
                port = listeners[0].socket.getsockname()[1]
                with trio.fail_after(30):
                    async with trio.open_nursery() as callers:
                        for name in range(CONNECTIONS):
                            callers.start_soon(call, port, name)
                    while server.connections:
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual(forwarder.faults, [])
        self.assertEqual(forwarder.most, MAX_REQUESTS)
        self.assertEqual(server.pipelines.instance.held, 0)


@define
class Run:
    """What became of pipelined requests with scripted servers behind them."""

    received: bytes
    server: object
    observer: EndCounter
    pool: ScriptedPool
    forwarder: object


def run_scripts(scripts: list[str], count: int) -> Run:
    """Send pipelined requests to scripted servers, on a virtual clock."""

    async def main() -> Run:
        async with trio.open_nursery() as nursery:
            pool = ScriptedPool(nursery, scripts)
            forwarder = make_forwarder(pool, LimitSettings())
            nursery.start_soon(forwarder.hedges.run)
            router = forwarder.directory.router_by_service['limits']
            service = forwarder.limits.limits_of('limits', router, 0.0)
            service.budget.tokens = 20.0
            service.latency.value = HEDGE_DELAY
            server = caller_server(forwarder, max_pipelined_requests=8)
            server.observer = observer = EndCounter()
            nursery.start_soon(server.run)
            await trio.testing.wait_all_tasks_blocked()
            near, far = trio.testing.memory_stream_pair()
            nursery.start_soon(server.serve, near)
            requests = [
                get('/a', f'Catkinslip-Request-Id: id-{n}', 'Catkinslip-Timeout: 2')
                for n in range(count)
            ]
            await far.send_all(b''.join(requests))
            received = b''
            with trio.move_on_after(20):
                while data := await far.receive_some(65536):
                    received += data
            await far.aclose()
            await trio.sleep(5)
            nursery.cancel_scope.cancel()
        return Run(received, server, observer, pool, forwarder)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def read_answers(data: bytes) -> tuple[list[h11.Response], bool]:
    """Return the heads of whole answers, and whether an unfinished one follows."""
    responses = []
    while data:
        codec = h11.Connection(h11.CLIENT)
        codec.send(h11.Request(method='GET', target='/', headers=[('host', 'a')]))
        codec.send(h11.EndOfMessage())
        codec.receive_data(data)
        events = []
        while type(event := codec.next_event()) in (h11.Response, h11.Data):
            events.append(event)
        if type(event) is not h11.EndOfMessage:
            return responses, True
        responses.append(events[0])
        data = codec.trailing_data[0]
    return responses, False


class AttemptsTest(unittest.TestCase):
    """Retries, hedges and failures of pipelined requests."""

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(
        st.lists(st.sampled_from(SCRIPTS), min_size=1, max_size=6), st.integers(1, 6)
    )
    def test_answers_are_whole_in_order_and_of_their_own_request(self, scripts, count):
        # Guards against crossed or unfinished answers that look complete, requests that
        # end twice or never, and servers whose slots stay counted as in use.
        run = run_scripts(scripts, count)
        responses, is_cut = read_answers(run.received)
        ids = [
            dict(each.headers)[b'catkinslip-request-id'].decode() for each in responses
        ]
        self.assertEqual(ids, [f'id-{n}' for n in range(len(ids))])
        if not is_cut:
            self.assertEqual(len(ids), count)
        outcomes_by_id = run.observer.outcomes_by_id
        self.assertEqual({len(each) for each in outcomes_by_id.values()}, {1})
        for response, request_id in zip(responses, ids, strict=True):
            (outcome,) = outcomes_by_id[request_id]
            is_answered = isinstance(outcome, Answered)
            self.assertEqual(is_answered, response.status_code == 200)
        self.assertEqual(run.server.pipelines.instance.held, 0)
        self.assertEqual(run.pool.in_use, 0)
        router = run.forwarder.directory.router_by_service['limits']
        self.assertEqual({load.in_flight for load in router.load_by_id.values()}, {0})

    def test_a_pipelined_request_is_retried_and_hedged(self):
        # Guards against requests that lose their further attempts behind another.
        for scripts in (
            ['answer', 'shed', 'answer'],
            ['slow', 'slow', 'answer', 'answer'],
        ):
            with self.assertLogs('request', 'INFO') as logs:
                run = run_scripts(scripts, 2)
            responses, _ = read_answers(run.received)
            self.assertEqual([each.status_code for each in responses], [200, 200])
            self.assertEqual(run.pool.reached, scripts)
            (line,) = (each for each in logs.output if 'id-1' in each)
            self.assertIn('ended as answered with 200', line)
            ended_ms = float(line.partition(' ms=')[2].split()[0])
            self.assertLess(ended_ms, SLOW * 1e3)

    def test_the_counts_are_metrics(self):
        # Guards against counts that no page shows.
        run = run_scripts(['slow'], 3)
        families = PipelineMetrics(run.server.pipelines).families()
        value_by_name = {each.name: each.samples[0].value for each in families}
        self.assertEqual(
            value_by_name,
            {
                'catkinslip_pipelined_requests_total': 2,
                'catkinslip_pipelined_held_bytes': 0,
            },
        )


if __name__ == '__main__':
    unittest.main()
