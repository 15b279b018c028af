"""Streams that notify subscribers of leadership changes of a group.

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
    """Subscribers to leadership changes; a slow one loses the oldest items, never the latest."""

    __slots__ = ("_streams",)

    def __init__(self):
        self._streams = []

    def add(self, leadership):
        """Return a new receive stream that starts with the given leadership."""
        sender, receiver = create_memory_object_stream(BUFFER_MESSAGES)
        sender.send_nowait(leadership)
        # The clone serves to drop the oldest item and to detect that the reader closed its stream.
        self._streams.append((sender, receiver.clone()))
        return receiver

    def publish(self, leadership):
        """Send the new leadership to all open streams; drop the closed ones."""
        for stream in list(self._streams):
            sender, receiver = stream
            if receiver.statistics().open_receive_streams == 1:
                self._streams.remove(stream)
                sender.close()
                receiver.close()
                continue
            try:
                sender.send_nowait(leadership)
            except WouldBlock:
                receiver.receive_nowait()
                sender.send_nowait(leadership)
