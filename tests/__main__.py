"""Run all tests and end with a line that counts them."""

import sys
import unittest
from pathlib import Path

HERE = Path(__file__).resolve().parent


def main() -> int:
    """Run all tests; return 0 when none failed."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else 'test_*.py'
    suite = unittest.defaultTestLoader.discover(
        str(HERE), pattern, top_level_dir=str(HERE.parent)
    )
    result = unittest.TextTestRunner(verbosity=2, stream=sys.stdout).run(suite)
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f'{passed} passed, {failed} failed' + f', {skipped} skipped' * bool(skipped))
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(main())
