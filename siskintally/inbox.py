"""Bounded input queue of one task: messages, which may be dropped, and calls, which wait.

>>> from anyio import run
>>> from siskintally.inbox import Inbox
>>> inbox = Inbox(max_messages=1)
>>> inbox.drop_or_put("one"), inbox.drop_or_put("two")
(True, False)
>>> run(inbox.gather, 5.0, 10)
['one']
"""

from collections import deque

from anyio import Event, move_on_after
from anyio.lowlevel import checkpoint

MAX_ITEMS = 16384


class Inbox:
    """Bounded queue that one task reads in batches.

    :param max_messages: maximum queued messages; further ones are dropped.
    """

    __slots__ = ("_is_due", "_items", "_max_messages", "_messages", "_ready", "_space")

    def __init__(self, *, max_messages):
        self._max_messages = max_messages
        self._messages = 0
        self._items = deque()
        self._is_due = False
        self._ready = None
        self._space = None

    def drop_or_put(self, message, *, wakes=True):
        """Add a message; drop it and return False if the queue is full.

        :param wakes: False for a message that can wait for the next item or timeout.
        """
        if self._messages >= self._max_messages or len(self._items) >= MAX_ITEMS:
            return False
        self._messages += 1
        self._items.append((True, message))
        if wakes:
            self._wake()
        return True

    async def put(self, call):
        """Add a call; wait while the queue is full."""
        while len(self._items) >= MAX_ITEMS:
            if self._space is None:
                self._space = Event()
            await self._space.wait()
        self._items.append((False, call))
        self._wake()

    async def gather(self, timeout, max_items):
        """Wait up to ``timeout`` seconds for items; return those queued, up to ``max_items``."""
        if self._is_due or timeout <= 0:
            # Yields to the event loop, so that a busy queue does not starve other tasks.
            await checkpoint()
        else:
            self._ready = Event()
            with move_on_after(timeout):
                await self._ready.wait()
            self._ready = None
        return self.drain(max_items)

    def drain(self, max_items=MAX_ITEMS):
        """Return the queued items, up to ``max_items``, without waiting."""
        items = []
        while self._items and len(items) < max_items:
            is_message, item = self._items.popleft()
            self._messages -= is_message
            items.append(item)
        self._is_due = bool(self._items)
        if self._space is not None:
            self._space.set()
            self._space = None
        return items

    def wake(self):
        """Make :meth:`gather` return, even without an item."""
        self._wake()

    def _wake(self):
        self._is_due = True
        if self._ready is not None:
            self._ready.set()
