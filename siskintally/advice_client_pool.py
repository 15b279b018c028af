"""Calls to the advice service, spread over the VMs that may make them.

The service handles one call at a time for each VM, so every linked process is one lane.

>>> from siskintally.advice_client_pool import reserved
>>> reserved(9), reserved(2)
(2, 0)
"""

from abc import ABC, abstractmethod

QUICK_LANES = 2


def reserved(count):
    """Return how many of some lanes are kept for quick calls."""
    return min(QUICK_LANES, count // 3)


class AdviceClient(ABC):
    """One VM that can call the advice service; ``name`` tells lanes apart."""

    __slots__ = ("name",)

    def __init__(self, *, name):
        self.name = name

    @abstractmethod
    async def ask(self, step_id, worker_ids, *, timeout):
        """Return :class:`~siskintally.driver.Ticket` objects; see :class:`Advice`."""


class AdviceClientPool:
    """Which lanes are free.

    :param lanes: function that returns the :class:`AdviceClient` objects at present, nearest first.
    """

    __slots__ = ("_busy", "_lanes")

    def __init__(self, *, lanes):
        self._lanes = lanes
        self._busy = set()

    def take(self, *, is_quick):
        """Return a free lane and mark it as busy, or None.

        Slow calls take the farthest lanes and leave some free, so that a quick call never waits
        behind them.
        """
        lanes = list(self._lanes())
        free = [lane for lane in lanes if lane.name not in self._busy]
        if not is_quick:
            free = free[reserved(len(lanes)) :]
            free.reverse()
        if not free:
            return None
        self._busy.add(free[0].name)
        return free[0]

    def give_back(self, lane):
        """Mark a lane as free."""
        self._busy.discard(lane.name)
