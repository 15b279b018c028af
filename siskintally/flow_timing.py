"""Intervals and timeouts of a control group leader, derived from the platform's guarantees.

>>> from siskintally.flow_timing import FlowTiming
>>> timing = FlowTiming.derive(lease_max_s=6.0, thaw_s=0.3, contact_s=3.0)
>>> timing.lease_s, round(timing.election_min_s, 3)
(4.2, 0.9)
"""

# Part of a lease that is left at least when a leader is lost: detection, election, and the first
# call of the next leader take up to 2.5 s. A longer lease delays the restart of tasks of a lost
# worker.
MIN_LEASE_LEFT_S = 3.0
# Longest wait of a status poll. A lease is renewed by each poll, so it lasts longer by this time.
MAX_POLL_WAIT_S = 1.2
# Timeout for the reply to an order: the longest round trip (16 ms between regions) with one lost
# packet (200 ms). A repeated order has the same run number, so a short timeout is safe.
ORDER_TIMEOUT_S = 0.25
# Default retention time of closed flows.
DEFAULT_RETENTION_S = 120.0


class FlowTiming:
    """Intervals and timeouts in seconds.

    :param lease_s: duration of the lease of a worker.
    :param margin_s: time that a worker may need to end its runs after its lease has expired.
    :param max_wait_s: longest wait of a status poll for an end on the worker.
    :param order_timeout_s: timeout for the reply to an order.
    :param election_min_s: shortest election timeout of the group.
    :param retention_s: time for which the outcome of a closed flow is kept.
    """

    __slots__ = (
        "election_min_s",
        "lease_s",
        "margin_s",
        "max_wait_s",
        "order_timeout_s",
        "retention_s",
    )

    def __init__(
        self,
        *,
        lease_s,
        margin_s,
        max_wait_s,
        order_timeout_s,
        election_min_s,
        retention_s=DEFAULT_RETENTION_S,
    ):
        self.lease_s = lease_s
        self.margin_s = margin_s
        self.max_wait_s = max_wait_s
        self.order_timeout_s = order_timeout_s
        self.election_min_s = election_min_s
        self.retention_s = retention_s

    @classmethod
    def derive(cls, *, lease_max_s, thaw_s, contact_s, status_s=DEFAULT_RETENTION_S):
        """Return intervals that meet the guarantees of a platform.

        :param lease_max_s: longest lease that workers accept.
        :param thaw_s: time that a worker resumed from a pause may take to notice that its lease
            has expired.
        :param status_s: time for which callers may query the outcome of a flow.
        :param contact_s: time within which the system has to work again after a disruption.
        """
        lease_s = min(MIN_LEASE_LEFT_S + MAX_POLL_WAIT_S, lease_max_s)
        return cls(
            lease_s=lease_s,
            margin_s=thaw_s + 0.1,
            max_wait_s=min(MAX_POLL_WAIT_S, lease_s / 3),
            order_timeout_s=ORDER_TIMEOUT_S,
            election_min_s=min(0.9, contact_s * 0.3),
            retention_s=status_s * 1.5,
        )
