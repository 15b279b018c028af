"""Bounded input queue of one task: messages, which may be dropped, and calls, which wait.

>>> from anyio import run
>>> from siskintally.inbox import Inbox
>>> inbox = Inbox(max_messages=1)
>>> inbox.put_message("one"), inbox.put_message("two")
(True, False)
>>> run(inbox.wait_for_items, 5.0, 10)
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

    __slots__ = (
        "_is_woken",
        "_items",
        "_max_messages",
        "_message_count",
        "_ready_event",
        "_space_event",
    )

    def __init__(self, *, max_messages):
        self._max_messages = max_messages
        self._message_count = 0
        self._items = deque()
        self._is_woken = False
        self._ready_event = None
        self._space_event = None

    def put_message(self, message, *, wakes=True):
        """Add a message; drop it and return False if the queue is full.

        :param wakes: False for a message that can wait for the next item or timeout.
        """
        if self._message_count >= self._max_messages or len(self._items) >= MAX_ITEMS:
            return False
        self._message_count += 1
        self._items.append((True, message))
        if wakes:
            self._wake()
        return True

    async def put_call(self, call):
        """Add a call; wait while the queue is full."""
        while len(self._items) >= MAX_ITEMS:
            if self._space_event is None:
                self._space_event = Event()
            await self._space_event.wait()
        self._items.append((False, call))
        self._wake()

    async def wait_for_items(self, timeout, max_items):
        """Wait up to ``timeout`` seconds for items; return those queued, up to ``max_items``."""
        if self._is_woken or timeout <= 0:
            # Yields to the event loop, so that a busy queue does not starve other tasks.
            await checkpoint()
        else:
            self._ready_event = Event()
            with move_on_after(timeout):
                await self._ready_event.wait()
            self._ready_event = None
        return self.drain(max_items)

    def drain(self, max_items=MAX_ITEMS):
        """Return the queued items, up to ``max_items``, without waiting."""
        items = []
        while self._items and len(items) < max_items:
            is_message, item = self._items.popleft()
            self._message_count -= is_message
            items.append(item)
        self._is_woken = bool(self._items)
        if self._space_event is not None:
            self._space_event.set()
            self._space_event = None
        return items

    def wake(self):
        """Make :meth:`wait_for_items` return, even without an item."""
        self._wake()

    def _wake(self):
        self._is_woken = True
        if self._ready_event is not None:
            self._ready_event.set()
