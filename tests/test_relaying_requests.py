"""Requests that one instance relays to another, as callers and servers see them."""

import unittest
from collections.abc import Callable

import trio

from standins.workers import Fault
from tests.partitions import Cut, PartitionedPlatform
from tests.small_platform import on_platform, wait_for
from tests.workspace_builders import KEY, OTHER_KEY, two_workspaces

#: A request that no instance can send is refused well within its deadline of 2 s.
AT_ONCE_SECONDS = 0.5
RELAYED = 'catkinslip-relayed'


class RelayedRequestTest(unittest.TestCase):
    """Requests at an instance without paths to any server."""

    def test_relayed_request_reaches_one_server_unchanged(self):
        async def check(platform):
            await platform.lose(0)
            answer = await platform.platform.send(
                'POST', '/p/x?y=1', content=b'body', headers={'X-Own': 'kept'}
            )
            self.assertEqual(
                (answer.status_code, answer.content), (200, b'answer to r1')
            )
            self.assertEqual(answer.headers['response-signature'], 'signed-r1')
            self.assertNotIn(RELAYED, answer.headers)
            workers = platform.platform.worker_by_id.values()
            head, *others = [head for worker in workers for head in worker.heads]
            self.assertEqual(others, [])
            headers = {name.decode(): value for name, value in head.headers}
            self.assertEqual(head.target, b'/p/x?y=1')
            self.assertEqual(headers['x-own'], b'kept')
            self.assertNotIn(RELAYED, headers)
            self.assertLessEqual(int(headers['deadline-ms']), 1500)
            bodies = [body for worker in workers for body in worker.bodies]
            self.assertEqual(bodies, [b'body'])

        run(check)

    def test_sender_did_not_read_in_relayed_answers_that_a_server_leaves(self):
        # DRAIN: it sent requests there as soon as its own paths were back.
        async def check(platform):
            await platform.lose(0)
            workers = platform.platform.worker_by_id.values()
            for worker in workers:
                worker.work_seconds = 0.3
            answers = []

            async def call():
                answers.append(await platform.platform.get())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await wait_for(lambda: any(worker.running for worker in workers))
                [server] = [worker for worker in workers if worker.running]
                server.is_leaving = True
            self.assertEqual(answers[0].headers['server-leaving'], '1')
            self.assertNotIn(f'{RELAYED}-server', answers[0].headers)
            sender = platform.platform.entries[0]
            self.assertEqual(sender.sampler.health.leaving_ids(), [server.server_id])

        run(check)

    def test_no_connection_to_the_receiver_is_kept(self):
        async def check(platform):
            await platform.lose(0)
            for number in range(3):
                await platform.platform.get(request_id=f'r{number}')
            relays = platform.platform.entries[0].relaying.forwarder.pool
            kept = relays.connections_by_address.values()
            self.assertEqual([(each.in_use, each.idle) for each in kept], [(0, [])])

        run(check)

    def test_request_is_relayed_over_one_hop_only(self):
        # Each of two lost instances took the other for one that reaches the servers.
        async def check(platform):
            await platform.lose(0)
            await platform.lose(1)
            began = trio.current_time()
            answer = await platform.platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            self.assertIn('retry-after', answer.headers)
            self.assertLess(trio.current_time() - began, AT_ONCE_SECONDS)
            accepted = [
                entry.relaying.forwarder.accepted for entry in platform.platform.entries
            ]
            self.assertLessEqual(sum(accepted), 1)

        run(check, instances=2)

    def test_request_goes_to_another_instance_if_the_first_is_lost_too(self):
        async def check(platform):
            await platform.lose(0)
            await platform.lose(1)
            for number in range(6):
                answer = await platform.platform.get(request_id=f'r{number}')
                self.assertEqual(answer.status_code, 200)

        run(check, instances=3)

    def test_request_with_a_forged_header_does_not_run(self):
        async def check(platform):
            forged = '{"token":"x","sender":"edge-2","rules_version":1,"service":"one"}'
            for value in (forged, '', '[]', 'not json'):
                answer = await platform.platform.get(headers={RELAYED: value})
                self.assertEqual(answer.status_code, 503)
            self.assertEqual(platform.platform.runs(), 0)

        run(check, instances=1)

    def test_key_never_leaves_the_instance_and_the_workspace_is_kept(self):
        async def check(platform):
            platform.platform.store.put('config', 'main', two_workspaces('0000000b'))
            entries = platform.platform.entries
            await wait_for(lambda: all(e.assembler.rules_version > 10 for e in entries))
            await platform.lose(0)
            answer = await platform.platform.get(headers={'X-Api-Key': KEY})
            self.assertEqual(answer.status_code, 200)
            answer = await platform.platform.get(request_id='r2')
            self.assertEqual(answer.status_code, 401)
            workers = platform.platform.worker_by_id.values()
            heads = [head for worker in workers for head in worker.heads]
            text = repr([head.headers for head in heads])
            self.assertEqual(len(heads), 1)
            self.assertNotIn(KEY, text)
            self.assertNotIn(OTHER_KEY, text)
            self.assertIn('acme', text)

        run(check)

    def test_caller_that_leaves_ends_the_run_at_the_server(self):
        async def check(platform):
            workers = platform.platform.worker_by_id.values()
            for worker in workers:
                worker.work_seconds = 20.0
            await platform.lose(0)
            with trio.move_on_after(0.5):
                await platform.platform.get()
            await wait_for(lambda: any(worker.cancelled for worker in workers))
            self.assertEqual(platform.platform.runs(), 1)

        run(check)

    def test_request_that_may_have_run_at_the_receiver_is_not_told_not_run(self):
        async def check(platform):
            for worker in platform.platform.worker_by_id.values():
                worker.fault = Fault.RESET
            await platform.lose(0)
            answer = await platform.platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 502)
            self.assertEqual(platform.platform.runs(), 1)

        run(check)

    def test_refusal_of_the_servers_reaches_the_caller_as_not_run(self):
        async def check(platform):
            for worker in platform.platform.worker_by_id.values():
                worker.fault = Fault.SHED
            await platform.lose(0)
            answer = await platform.platform.send('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            self.assertIn('retry-after', answer.headers)
            self.assertEqual(platform.platform.runs(), 0)

        run(check)

    def test_request_under_way_that_may_run_once_is_not_sent_again(self):
        await_answers = self._send_into_cut

        async def check(platform):
            answer = await await_answers(platform, 'POST', '/p/x')
            self.assertNotIn(answer.status_code, (200, 503))
            self.assertEqual(platform.platform.runs(), 1)

        run(check)

    def test_request_under_way_that_may_run_twice_is_relayed(self):
        await_answers = self._send_into_cut

        async def check(platform):
            answer = await await_answers(platform, 'GET', '/q/x')
            self.assertEqual(answer.status_code, 200)

        run(check)

    def test_request_whose_connection_was_reset_is_relayed_if_it_may_run_twice(self):
        await_answers = self._send_into_cut

        async def check(platform):
            limits = platform.platform.entries[0].limits
            await platform.platform.get('/p/x', request_id='r0')
            limits.limits_by_service['one'].budget.tokens = 2.0
            answer = await await_answers(platform, 'GET', '/q/x', Cut.RESET)
            self.assertEqual(answer.status_code, 200)

        run(check)

    async def _send_into_cut(
        self, platform, method: str, path: str, how: Cut = Cut.SILENT
    ):
        """Send a request whose server runs it as the paths of the instance are cut."""
        answers = []

        async def send() -> None:
            answers.append(await platform.platform.send(method, path))

        for worker in platform.platform.worker_by_id.values():
            worker.work_seconds = 0.3
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await wait_for(lambda: platform.platform.runs() == 1)
            await platform.lose(0, how)
        return answers[0]


def run(check: Callable, instances: int = 2) -> None:
    """Run an async check on a platform with some instances."""

    async def run_check(platform):
        partitioned = PartitionedPlatform(platform)
        await partitioned.start(('zone-a',) * instances)
        await wait_for(
            lambda: all(
                len(each.instances.ready_peers()) == instances - 1
                and all(p.paths.relay_token for p in each.instances.ready_peers())
                for each in platform.entries
            )
        )
        await check(partitioned)

    on_platform(run_check)
