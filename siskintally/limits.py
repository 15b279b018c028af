"""Queue, deadline and retry limits of an entry, taken from the preset in force.

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

    The attributes have the names of the preset's settings.

    :param queue_limit_urgent: longest queue of urgent requests of one service; the other classes
        have their own.
    :param deadline_ms_urgent: deadline in ms of an urgent request that names none; the other
        classes have their own.
    :param retry_ratio: retries per first attempt.
    :param deferrable_share: fraction of the dispatches that waiting deferrable requests get.
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
    def from_preset(cls, preset):
        """Return the limits of a preset, any object with attributes of the same names."""
        return cls(**{name: getattr(preset, name) for name in cls.__slots__})

    def queue_limit(self, rank):
        """Return the longest queue of a class."""
        limits = (self.queue_limit_urgent, self.queue_limit_normal, self.queue_limit_deferrable)
        return limits[rank]

    def deadline_s(self, rank):
        """Return the default deadline of a class, in seconds."""
        limits = (self.deadline_ms_urgent, self.deadline_ms_normal, self.deadline_ms_deferrable)
        return limits[rank] / 1000
