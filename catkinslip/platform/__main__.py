"""Entry point of a catkinslip process on the users' platform."""

import signal
import sys

# SIGHUP may arrive during the imports below; its default action ends the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from catkinslip.platform.program import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main())
