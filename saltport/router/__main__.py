"""Starts a single router: `python -m saltport.router`."""

from __future__ import annotations

import signal
import sys

from saltport.router.unused_modules import leave_out_unused_modules

if __name__ == "__main__":
    # Danger: until its handler is installed, SIGHUP ends the process; a blocked one is delivered then.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    leave_out_unused_modules()
    from saltport.lifecycle.process import main

    sys.exit(main())
