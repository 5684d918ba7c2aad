"""Starts a single router: `python -m saltport.router`."""

from __future__ import annotations

import sys

from saltport.router.unused_modules import leave_out_unused_modules

if __name__ == "__main__":
    leave_out_unused_modules()
    from saltport.lifecycle.process import main

    sys.exit(main())
