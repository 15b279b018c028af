"""Limits of an entry, from the preset in force.

>>> from siskintally.limits import URGENT, EntryLimits
>>> EntryLimits().queue_limit(URGENT)
200
"""

URGENT = 0
NORMAL = 1
DEFERRABLE = 2
CLASS_BY_NAME = {"urgent": URGENT, "normal": NORMAL, "deferrable": DEFERRABLE}


class EntryLimits:
    """Limits of one entry.

    :param queue_limit_urgent: urgent requests of one service that may wait; the same for the
        other classes.
    :param deadline_ms_urgent: deadline of a request that names none and longest deadline of a
        request of the class, ms; the same for the other classes.
    :param retry_ratio: retries per first send.
    :param deferrable_share: share of the dispatches that deferrable requests get when they wait.
    """

    __slots__ = (
        "deadline_ms_deferrable",
        "deadline_ms_normal",
        "deadline_ms_urgent",
        "deferrable_share",
        "queue_limit_deferrable",
        "queue_limit_normal",
        "queue_limit_urgent",
        "retry_ratio",
    )

    def __init__(
        self,
        *,
        queue_limit_urgent=200,
        queue_limit_normal=400,
        queue_limit_deferrable=400,
        deadline_ms_urgent=2000,
        deadline_ms_normal=10000,
        deadline_ms_deferrable=60000,
        retry_ratio=0.1,
        deferrable_share=0.1,
    ):
        self.queue_limit_urgent = queue_limit_urgent
        self.queue_limit_normal = queue_limit_normal
        self.queue_limit_deferrable = queue_limit_deferrable
        self.deadline_ms_urgent = deadline_ms_urgent
        self.deadline_ms_normal = deadline_ms_normal
        self.deadline_ms_deferrable = deadline_ms_deferrable
        self.retry_ratio = retry_ratio
        self.deferrable_share = deferrable_share

    @classmethod
    def of(cls, preset):
        """Return the limits of a preset, any object with attributes of the same names."""
        return cls(**{name: getattr(preset, name) for name in cls.__slots__})

    def queue_limit(self, rank):
        """Return how many requests of a class may wait."""
        limits = (self.queue_limit_urgent, self.queue_limit_normal, self.queue_limit_deferrable)
        return limits[rank]

    def deadline_s(self, rank):
        """Return the deadline of a class, s."""
        limits = (self.deadline_ms_urgent, self.deadline_ms_normal, self.deadline_ms_deferrable)
        return limits[rank] / 1000
