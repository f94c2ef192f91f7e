"""Entry point of the operators' command-line tool."""

import sys

from catkinslip.cli.application import run


def main() -> None:
    """Run the operators' tool and exit with its status."""
    sys.exit(run(sys.argv[1:]))


if __name__ == '__main__':
    main()
