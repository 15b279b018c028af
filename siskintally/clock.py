"""Steady clock of a VM that also counts the time for which the VM was suspended.

>>> from siskintally.clock import now
>>> first = now()
>>> now() >= first
True
"""

from time import CLOCK_BOOTTIME, clock_gettime


def now():
    """Return seconds since the VM was started.

    A lease that rested on CLOCK_MONOTONIC would seem to be in force after a suspension.
    """
    return clock_gettime(CLOCK_BOOTTIME)
