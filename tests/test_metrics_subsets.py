"""Metrics and settings of server subsets."""

import unittest

import trio

from catkinslip.metrics.subsets import SubsetMetrics
from catkinslip.models import Address
from catkinslip.platform.settings import read_settings
from catkinslip.proxy.pool import BackendPool, Purpose
from catkinslip.routing.directory import Directory
from standins.raw import RawBackend
from tests.platform_builders import settings_text
from tests.subset_builders import MANY, subset_router

GENEROUS_SECONDS = 20.0


class MetricsTest(unittest.TestCase):
    """Connections count for the purpose that opened them."""

    def test_opened_connections_count_by_purpose(self):
        pool = BackendPool()

        async def run() -> None:
            with trio.fail_after(GENEROUS_SECONDS):
                async with trio.open_nursery() as nursery:
                    serve = RawBackend().serve
                    listeners = await nursery.start(trio.serve_tcp, serve, 0)
                    port = listeners[0].socket.getsockname()[1]
                    address = Address('127.0.0.1', port)
                    self.assertFalse(pool.has_idle(address))
                    for purpose in (Purpose.PROBE, Purpose.PROBE, Purpose.REQUEST):
                        wire = await pool.acquire(address, purpose=purpose)
                        await wire.close()
                    nursery.cancel_scope.cancel()

        trio.run(run)
        self.assertEqual(pool.opened_by_purpose, {Purpose.PROBE: 2, Purpose.REQUEST: 1})

    def test_size_is_shown_where_there_is_a_subset(self):
        for instances, count in ((MANY, 1), (14, 0)):
            directory = Directory(make_policy=lambda: None)
            router = subset_router(0, 220, instances)
            directory.router_by_service['limits'] = router
            size, _ = SubsetMetrics(directory, BackendPool()).families()
            values = [sample.value for sample in size.samples]
            self.assertEqual(values, [router.subset.size] * count)


class SettingsTest(unittest.TestCase):
    """The platform's file can switch subsets off; a wrong value is rejected."""

    def test_switch(self):
        self.assertTrue(read_settings(settings_text()).unwrap().uses_subsets)
        text = f'server_subsets = false\n{settings_text()}'
        self.assertFalse(read_settings(text).unwrap().uses_subsets)

    def test_wrong_value_names_the_setting_and_what_is_allowed(self):
        text = f'server_subsets = "no"\n{settings_text()}'
        (mistake,) = read_settings(text).failure()
        self.assertEqual(
            mistake, "server_subsets: 'no' is wrong, allowed: true, false."
        )


if __name__ == '__main__':
    unittest.main()
