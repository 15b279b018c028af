"""Intervals of the leader of a control group, derived from what the platform promises.

>>> from siskintally.flow_timing import FlowTiming
>>> timing = FlowTiming.derive(lease_max_s=6.0, thaw_s=0.3, contact_s=3.0)
>>> timing.lease_s, round(timing.election_min_s, 3)
(3.5, 0.9)
"""

# A lease has to outlive the loss of a leader: detection, election, and the first call of the next
# leader take up to 2.5 s. A longer one delays the replacement of what a lost worker ran.
LEASE_S = 3.5
# Time for the answer to an order: the longest round trip (16 ms between regions) with one packet
# lost (200 ms). An order that is sent again has the same run number, so a short time is safe.
ORDER_S = 0.25
KEEP_S = 120.0


class FlowTiming:
    """Intervals in seconds.

    :param lease_s: duration of the lease of a worker.
    :param margin_s: time that a worker may need to end what runs after its lease.
    :param wait_s: longest time for which a worker is asked to wait for an end.
    :param order_s: time for the answer to an order.
    :param election_min_s: silence after which members look for another leader.
    :param keep_s: time for which the outcome of a flow is kept.
    """

    __slots__ = ("election_min_s", "keep_s", "lease_s", "margin_s", "order_s", "wait_s")

    def __init__(self, *, lease_s, margin_s, wait_s, order_s, election_min_s, keep_s=KEEP_S):
        self.lease_s = lease_s
        self.margin_s = margin_s
        self.wait_s = wait_s
        self.order_s = order_s
        self.election_min_s = election_min_s
        self.keep_s = keep_s

    @classmethod
    def derive(cls, *, lease_max_s, thaw_s, contact_s, status_s=KEEP_S):
        """Return intervals that keep the bounds of a platform.

        :param lease_max_s: longest lease that workers accept.
        :param thaw_s: time that a resumed worker may take to notice that its lease is over.
        :param status_s: time for which callers may ask for the outcome of a flow.
        :param contact_s: time within which the system has to work again after a disruption.
        """
        lease_s = min(LEASE_S, lease_max_s)
        return cls(
            lease_s=lease_s,
            margin_s=thaw_s + 0.1,
            wait_s=min(1.2, lease_s / 3),
            order_s=ORDER_S,
            election_min_s=min(0.9, contact_s * 0.3),
            keep_s=status_s * 1.5,
        )
