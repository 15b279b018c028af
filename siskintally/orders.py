"""Start and stop orders that workers have not confirmed yet; does no I/O.

>>> from siskintally.orders import Orders
>>> from siskintally.wire_pb2 import StopOrder
>>> orders = Orders()
>>> orders.add_stop("w1", StopOrder(task_id="j/g.0", attempt=1))
>>> [stop.task_id for stop in orders.take_due("w1", now=0.0).stops]
['j/g.0']
>>> orders.take_due("w1", now=1.0).is_empty
True
"""

# An order is resent after this time. Orders are lost only with their link, and then all are resent
# at once. The time exceeds the interval between heartbeats, because workers confirm starts with the
# next regular heartbeat.
RESEND_S = 15.0


class DueOrders:
    """Orders to send now.

    :param starts: StartOrder messages.
    :param stops: StopOrder messages.
    """

    __slots__ = ("starts", "stops")

    def __init__(self, *, starts, stops):
        self.starts = starts
        self.stops = stops

    @property
    def is_empty(self):
        """Whether there is nothing to send."""
        return not self.starts and not self.stops


class _Order:
    __slots__ = ("message", "sent_at")

    def __init__(self, *, message):
        self.message = message
        self.sent_at = None


class Orders:
    """Unconfirmed orders of each worker."""

    __slots__ = ("_starts_by_worker", "_stops_by_worker")

    def __init__(self):
        self._starts_by_worker = {}
        self._stops_by_worker = {}

    def add_start(self, worker, message):
        """Add a start order whose assignment is committed."""
        starts = self._starts_by_worker.setdefault(worker, {})
        starts[message.task_id, message.attempt] = _Order(message=message)

    def add_stop(self, worker, message):
        """Add a stop order; an unsent start order stays, so that the worker reports the end."""
        stops = self._stops_by_worker.setdefault(worker, {})
        stops.setdefault((message.task_id, message.attempt), _Order(message=message))

    def confirm_start(self, worker, task_id, attempt):
        """Remove a start order that the worker has confirmed."""
        self._starts_by_worker.get(worker, {}).pop((task_id, attempt), None)

    def remove_attempt(self, worker, task_id, attempt):
        """Remove the orders of an attempt that has ended."""
        self._starts_by_worker.get(worker, {}).pop((task_id, attempt), None)
        self._stops_by_worker.get(worker, {}).pop((task_id, attempt), None)

    def remove_worker(self, worker):
        """Remove all orders of a lost worker."""
        self._starts_by_worker.pop(worker, None)
        self._stops_by_worker.pop(worker, None)

    def resend(self, worker):
        """Make all orders of a worker due, after it has reconnected or a send has failed."""
        for orders in (self._starts_by_worker, self._stops_by_worker):
            for order in orders.get(worker, {}).values():
                order.sent_at = None

    def take_due(self, worker, *, now, with_starts=True):
        """Return the orders not sent in the last ``RESEND_S``, and mark them as sent now."""
        starts = self._starts_by_worker.get(worker, {}) if with_starts else {}
        return DueOrders(
            starts=list(_mark_sent(starts, now)),
            stops=list(_mark_sent(self._stops_by_worker.get(worker, {}), now)),
        )


def _mark_sent(orders, now):
    for order in orders.values():
        if order.sent_at is None or now - order.sent_at >= RESEND_S:
            order.sent_at = now
            yield order.message
