"""The metrics page of an instance on the platform."""

import unittest

from catkinslip.entry import metrics_page
from tests.small_platform import on_platform, wait_for


class PageTest(unittest.TestCase):
    """Content of the metrics page."""

    def test_calls_probes_reports_and_peers_are_shown(self):
        async def check(platform):
            await platform.add_worker('i-1')
            await platform.add_entry()
            entry = await platform.add_entry()
            await wait_for(lambda: entry.instances.peer_by_id)
            await platform.send('POST', '/p/x', entry=1)
            body = (await metrics_page(entry, '')).body.decode()
            read = '{operation="read",outcome="answered"}'
            self.assertIn(f'catkinslip_platform_calls_total{read}', body)
            self.assertIn('catkinslip_load_probes_total{state="sent"} 1.0', body)
            self.assertIn('catkinslip_shared_reports_total{state="malformed"} 0', body)
            self.assertIn('catkinslip_peers{health="', body)
            self.assertIn('catkinslip_store_reader_role{role="first"} 1.0', body)
            self.assertIn('catkinslip_store_reader_role{role="leader"} 0.0', body)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()
