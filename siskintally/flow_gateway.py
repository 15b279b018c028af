"""Gateway of an entry for flow requests: matches the queue and calls the leader.

>>> from siskintally.control_pb2 import Queue, QueueDocument
>>> from siskintally.flow_gateway import match_queue
>>> document = QueueDocument(queues=[Queue(name="q", host="h", prefix="/a/")])
>>> match_queue(document, "h", "/a/17").name, match_queue(document, "h", "/b/17")
('q', None)
"""

from math import inf

from anyio import get_cancelled_exc_class

from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.control_pb2 import FlowCancel, FlowRead, FlowSubmit, QueueRead
from siskintally.errors import NotFoundError, OutcomeUnknownError, RefusedError, SiskintallyError
from siskintally.log import get_logger

# Share of the caller's time that a call to the leader may take; the rest is for the response.
CALL_TIME_FRACTION = 0.85
# Applies to callers without a deadline, on a queue without a timeout.
DEFAULT_TIMEOUT_S = 3.0
# Limits of the Retry-After value. A leader is usually elected within the minimum. The longer there
# has been none, the longer the outage is likely to last; a caller that retries too early would use
# up its attempts before it ends.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 4
# Values of the label ``call`` of refusals; callers can send any other method.
COUNTED_METHODS = frozenset(("GET", "POST", "DELETE"))

log = get_logger("flow-gateway")


class NoConfigError(SiskintallyError):
    """The entry has no current configuration of the queues; nothing was done."""

    code = Code.NO_CONFIG


def match_queue(document, host, path):
    """Return the queue with the longest prefix of a path on a host, or None."""
    matches = (
        queue
        for queue in document.queues
        if queue.host.lower() == host and path.startswith(queue.prefix)
    )
    return max(matches, key=lambda queue: len(queue.prefix), default=None)


class FlowGateway:
    """Handles the flow requests of callers at one entry.

    :param cache: :class:`~siskintally.leader_cache.LeaderCache`.
    :param client: :class:`~siskintally.control_client.ControlClient`.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = ("_cache", "_client", "_counters")

    def __init__(self, *, cache, client, counters):
        self._cache = cache
        self._client = client
        self._counters = counters

    def find_queue(self, host, path, method):
        """Return the queue that a path belongs to.

        :param method: HTTP method of the request, for the log and the metrics.
        :raises NoConfigError: there is no cached configuration, or it may be outdated.
        :raises NotFoundError: no queue matches.
        """
        now = steady()
        if not self._cache.is_fresh(now):
            self._record_refusal("no leader in touch", path, method, now)
            raise NoConfigError("no current configuration from a leader")
        queue = match_queue(self._cache.document, host, path)
        if queue is None:
            self._record_refusal("no such queue", path, method, now)
            raise NotFoundError(f"no queue at {host}{path[:80]}")
        return queue

    def _record_refusal(self, reason, path, method, now):
        call = method if method in COUNTED_METHODS else "other"
        self._counters.refusals.labels(reason, call).inc()
        notice_age_s = self._cache.notice_age_s(now)
        log.info(
            "request refused",
            reason=reason,
            call=call,
            path=path[:80],
            id=path.rpartition("/")[2][:40],
            version=self._cache.document.version,
            leader_silent_ms=round(notice_age_s * 1000) if notice_age_s < inf else None,
        )

    def retry_after_s(self):
        """Return after how many whole seconds a refused caller should retry."""
        notice_age_s = self._cache.notice_age_s(steady())
        return int(min(max(notice_age_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S))

    async def submit(self, flow, queue, *, deadline_s):
        """Submit a flow; it is committed when this returns.

        :param deadline_s: seconds for which the caller waits, None if it named no deadline.
        :raises OutcomeUnknownError: the flow may or may not be committed.
        :raises SiskintallyError: the flow is not committed.
        """
        await self._call_leader(FlowSubmit(flow=flow), flow.id, _timeout_s(queue, deadline_s))

    async def cancel(self, flow_id, queue, *, deadline_s):
        """Cancel a flow; return whether it exists."""
        body = FlowCancel(id=flow_id, queue=queue.name)
        reply = await self._call_leader(body, flow_id, _timeout_s(queue, deadline_s))
        return reply.known

    async def read(self, flow_id, queue, *, deadline_s):
        """Return the state of a flow, or None if it does not exist."""
        body = FlowRead(id=flow_id, queue=queue.name)
        reply = await self._call_leader(body, flow_id, _timeout_s(queue, deadline_s))
        return reply.state if reply.known else None

    async def count_pending(self, queue, *, deadline_s):
        """Return how many flows of a queue have not started."""
        body = QueueRead(queue=queue.name)
        reply = await self._call_leader(body, queue.name, _timeout_s(queue, deadline_s))
        return reply.pending

    async def _call_leader(self, body, name, timeout_s):
        started_at = steady()
        call = type(body).__name__
        outcome = "failed"
        try:
            reply = await self._client.call(body, timeout=timeout_s * CALL_TIME_FRACTION)
            outcome = "done"
            return reply
        except get_cancelled_exc_class():
            outcome = "caller gone"
            raise
        except RefusedError as error:
            outcome = error.code.name
            if error.code == Code.NOT_FOUND:
                raise NotFoundError(str(error)) from error
            if error.code == Code.OUTCOME_UNKNOWN:
                raise OutcomeUnknownError(str(error)) from error
            raise
        except SiskintallyError as error:
            outcome = error.code.name
            raise
        finally:
            took_s = steady() - started_at
            self._counters.requests.labels(call, outcome).inc()
            self._counters.request_seconds.labels(call).observe(took_s)
            log.info(
                "request",
                call=call,
                id=name,
                outcome=outcome,
                leader=self._cache.leader(steady()),
                version=self._cache.document.version,
                took_ms=round(took_s * 1000),
            )


def _timeout_s(queue, deadline_s):
    """Return the lower one of the caller's and the queue's timeout, or the default."""
    limits = [queue.timeout_ms / 1000] if queue.timeout_ms else []
    if deadline_s is not None:
        limits.append(deadline_s)
    return min(limits, default=DEFAULT_TIMEOUT_S)
