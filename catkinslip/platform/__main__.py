"""Start one process of a role on the users' platform."""

import signal
import sys

# Settings may change while the rest is imported; the default would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from catkinslip.platform.program import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main())
