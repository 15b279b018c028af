"""Retention of closed flows: returns those whose retention time is over; pure logic.

>>> from siskintally.flow_retention import FlowRetention
>>> retention = FlowRetention(retention_s=60.0)
>>> retention.expired(["f"], now=0.0), retention.expired(["f"], now=61.0)
([], ['f'])
"""


class FlowRetention:
    """Closed flows and the steady times at which they were first seen closed.

    :param retention_s: retention time of the outcome of a flow.
    """

    __slots__ = ("_closed_at_by_flow", "_retention_s")

    def __init__(self, *, retention_s):
        self._retention_s = retention_s
        self._closed_at_by_flow = {}

    def expired(self, closed, now):
        """Return the ids of flows whose retention time is over.

        :param closed: ids of all closed flows.
        :param now: steady time, s.
        """
        previous = self._closed_at_by_flow
        self._closed_at_by_flow = {flow_id: previous.get(flow_id, now) for flow_id in closed}
        return [
            flow_id
            for flow_id, closed_at in self._closed_at_by_flow.items()
            if now - closed_at > self._retention_s
        ]
