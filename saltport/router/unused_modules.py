"""Keeps parts of the standard library that no router uses out of its process.

`asyncio` imports `ssl`, and `hashlib` imports `_hashlib`. Both map OpenSSL, though a router has no TLS and
uses hashes that Python brings itself. Both importers are written to work without these modules.
"""

from __future__ import annotations

import sys

UNUSED_MODULES = ("ssl", "_hashlib")


def leave_out_unused_modules() -> None:
    """Make imports of these modules fail from now on, with ModuleNotFoundError, unless they are loaded."""
    for name in UNUSED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]  # documented for sys.modules
