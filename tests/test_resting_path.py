"""Servers that ask for rest, on the users' platform, in one loop."""

import unittest

from catkinslip.entry import metrics_page
from standins.workers import Fault
from tests.small_platform import on_platform, wait_for


class SightTest(unittest.TestCase):
    """What an operator sees of a server that asks for rest."""

    def test_lines_and_metrics_tell_what_a_server_asks_for(self):
        async def check(platform):
            await platform.add_worker('i-1', fault=Fault.SHED, rest=b'3')
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            with self.assertLogs(level='INFO') as logs:
                answer = await platform.ask('POST', '/p/x')
            self.assertEqual(answer.status_code, 503)
            text = '\n'.join(record.getMessage() for record in logs.records)
            self.assertIn('i-1 asks for rest. seconds=3 left_s=3.0 by=refusal', text)
            self.assertIn('r1 one may go elsewhere, i-1 ended as not run, shed.', text)
            page = (await metrics_page(entry, '')).body.decode()
            self.assertIn('catkinslip_resting_backends{service="one"} 1', page)
            self.assertIn('catkinslip_rest_events_total{event="asked"} 1', page)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()
