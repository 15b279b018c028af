"""Streams that tell others who leads a group.

>>> from siskintally.messages import Leadership
>>> from siskintally.leader_watchers import LeaderWatchers
>>> watchers = LeaderWatchers()
>>> stream = watchers.add(Leadership(term=1, leader="", is_leader=False))
>>> watchers.publish(Leadership(term=2, leader="s1", is_leader=True))
>>> stream.receive_nowait().term, stream.receive_nowait().leader
(1, 's1')
"""

from anyio import WouldBlock, create_memory_object_stream

BUFFER_MESSAGES = 16


class LeaderWatchers:
    """Receivers of Leadership messages; a slow one loses the oldest, never the latest."""

    __slots__ = ("_ends",)

    def __init__(self):
        self._ends = []

    def add(self, leadership):
        """Return a new receive stream that starts with the present state."""
        sender, receiver = create_memory_object_stream(BUFFER_MESSAGES)
        sender.send_nowait(leadership)
        # The copy is used to drop the oldest message, and to notice that the reader is gone.
        self._ends.append((sender, receiver.clone()))
        return receiver

    def publish(self, leadership):
        """Send the new state to all readers that are still there."""
        for end in list(self._ends):
            sender, receiver = end
            if receiver.statistics().open_receive_streams == 1:
                self._ends.remove(end)
                sender.close()
                receiver.close()
                continue
            try:
                sender.send_nowait(leadership)
            except WouldBlock:
                receiver.receive_nowait()
                sender.send_nowait(leadership)
