"""Monotonic clock that also counts the time for which the VM was suspended.

>>> from siskintally.clock import now
>>> first = now()
>>> now() >= first
True
"""

from time import CLOCK_BOOTTIME, clock_gettime


def now():
    """Return seconds since the VM was started.

    CLOCK_MONOTONIC stops while a VM is suspended, so a lease timed with it would still seem to be
    valid afterwards.
    """
    return clock_gettime(CLOCK_BOOTTIME)
