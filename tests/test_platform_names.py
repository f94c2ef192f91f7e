"""Test that only the platform adapter contains the platform's names."""

import re
import unittest
from pathlib import Path

from catkinslip.platform import names

PACKAGE = Path(names.__file__).resolve().parent.parent
ADAPTER = PACKAGE / 'platform'
#: Fields of the platform's bodies and settings that are not English words.
FIELDS = (
    'as_of',
    'wait_ms',
    'timeout_s',
    'target_latency_s',
    'max_conns',
    'cold_left_s',
    'ttl_s',
    'addrs',
    'grace_s',
    'probes_per_s',
    'retry_budget_ratio',
    'retry_budget_slack',
    'non_idempotent',
    'CATKINSLIP_NODE_FILE',
)


def wire_names() -> list[str]:
    """Return the header names, kinds and paths of the adapter's own table."""
    found = []
    for value in vars(names).values():
        if isinstance(value, bytes):
            # Headers are bytes literals in code. Without the quotes, the pattern would
            # also match an argument of the command-line tool.
            found.append(f"b'{value.decode()}'")
        elif isinstance(value, str) and value.startswith('/catkinslip/'):
            found.append(value)
    return found


class NamesTest(unittest.TestCase):
    """Modules outside the adapter, which contain no wire name of the platform."""

    def test_names_stand_in_the_adapter_alone(self):
        wanted = [*wire_names(), *FIELDS]
        self.assertIn("b'target-instance'", wanted)
        pattern = re.compile('|'.join(rf'\b{re.escape(name)}(?!\w)' for name in wanted))
        for path in sorted(PACKAGE.rglob('*.py')):
            if ADAPTER in path.parents:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                for found in pattern.findall(line):
                    self.fail(f'{path.name}:{number}: {found}')


if __name__ == '__main__':
    unittest.main()
