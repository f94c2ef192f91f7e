"""Start one process of a role on the users' platform."""

import gc
import signal
import sys

# Settings may change while the rest is imported; the default would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# What is imported stays: looking for garbage in it takes 50 ms of the 370 ms of
# processor time until an instance is ready. It is turned on again then.
gc.disable()

from catkinslip.platform.program import main  # noqa: E402

if __name__ == '__main__':
    sys.exit(main())
