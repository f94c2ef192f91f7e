"""Servers that name a rate, on the users' platform, in one loop."""

import unittest

from catkinslip.entry import metrics_page
from tests.small_platform import on_platform, wait_for


class SightTest(unittest.TestCase):
    """What an operator sees of a server that names a rate."""

    def test_lines_and_metrics_tell_what_a_server_names(self):
        async def check(platform):
            await platform.add_worker('i-1', named_rate=b'1.2')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            with self.assertLogs(level='INFO') as logs:
                for number in range(2):
                    await platform.get(request_id=f'r{number}')
            text = '\n'.join(record.getMessage() for record in logs.records)
            self.assertIn('i-1 names a rate. per_second=1.2 by=answer', text)
            page = (await metrics_page(entry, '')).body.decode()
            self.assertIn('catkinslip_throttled_backends{service="one"} 1', page)
            self.assertIn('catkinslip_rate_events_total{event="named"} 1', page)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()
