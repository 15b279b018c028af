"""Pool of the clients that can call the advice service, one per linked VM.

The service handles one call at a time per VM, so each linked process is one client.

>>> from siskintally.advice_client_pool import reserved_count
>>> reserved_count(9), reserved_count(2)
(2, 0)
"""

from abc import ABC, abstractmethod

# Most clients that are reserved for quick calls.
MAX_RESERVED_CLIENTS = 2


def reserved_count(count):
    """Return how many of ``count`` clients are reserved for quick calls."""
    return min(MAX_RESERVED_CLIENTS, count // 3)


class AdviceClient(ABC):
    """One VM that can call the advice service; ``name`` is unique among clients."""

    __slots__ = ("name",)

    def __init__(self, *, name):
        self.name = name

    @abstractmethod
    async def ask(self, step_id, worker_ids, *, timeout):
        """Request permits for a step; return :class:`~siskintally.driver.Ticket` objects.

        See :class:`~siskintally.driver.AdviceService`.
        """


class AdviceClientPool:
    """Tracks which clients are free.

    :param clients: function that returns the current :class:`AdviceClient` objects, nearest first.
    """

    __slots__ = ("_busy", "_clients")

    def __init__(self, *, clients):
        self._clients = clients
        self._busy = set()

    def has_free(self, *, is_quick):
        """Return whether a client is free for such a call."""
        return bool(self._free(is_quick=is_quick))

    def acquire(self, *, is_quick):
        """Return a free client and mark it as busy, or None.

        Slow calls use the farthest clients and leave some free, so that a quick call never waits
        for a slow one. With fewer than three clients, none is reserved.
        """
        free = self._free(is_quick=is_quick)
        if not free:
            return None
        self._busy.add(free[0].name)
        return free[0]

    def _free(self, *, is_quick):
        """Return the free clients for such a call, the preferred one first."""
        clients = list(self._clients())
        free = [client for client in clients if client.name not in self._busy]
        if not is_quick:
            free = free[reserved_count(len(clients)) :]
            free.reverse()
        return free

    def release(self, client):
        """Mark a client as free."""
        self._busy.discard(client.name)
