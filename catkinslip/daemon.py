"""Run the daemon, one process per entry instance."""

import sys

from catkinslip.core import run


def main() -> None:
    """Run the daemon and exit with its status."""
    sys.exit(run(sys.argv[1:]))


if __name__ == '__main__':
    main()
