"""Queue of the inputs of one task: messages of others, which may be dropped, and calls.

>>> from anyio import run
>>> from siskintally.inbox import Inbox
>>> inbox = Inbox(max_messages=1)
>>> inbox.drop_or_put("one"), inbox.drop_or_put("two")
(True, False)
>>> run(inbox.gather, 5.0, 10)
['one']
"""

from anyio import WouldBlock, create_memory_object_stream, move_on_after

MAX_ITEMS = 16384


class Inbox:
    """Bounded queue from which a task takes all items at hand.

    :param max_messages: messages that wait at most; more are dropped.
    """

    __slots__ = ("_max_messages", "_messages", "_reader", "_writer")

    def __init__(self, *, max_messages):
        self._max_messages = max_messages
        self._messages = 0
        self._writer, self._reader = create_memory_object_stream(MAX_ITEMS)

    def drop_or_put(self, message):
        """Add a message; return False if the queue is full."""
        if self._messages >= self._max_messages:
            return False
        try:
            self._writer.send_nowait((True, message))
        except WouldBlock:
            return False
        self._messages += 1
        return True

    async def put(self, call):
        """Add a call; waits while the queue is full."""
        await self._writer.send((False, call))

    async def gather(self, timeout, max_items):
        """Wait for an item for ``timeout`` seconds; return all items at hand."""
        items = []
        with move_on_after(max(0.0, timeout)):
            items.append(self._taken(await self._reader.receive()))
        if items:
            items.extend(self.drain(max_items - 1))
        return items

    def drain(self, max_items=MAX_ITEMS):
        """Return the items at hand without waiting."""
        items = []
        while len(items) < max_items:
            try:
                items.append(self._taken(self._reader.receive_nowait()))
            except WouldBlock:
                break
        return items

    def _taken(self, pair):
        is_message, item = pair
        self._messages -= is_message
        return item
