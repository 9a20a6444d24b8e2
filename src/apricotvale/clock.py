"""The clock for deadlines and leases."""

from __future__ import annotations

import time


def now() -> float:
    """Return the seconds since boot, including time spent in suspension.

    The monotonic clock stops while a VM is suspended, so a lease measured by it would still look
    valid after the VM resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
