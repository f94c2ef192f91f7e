"""Tests of API keys on the request path of the users' platform."""

import logging
import re
import unittest

import trio

from catkinslip.addresses.zonal import CallerLocation
from catkinslip.entry import metrics_page
from standins.workers import Fault
from tests.platform_builders import config_spec
from tests.small_platform import SmallPlatform, on_platform, wait_at_most, wait_for
from tests.workspace_builders import (
    ACME,
    BIRCH,
    HOST,
    KEY,
    NEW_KEY,
    OTHER_KEY,
    connect,
    exchange,
    raw_request,
    receive,
    row,
    spec_with,
    two_workspaces,
)

#: Time in which a change is in force, counted in steps of the loop.
IN_FORCE_SECONDS = 2.5


async def start(platform: SmallPlatform, spec: dict | None = None, **fields) -> None:
    """Start a server and an instance with workspaces."""
    platform.store.put('config', 'main', spec or two_workspaces())
    await platform.add_worker('i-1', **fields)
    await platform.add_entry()


async def status_of(platform: SmallPlatform, *lines, entry: int = 0, **fields) -> int:
    """Return the status of a request with some header lines."""
    stream = await connect(platform, entry)
    status, _ = await exchange(stream, raw_request(*lines, **fields))
    await stream.aclose()
    return status


def headers_at(platform: SmallPlatform, name: bytes) -> list[bytes]:
    """Return the values of a header of the last request that a server received."""
    (worker,) = platform.worker_by_id.values()
    return [value for each, value in worker.heads[-1].headers if each == name]


class KeyPathTest(unittest.TestCase):
    """Requests with right, wrong and missing keys."""

    def test_right_key_gives_the_server_the_workspace(self):
        async def check(platform):
            await start(platform)
            for key, name in ((KEY, ACME), (OTHER_KEY, BIRCH)):
                status = await status_of(platform, f'X-API-KEY: {key}')
                self.assertEqual(status, 200)
                self.assertEqual(headers_at(platform, b'tenant'), [name.encode()])
                self.assertEqual(headers_at(platform, b'x-api-key'), [])

        on_platform(check)

    def test_wrong_keys_are_rejected_and_never_sent(self):
        async def check(platform):
            await start(platform)
            for lines in (
                (),
                ('X-Api-Key:',),
                ('X-Api-Key: wrong',),
                (f'X-Api-Key: {KEY[:-1]}',),
                (f'X-Api-Key: {KEY}x',),
                (f'X-Api-Key: {KEY.upper()}',),
                (f'X-Api-Key: {KEY}', f'x-api-key: {KEY}'),
                (f'X-Api-Key: {KEY}', f'X-Api-Key: {OTHER_KEY}'),
                (b'X-Api-Key: \xff\xfe',),
                ('X-Api-Key: ' + 'x' * 17_000,),
                (f'X_Api_Key: {KEY}',),
                (f'Authorization: {KEY}',),
            ):
                with self.subTest(lines[0][:20] if lines else 'none'):
                    self.assertEqual(await status_of(platform, *lines), 401)
            self.assertEqual(
                await status_of(platform, 'X-Api-Key: ' + 'x' * 40_000), 431
            )
            self.assertEqual(platform.worker_by_id['i-1'].heads, [])

        on_platform(check)

    def test_pipelined_requests_are_checked_one_by_one(self):
        """Guards against a request that passes with the key of the one before it."""

        async def check(platform):
            await start(platform, work_seconds=0.1)
            stream = await connect(platform)
            right, wrong = raw_request(f'X-Api-Key: {KEY}'), raw_request()
            await stream.send_all(right + wrong + right)
            data = b''
            while data.count(b'HTTP/1.1 ') < 3:
                data += await receive(stream)
            statuses = re.findall(rb'HTTP/1.1 ([0-9]+)', data)
            self.assertEqual(statuses, [b'200', b'401', b'200'])
            self.assertEqual(len(platform.worker_by_id['i-1'].heads), 2)

        on_platform(check)

    def test_headers_pass_while_there_never_were_workspaces(self):
        """Guards against deployments without workspaces that lose their own headers."""

        async def check(platform):
            await start(platform, spec_with())
            lines = ('X-Api-Key: theirs', 'Tenant: theirs')
            self.assertEqual(await status_of(platform, *lines), 200)
            self.assertEqual(headers_at(platform, b'x-api-key'), [b'theirs'])
            self.assertEqual(headers_at(platform, b'tenant'), [b'theirs'])

        on_platform(check)

    def test_key_is_not_passed_on_after_the_last_workspace_was_removed(self):
        """Guards against keys at servers while a configuration lacks workspaces."""

        async def check(platform):
            await start(platform)
            self.assertEqual(await status_of(platform, f'X-Api-Key: {KEY}'), 200)
            platform.store.put('config', 'main', spec_with(version='0000000b'))
            entry = platform.entries[0]
            await wait_for(lambda: entry.assembler.rules_version == 0xB)
            self.assertEqual(await status_of(platform, f'X-Api-Key: {KEY}'), 200)
            self.assertEqual(headers_at(platform, b'x-api-key'), [])
            self.assertEqual(headers_at(platform, b'tenant'), [])

        on_platform(check)

    def test_spoofed_workspace_never_reaches_a_server(self):
        """Guards against callers that name a workspace, on public routes too."""

        async def check(platform):
            await start(platform)
            spoofed = (
                f'Tenant: {BIRCH}',
                f'TENANT: {BIRCH}',
                f'tenant: {BIRCH}',
                'Connection: tenant, x-api-key',
            )
            await status_of(platform, *spoofed, f'X-Api-Key: {KEY}')
            self.assertEqual(headers_at(platform, b'tenant'), [ACME.encode()])
            status = await status_of(
                platform,
                *spoofed,
                f'X-Api-Key: {KEY}',
                f'X_Api_Key: {KEY}',
                path='/open/x',
            )
            self.assertEqual(status, 200)
            self.assertEqual(headers_at(platform, b'tenant'), [])
            self.assertEqual(headers_at(platform, b'x-api-key'), [])
            self.assertEqual(headers_at(platform, b'x_api_key'), [])

        on_platform(check)

    def test_public_route_needs_no_key_and_unknown_path_is_not_found(self):
        async def check(platform):
            await start(platform)
            self.assertEqual(await status_of(platform, path='/open/x'), 200)
            wrong = 'X-Api-Key: wrong'
            self.assertEqual(await status_of(platform, wrong, path='/open/x'), 200)
            self.assertEqual(await status_of(platform, path='/none'), 404)
            self.assertEqual(await status_of(platform, wrong, path='/none'), 404)

        on_platform(check)

    def test_without_workspaces_no_key_is_needed(self):
        async def check(platform):
            await start(platform, config_spec())
            self.assertEqual(await status_of(platform), 200)
            self.assertEqual(await status_of(platform, 'X-Api-Key: any'), 200)

        on_platform(check)

    def test_rejected_request_keeps_the_connection_where_that_is_safe(self):
        """Guards against a new connection for each wrong key, and unread bodies."""

        async def check(platform):
            await start(platform)
            stream = await connect(platform)
            for body in (b'', b'x' * 2000):
                status, answer = await exchange(
                    stream, raw_request('Request-Id: r-9', body=body)
                )
                self.assertEqual(status, 401)
                self.assertIn(b'request-id: r-9', answer)
                self.assertIn(b'www-authenticate: ', answer)
                self.assertNotIn(b'connection: close', answer)
            right = f'X-Api-Key: {KEY}'
            self.assertEqual((await exchange(stream, raw_request(right)))[0], 200)
            # The rest of a large body is not read, so the connection cannot be used.
            large = raw_request(body=b'x' * 300_000)
            await stream.send_all(large[:200_000])
            status, answer = await exchange(stream, b'')
            self.assertEqual(status, 401)
            self.assertIn(b'connection: close', answer)

        on_platform(check)

    def test_priority_of_the_workspace_goes_before_that_of_the_route(self):
        async def check(platform):
            rows = (row(ACME, KEY, priority=0), row(BIRCH, OTHER_KEY, priority=None))
            await start(platform, spec_with(*rows))
            entry = platform.entries[0]
            priorities = []
            forward = entry.callers.forwarder.forward

            async def record(call, caller):
                priorities.append(call.priority)
                return await forward(call, caller)

            entry.callers.forwarder = type('', (), {'forward': staticmethod(record)})()
            for key in (KEY, OTHER_KEY):
                await status_of(platform, f'X-Api-Key: {key}')
            # The route of the path has priority 2.
            self.assertEqual(priorities, [0, 2])

        on_platform(check)

    def test_pages_need_no_key(self):
        async def check(platform):
            await start(platform)
            entry = platform.entries[0]
            self.assertTrue(entry.instances.is_own_ready)
            answer = entry.addresses.answer(CallerLocation('zone-a', 'region-1', HOST))
            self.assertTrue(answer.addresses)
            page = await metrics_page(entry, '')
            self.assertEqual(page.status, 200)

        on_platform(check)


class ChangeTest(unittest.TestCase):
    """Keys that are added, revoked and moved while connections are open."""

    def test_revoked_key_is_rejected_on_an_open_connection(self):
        """Guards against a key that is looked up once for each connection."""

        async def check(platform):
            await start(platform)
            stream = await connect(platform)
            request = raw_request(f'X-Api-Key: {KEY}')
            self.assertEqual((await exchange(stream, request))[0], 200)
            platform.store.put(
                'config', 'main', spec_with(row(ACME, NEW_KEY), version='0000000b')
            )
            entry = platform.entries[0]
            self.assertTrue(
                await wait_at_most(
                    IN_FORCE_SECONDS, lambda: entry.assembler.rules_version == 0xB
                )
            )
            self.assertEqual((await exchange(stream, request))[0], 401)
            added = raw_request(f'X-Api-Key: {NEW_KEY}')
            self.assertEqual((await exchange(stream, added))[0], 200)

        on_platform(check)

    def test_moved_key_leads_to_its_new_workspace(self):
        async def check(platform):
            await start(platform)
            stream = await connect(platform)
            request = raw_request(f'X-Api-Key: {KEY}')
            await exchange(stream, request)
            self.assertEqual(headers_at(platform, b'tenant'), [ACME.encode()])
            moved = spec_with(row(ACME), row(BIRCH, KEY), version='0000000b')
            platform.store.put('config', 'main', moved)
            entry = platform.entries[0]
            await wait_for(lambda: entry.assembler.rules_version == 0xB)
            await exchange(stream, request)
            self.assertEqual(headers_at(platform, b'tenant'), [BIRCH.encode()])

        on_platform(check)

    def test_storm_of_changes_ends_with_the_last_one(self):
        """Guards against an index of earlier keys, and rebuilds for servers only."""

        async def check(platform):
            await start(platform)
            entry = platform.entries[0]
            for number in range(0xB, 0x3B):
                keys = (KEY,) if number % 2 else (NEW_KEY,)
                # Each third one has no workspaces.
                rows = (row(ACME, *keys),) if number % 3 else ()
                spec = spec_with(*rows, version=f'{number:08x}')
                platform.store.put('config', 'main', spec)
                platform.register(f'other-{number}', 'two', 9000 + number)
                if number % 7 == 0:
                    await trio.sleep(0.02)
            await wait_for(lambda: entry.assembler.rules_version == 0x3A)
            self.assertEqual(await status_of(platform, f'X-Api-Key: {KEY}'), 401)
            self.assertEqual(await status_of(platform, f'X-Api-Key: {NEW_KEY}'), 200)
            index = entry.callers.calls.keys.index
            digests = index.name_by_digest
            changes = entry.assembler.changes
            platform.register('other-last', 'two', 9999)
            await wait_for(lambda: entry.assembler.changes > changes)
            self.assertEqual(await status_of(platform, f'X-Api-Key: {NEW_KEY}'), 200)
            self.assertIs(index.name_by_digest, digests)

        on_platform(check)

    def test_revoked_key_at_an_instance_without_the_store(self):
        """Guards against a revocation that only readers of the store apply.

        One instance gets no answer of the store; its peer has the newer rules.
        """

        async def check(platform):
            await start(platform)
            await platform.add_entry()
            first, second = platform.entries
            await wait_for(
                lambda: all(e.instances.usable('zone-a') for e in platform.entries)
            )
            await wait_for(lambda: second.instances.peer_by_id)
            key = f'X-Api-Key: {KEY}'
            self.assertEqual(await status_of(platform, key, entry=1), 200)
            # The store answers nobody; the first instance got the change just before.
            platform.store.faults.refuse_with = 503
            await wait_for(lambda: second.assembler.rules.is_lost)
            await wait_for(lambda: first.assembler.rules.is_lost)
            spec = spec_with(row(ACME, NEW_KEY), version='0000000b')
            source = first.assembler.rules.source
            rules = source.decode('main', {'spec': spec})
            first.assembler.offer_rules(rules)
            self.assertTrue(
                await wait_at_most(
                    IN_FORCE_SECONDS, lambda: second.assembler.rules_version == 0xB
                )
            )
            self.assertEqual(await status_of(platform, key, entry=1), 401)
            added = f'X-Api-Key: {NEW_KEY}'
            self.assertEqual(await status_of(platform, added, entry=1), 200)

        on_platform(check)

    def test_instance_without_a_configuration_answers_503(self):
        """Guards against 401, 403 or 404 before the configuration is known."""

        async def check(platform):
            platform.store.remove('config', 'main')
            await platform.add_worker('i-1')
            platform.nursery.start_soon(platform.add_entry)
            await wait_for(lambda: platform.entries)
            for lines in ((), ('X-Api-Key: wrong',), (f'X-Api-Key: {KEY}',)):
                for path in ('/q/a', '/none', '/open/x'):
                    self.assertEqual(await status_of(platform, *lines, path=path), 503)
            platform.store.put('config', 'main', two_workspaces())
            entry = platform.entries[0]
            await wait_for(lambda: entry.instances.is_own_ready)
            self.assertEqual(await status_of(platform), 401)
            self.assertEqual(await status_of(platform, path='/none'), 404)

        on_platform(check)


class SecrecyTest(unittest.TestCase):
    """Everything that an instance writes or sends, searched for keys."""

    def test_no_key_in_logs_pages_records_or_at_servers(self):
        """Guards against any path by which a key leaves an instance."""

        async def check(platform):
            handler = Lines()
            root = logging.getLogger()
            level = root.level
            root.addHandler(handler)
            root.setLevel(logging.DEBUG)
            try:
                await self.drive(platform)
            finally:
                root.removeHandler(handler)
                root.setLevel(level)
            written = '\n'.join(handler.lines)
            self.assertIn('key rejected', written)
            self.assertIn('broke', written)
            self.assertIn('illegal header line', written)
            self.assert_secret(written)
            entry = platform.entries[0]
            page = await metrics_page(entry, '')
            self.assertIn(b'catkinslip_workspace_requests_total', page.body)
            self.assert_secret(page.body.decode())
            for worker in platform.worker_by_id.values():
                self.assertTrue(worker.heads)
                self.assert_secret(repr(worker.heads) + repr(worker.bodies))
            self.assert_secret(repr(platform.store.item_by_key['crashes', self.crash]))
            traces = entry.callers.observer.observers[1]
            plain = [each.to_plain() for each in traces.ended_traces]
            self.assertTrue(plain)
            self.assert_secret(repr(plain) + repr(list(traces.ended_traces)))

        on_platform(check)

    async def drive(self, platform: SmallPlatform) -> None:
        """Send requests that are served, rejected, malformed, broken and crash."""
        platform.restart_seconds = 0.05
        await start(platform, crashing_paths={'/q/crash'})
        right = f'X-Api-Key: {KEY}'
        self.assertEqual(await status_of(platform, right), 200)
        self.assertEqual(await status_of(platform, right, path='/open/x'), 200)
        self.assertEqual(await status_of(platform, f'X-Api-Key: {NEW_KEY}'), 401)
        self.assertEqual(await status_of(platform, right, right), 401)
        for malformed in (f'X-Api-Key : {KEY}', f'X-Api-Key: {KEY}\x01', f'{KEY}'):
            self.assertEqual(await status_of(platform, malformed), 400)
        worker = platform.worker_by_id['i-1']
        worker.fault = Fault.RESET
        with trio.move_on_after(2):
            await status_of(platform, right, path='/p/x', body=b'x')
        worker.fault = Fault.NONE
        crashes = platform.store.item_by_key
        while not any(kind == 'crashes' for kind, _ in crashes):
            await status_of(platform, right, path='/q/crash')
        (self.crash,) = (name for kind, name in crashes if kind == 'crashes')

    def assert_secret(self, text: str) -> None:
        for key in (KEY, NEW_KEY, OTHER_KEY):
            self.assertNotIn(key, text)


class Lines(logging.Handler):
    """Handler that keeps all log lines of the product."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


if __name__ == '__main__':
    unittest.main()
