"""Index of the configured queues by name, and by host and prefix; pure logic.

A queue is identified by its host and prefix, which callers know. Its name may change.

>>> from siskintally.control_pb2 import Flow, Queue
>>> from siskintally.queue_index import QueueIndex
>>> index = QueueIndex(queues=[Queue(name="q", host="h", prefix="/a/")])
>>> index.match("h", "/a/17").name, index.match("h", "/b/17")
('q', None)
>>> index.of_flow(Flow(queue="former name", host="h", prefix="/a/")).name
'q'
"""


class QueueIndex:
    """Lookup of queues whose cost does not grow with their number.

    ``by_name``: :class:`~siskintally.control_pb2.Queue` messages by name.

    :param queues: the queues of one configuration.
    """

    __slots__ = ("_by_host_and_prefix", "_longest_prefix", "by_name")

    def __init__(self, *, queues=()):
        self.by_name = {queue.name: queue for queue in queues}
        self._by_host_and_prefix = {(queue.host.lower(), queue.prefix): queue for queue in queues}
        self._longest_prefix = max((len(queue.prefix) for queue in queues), default=0)

    def match(self, host, path):
        """Return the queue with the longest prefix of a path on a host, or None."""
        for length in range(min(len(path), self._longest_prefix), 0, -1):
            queue = self._by_host_and_prefix.get((host, path[:length]))
            if queue is not None:
                return queue
        return None

    def of_flow(self, flow):
        """Return the queue at the address where a flow was accepted, or None."""
        return self._by_host_and_prefix.get((flow.host.lower(), flow.prefix))
