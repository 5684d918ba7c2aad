"""Settings and calls of the C library's allocator, which keeps freed memory in the process.

Without an allocator like glibc's, or without its functions, everything here has no effect.
"""

from __future__ import annotations

import ctypes

# Parameters of mallopt(3).
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 512 << 10
"""Larger blocks go back to the kernel at once. By default the threshold rises to the largest freed block, and
long values come from a heap that fragments. The parts in which values are read are smaller."""
TRIM_THRESHOLD_BYTES = 1 << 20
"""Free memory at the end of the heap above which it goes back to the kernel."""


def limit_kept_memory() -> None:
    """Bound the freed memory that the allocator keeps; call before large blocks are allocated."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


def release_freed_memory() -> None:
    """Give freed memory back to the kernel, wherever it is in the heap."""
    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if malloc_trim is not None:
        malloc_trim(0)
