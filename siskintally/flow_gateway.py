"""Gateway of an entry for flow requests: calls the leader, which finds the queue.

>>> from siskintally.flow_gateway import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S
>>> 0 < MIN_RETRY_AFTER_S < MAX_RETRY_AFTER_S
True
"""

from math import inf

from anyio import get_cancelled_exc_class

from siskintally.clock import now as steady
from siskintally.codes import Code
from siskintally.control_pb2 import FlowCancel, FlowRead, FlowSubmit, QueueRead
from siskintally.errors import (
    NoConfigError,
    NotFoundError,
    OutcomeUnknownError,
    RefusedError,
    SiskintallyError,
)
from siskintally.log import get_logger

# Share of the caller's time that a call to the leader may take; the rest is for the response.
CALL_TIME_FRACTION = 0.85
# Longest wait for a leader before a request is refused: a lost leader is usually replaced within
# this time after its notices are overdue.
LEADER_WAIT_S = 1.0
# Applies to callers that name no deadline.
DEFAULT_TIMEOUT_S = 3.0
# Limits of the Retry-After value. A leader is usually elected within the minimum. The longer there
# has been none, the longer the outage is likely to last; a caller that retries too early would use
# up its attempts before it ends.
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 4

# Most queues whose timeout an entry keeps.
MAX_KNOWN_TIMEOUTS = 1000

log = get_logger("flow-gateway")


class FlowGateway:
    """Handles the flow requests of callers at one entry.

    :param cache: :class:`~siskintally.leader_cache.LeaderCache`.
    :param client: :class:`~siskintally.control_client.ControlClient`.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = ("_cache", "_client", "_counters", "_timeout_s_by_address")

    def __init__(self, *, cache, client, counters):
        self._cache = cache
        self._client = client
        self._counters = counters
        self._timeout_s_by_address = {}

    async def _require_leader(self, body, timeout_s):
        """Wait for a leader that has been heard recently.

        :raises NoConfigError: none was heard, or there is no configuration yet.
        """
        has_leader = self._cache.version > 0 and await self._client.wait_for_leader(
            timeout=min(LEADER_WAIT_S, timeout_s)
        )
        if not has_leader:
            self._record_refusal("no leader in touch", body)
            raise NoConfigError("no current configuration from a leader")

    def _record_refusal(self, reason, body):
        call = type(body).__name__
        self._counters.refusals.labels(reason, call).inc()
        notice_age_s = self._cache.notice_age_s(steady())
        log.info(
            "request refused",
            reason=reason,
            call=call,
            path=body.address.path[:80],
            id=_flow_id(body),
            version=self._cache.version,
            leader_silent_ms=round(notice_age_s * 1000) if notice_age_s < inf else None,
        )

    def retry_after_s(self):
        """Return after how many whole seconds a refused caller should retry."""
        notice_age_s = self._cache.notice_age_s(steady())
        return int(min(max(notice_age_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S))

    async def submit(self, flow, address, *, deadline_s):
        """Submit a flow; it is committed when this returns.

        :param address: :class:`~siskintally.control_pb2.QueueAddress` of the request.
        :param deadline_s: seconds for which the caller waits, None if it named no deadline.
        :raises OutcomeUnknownError: the flow may or may not be committed.
        :raises SiskintallyError: the flow is not committed.
        """
        await self._call_leader(FlowSubmit(flow=flow, address=address), flow.id, deadline_s)

    async def cancel(self, flow_id, address, *, deadline_s):
        """Cancel a flow; return whether it exists."""
        body = FlowCancel(id=flow_id, address=address)
        return (await self._call_leader(body, flow_id, deadline_s)).known

    async def read(self, flow_id, address, *, deadline_s):
        """Return the :class:`~siskintally.control_pb2.FlowReply` with the state of a flow.

        If the address is the prefix of a queue, which may end like a flow id, the reply has the
        number of flows that have not started in place of a state.
        """
        body = FlowRead(id=flow_id, address=address)
        return await self._call_leader(body, flow_id, deadline_s)

    async def count_pending(self, address, *, deadline_s):
        """Return how many flows of a queue have not started."""
        body = QueueRead(address=address)
        return (await self._call_leader(body, address.path, deadline_s)).pending

    def _timeout_s(self, body, deadline_s):
        """Return the lower one of the caller's and the queue's timeout, as far as known."""
        known = (deadline_s, self._timeout_s_by_address.get(_queue_key(body)))
        return min((limit for limit in known if limit is not None), default=DEFAULT_TIMEOUT_S)

    def _record_timeout(self, body, reply):
        """Keep the timeout of the queue for the next calls with its address."""
        if len(self._timeout_s_by_address) >= MAX_KNOWN_TIMEOUTS:
            self._timeout_s_by_address.clear()
        if reply.timeout_ms:
            self._timeout_s_by_address[_queue_key(body)] = reply.timeout_ms / 1000

    async def _call_leader(self, body, name, deadline_s):
        started_at = steady()
        timeout_s = self._timeout_s(body, deadline_s) * CALL_TIME_FRACTION
        await self._require_leader(body, timeout_s)
        timeout_s -= steady() - started_at
        call = type(body).__name__
        outcome = "failed"
        try:
            reply = await self._client.call(body, timeout=timeout_s)
            self._record_timeout(body, reply)
            outcome = "done"
            return reply
        except get_cancelled_exc_class():
            outcome = "caller gone"
            raise
        except RefusedError as error:
            outcome = error.code.name
            if error.code == Code.NOT_FOUND:
                self._record_refusal("no such queue", body)
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
                version=self._cache.version,
                took_ms=round(took_s * 1000),
            )


def _queue_key(body):
    """Return the host and the prefix that a call was sent to."""
    return body.address.host, body.address.path.removesuffix(_flow_id(body))


def _flow_id(body):
    return body.flow.id if isinstance(body, FlowSubmit) else getattr(body, "id", "")
