"""The sharing of scarce capacity on the request path, with real sockets."""

import unittest

from standins.workers import Fault
from tests.small_platform import on_platform, wait_for
from tests.workspace_builders import KEY, two_workspaces


class RefusedByServersTest(unittest.TestCase):
    """A call that all servers refuse, and for which no retry is left."""

    def test_caller_is_told_when_to_return_and_log_names_the_inputs(self):
        # The refusal had no time to return, and no line said what it rested on.
        async def check(platform):
            platform.store.put('config', 'main', two_workspaces())
            await platform.add_worker('i-1', fault=Fault.SHED)
            entry = await platform.add_entry()
            await wait_for(lambda: entry.assembler.current_backends)
            with self.assertLogs('limits', 'INFO') as logs:
                answer = await platform.send(
                    'POST', '/p/x', request_id='r1', headers={'X-Api-Key': KEY}
                )
            self.assertEqual(answer.status_code, 503)
            seconds = float(answer.headers['retry-after'])
            self.assertTrue(0.05 <= seconds <= 0.06, seconds)
            text = '\n'.join(logs.output)
            self.assertIn('r1 one was refused by servers, no retry is left.', text)
            self.assertIn('priority=1', text)
            self.assertIn('gives_way=0.00', text)

        on_platform(check)


if __name__ == '__main__':
    unittest.main()
