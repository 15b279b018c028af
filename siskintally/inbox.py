"""Queue of the inputs of one task: messages of others, which may be dropped, and calls.

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
    """Bounded queue from which a task takes all items at hand.

    :param max_messages: messages that wait at most; more are dropped.
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
        """Add a message; return False if the queue is full.

        :param wakes: False for a message that can wait for the next one or for the next timeout.
        """
        if self._messages >= self._max_messages or len(self._items) >= MAX_ITEMS:
            return False
        self._messages += 1
        self._items.append((True, message))
        if wakes:
            self._wake()
        return True

    async def put(self, call):
        """Add a call; waits while the queue is full."""
        while len(self._items) >= MAX_ITEMS:
            if self._space is None:
                self._space = Event()
            await self._space.wait()
        self._items.append((False, call))
        self._wake()

    async def gather(self, timeout, max_items):
        """Wait for an item for ``timeout`` seconds; return all items at hand."""
        if self._is_due or timeout <= 0:
            # The task that takes the items must not keep others from running.
            await checkpoint()
        else:
            self._ready = Event()
            with move_on_after(timeout):
                await self._ready.wait()
            self._ready = None
        return self.drain(max_items)

    def drain(self, max_items=MAX_ITEMS):
        """Return the items at hand without waiting."""
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
        """Let :meth:`gather` return, also without an item."""
        self._wake()

    def _wake(self):
        self._is_due = True
        if self._ready is not None:
            self._ready.set()
