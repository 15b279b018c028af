"""Retention of closed flows: returns those whose retention time is over; pure logic.

>>> from siskintally.flow_retention import FlowRetention
>>> retention = FlowRetention(keep_s=60.0)
>>> retention.old(["f"], now=0.0), retention.old(["f"], now=61.0)
([], ['f'])
"""


class FlowRetention:
    """Closed flows and the steady times at which they were first seen closed.

    :param keep_s: retention time of the outcome of a flow.
    """

    __slots__ = ("_keep_s", "_since_by_flow")

    def __init__(self, *, keep_s):
        self._keep_s = keep_s
        self._since_by_flow = {}

    def old(self, closed, now):
        """Return the ids of flows whose retention time is over.

        :param closed: ids of all closed flows.
        :param now: steady time, s.
        """
        known = self._since_by_flow
        self._since_by_flow = {one: known.get(one, now) for one in closed}
        return [one for one, since in self._since_by_flow.items() if now - since > self._keep_s]
