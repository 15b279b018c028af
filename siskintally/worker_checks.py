"""Validation of a worker announcement against the clock of the leader.

>>> from siskintally.control_pb2 import PoolWorker
>>> from siskintally.worker_checks import is_plausible
>>> is_plausible(PoolWorker(id="w", born_ms=1_000, seq=3), wall_ms=5_000)
True
"""

# Largest difference between the clocks of a worker and of the leader.
MAX_CLOCK_SKEW_MS = 3_600_000


def is_plausible(record, *, wall_ms):
    """Return whether a worker can have sent an announcement.

    It cannot have started after now, and it sends less than one announcement per millisecond. A
    larger number would make the later announcements of the true worker look outdated.

    :param wall_ms: Unix time of the leader, ms.
    """
    age_ms = wall_ms + MAX_CLOCK_SKEW_MS - record.born_ms
    return age_ms >= 0 and record.seq <= age_ms
