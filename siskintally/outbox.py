"""Send queue of a link: bounded, with one reader.

>>> from siskintally.outbox import Outbox
>>> outbox = Outbox(max_items=1)
>>> outbox.put("one"), outbox.put("two")
(True, False)
"""

from collections import deque

from anyio import Event
from anyio.lowlevel import checkpoint


class Outbox:
    """Bounded queue with one reader.

    A deque and one event cost about a third of a memory object stream, which creates an event and
    looks up the current task for each item.

    :param max_items: largest number of queued items; more are refused.
    """

    __slots__ = ("_items", "_max_items", "_ready", "is_closed")

    def __init__(self, *, max_items):
        self.is_closed = False
        self._items = deque()
        self._max_items = max_items
        self._ready = None

    def put(self, item):
        """Add an item; return False if the queue is full or closed."""
        if self.is_closed or len(self._items) >= self._max_items:
            return False
        self._items.append(item)
        if self._ready is not None:
            self._ready.set()
        return True

    async def wait(self):
        """Wait until there is an item."""
        if self._items:
            # Let other tasks run even if the queue never gets empty.
            await checkpoint()
            return
        self._ready = Event()
        try:
            await self._ready.wait()
        finally:
            self._ready = None

    def pop(self):
        """Remove and return the oldest item, or None if the queue is empty."""
        return self._items.popleft() if self._items else None

    def items(self):
        """Return the queued items, oldest first."""
        return tuple(self._items)

    def close(self):
        """Drop all items and refuse new ones."""
        self.is_closed = True
        self._items.clear()
