"""Calls to the advice service, spread over the VMs that may make them.

The service handles one call at a time for each VM, so every linked process is one client.

>>> from siskintally.advice_client_pool import reserved
>>> reserved(9), reserved(2)
(2, 0)
"""

from abc import ABC, abstractmethod

QUICK_CLIENTS = 2


def reserved(count):
    """Return how many of some clients are kept for quick calls."""
    return min(QUICK_CLIENTS, count // 3)


class AdviceClient(ABC):
    """One VM that can call the advice service; ``name`` tells clients apart."""

    __slots__ = ("name",)

    def __init__(self, *, name):
        self.name = name

    @abstractmethod
    async def ask(self, step_id, worker_ids, *, timeout):
        """Return :class:`~siskintally.driver.Ticket` objects; see :class:`Advice`."""


class AdviceClientPool:
    """Which clients are free.

    :param clients: function that returns the :class:`AdviceClient` objects at present, nearest
        first.
    """

    __slots__ = ("_busy", "_clients")

    def __init__(self, *, clients):
        self._clients = clients
        self._busy = set()

    def take(self, *, is_quick):
        """Return a free client and mark it as busy, or None.

        Slow calls take the farthest clients and leave some free, so that a quick call never waits
        behind them.
        """
        clients = list(self._clients())
        free = [client for client in clients if client.name not in self._busy]
        if not is_quick:
            free = free[reserved(len(clients)) :]
            free.reverse()
        if not free:
            return None
        self._busy.add(free[0].name)
        return free[0]

    def give_back(self, client):
        """Mark a client as free."""
        self._busy.discard(client.name)
