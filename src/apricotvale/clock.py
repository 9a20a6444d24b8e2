"""The steady clock by which deadlines and leases are kept."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds since boot, time of suspension included.

    The monotonic clock stands still while a VM is suspended, so a lease kept by it would still
    look valid after the wake-up.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
