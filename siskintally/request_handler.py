"""Handling of one request in an entry: ledger, admission, dispatch, retries, answer.

>>> from siskintally.request_handler import RequestHandler
>>> RequestHandler.__name__
'RequestHandler'
"""

from time import monotonic
from uuid import uuid4

from anyio import Event, move_on_after, sleep

from siskintally.admission import OverloadedError, next_deadline_check
from siskintally.call import Answer
from siskintally.codes import Code, not_run
from siskintally.errors import SiskintallyError, UnreachableError
from siskintally.fair_queue import QueuedRequest
from siskintally.forward import SendResult, SendStatus
from siskintally.ledger_client import LedgerUnreachableError
from siskintally.log import get_logger
from siskintally.service_dispatcher import has_slot
from siskintally.wire_pb2 import LedgerBeginReply

# Attempts per request. Retries of attempts that certainly sent nothing are outside of the retry
# budget, because they put no load on an endpoint.
MAX_DISPATCHES = 3
# Endpoints announce themselves every second, so an entry that has just started knows none of them.
STARTUP_WAIT_S = 2.0
STARTUP_POLL_S = 0.05
# A request waits for the first announcement for at most this fraction of the time it has left.
STARTUP_WAIT_RATIO = 0.25
# An attempt of an idempotent request may use this fraction of the time left, so that a retry on
# another endpoint fits, but at least 8 mean service times.
ATTEMPT_RATIO = 0.5
ATTEMPT_SERVICE_TIMES = 8.0
# The deadline given to an entry of another domain is earlier by 0.1 s or 10% of the time left,
# whichever is less.
FORWARD_MARGIN_S = 0.1
FORWARD_MARGIN_RATIO = 0.1
# Longest wait for the ledger to acknowledge an outcome before the caller is answered; settling
# continues in the background.
MAX_SETTLE_WAIT_S = 2.0
EXPIRED_EVIDENCE = "deadline passed in the queue; no byte was sent"
NOT_RUN_EVIDENCE = "this attempt was not run; earlier ones with the key are unchanged"

log = get_logger("request-handler")


class RequestHandler:
    """Runs requests from admission to the answer.

    :param dispatcher_of: ``dispatcher_of(service)`` returns the
        :class:`~siskintally.service_dispatcher.ServiceDispatcher` of a service.
    :param budget: :class:`~siskintally.retry.RetryBudget`.
    :param ledger: :class:`~siskintally.ledger_client.LedgerClient`.
    :param peers: :class:`~siskintally.peers.Peers`, entries of other domains.
    :param metrics: :class:`~siskintally.metrics.Metrics`.
    :param started: monotonic time at which the entry started.
    """

    __slots__ = ("_budget", "_dispatcher_of", "_ledger", "_metrics", "_peers", "_startup_end")

    def __init__(self, *, dispatcher_of, budget, ledger, peers, metrics, started):
        self._startup_end = started + STARTUP_WAIT_S
        self._dispatcher_of = dispatcher_of
        self._budget = budget
        self._ledger = ledger
        self._peers = peers
        self._metrics = metrics

    async def handle(self, call):
        """Serve a caller's request.

        :returns: an :class:`~siskintally.call.Answer`.
        """
        answer = await (
            self._run_at_most_once(call)
            if call.non_idempotent
            else self._dispatch_with_retries(call)
        )
        log.debug("answered", request_id=call.request_id, code=int(answer.code))
        return answer

    async def handle_forwarded(self, call):
        """Serve a request that an entry of another domain forwarded.

        An attempt with an unknown outcome is retried only by that entry, from its retry budget.
        """
        return await self._dispatch_with_retries(call, forwarded=True)

    async def _run_at_most_once(self, call):
        now = monotonic()
        dispatcher = self._dispatcher_of(call.service)
        if dispatcher.endpoint_count(now):
            try:
                dispatcher.check(_queued_request(call, now), now=now)
            except OverloadedError as error:
                return Answer.without_response(Code.OVERLOADED, f"{NOT_RUN_EVIDENCE}; {error}")
        attempt = uuid4().hex
        try:
            reply = await self._ledger.begin(call, attempt=attempt, timeout=call.deadline - now)
        except LedgerUnreachableError as error:
            return Answer.without_response(Code.LEDGER_UNREACHABLE, f"{NOT_RUN_EVIDENCE}; {error}")
        if reply.verdict != LedgerBeginReply.GRANTED:
            return _answer_from_verdict(reply)
        return await self._run_granted(call, attempt)

    async def _run_granted(self, call, attempt):
        answer = await self._dispatch_with_retries(call)
        if answer.is_not_run:
            await self._ledger.release(call, attempt=attempt, timeout=MAX_SETTLE_WAIT_S)
            return answer
        known = answer if answer.status else None
        await self._ledger.finish(call, attempt=attempt, answer=known, timeout=MAX_SETTLE_WAIT_S)
        return answer

    async def _dispatch_with_retries(self, call, forwarded=False):
        """Dispatch until a response, the deadline, or no further attempt is allowed."""
        await self._wait_for_endpoint(call)
        avoid = ""
        unknown_answer = None
        for number in range(MAX_DISPATCHES):
            if number and monotonic() >= call.deadline:
                break
            answer, avoid = await self._dispatch(
                call, avoid, forwarded, is_last_attempt=call.non_idempotent
            )
            if unknown_answer is None and not forwarded and not answer.is_not_run:
                # Only the first attempt that may have run counts for the retry budget. A forwarded
                # request counts at the entry that forwarded it.
                self._budget.record_first_attempt()
            if answer.status or answer.code not in (Code.NO_ENDPOINT, Code.OUTCOME_UNKNOWN):
                return unknown_answer or answer if answer.is_not_run else answer
            if answer.code == Code.NO_ENDPOINT and not avoid:
                break
            if answer.code == Code.OUTCOME_UNKNOWN:
                unknown_answer = answer
                if call.non_idempotent or forwarded or not self._budget.try_take():
                    break
                self._metrics.count("retries")
        return unknown_answer or answer

    async def _wait_for_endpoint(self, call):
        """Wait for the first announcement of a service if this entry has just started."""
        now = monotonic()
        end = startup_wait_end(self._startup_end, call.deadline, now)
        while now < end and not self._has_endpoint_or_peer(call.service, now):
            await sleep(STARTUP_POLL_S)
            now = monotonic()

    def _has_endpoint_or_peer(self, service, now):
        return (
            self._dispatcher_of(service).endpoint_count(now)
            or self._peers.choose(service) is not None
        )

    async def _dispatch(self, call, avoid, forwarded, is_last_attempt):
        """Make one attempt, at an endpoint or through an entry of another domain.

        :param is_last_attempt: whether no attempt may follow one that may have run; it then gets
            all of the time left.
        :returns: the answer, and the endpoint or entry that was tried (empty if none).
        """
        now = monotonic()
        dispatcher = self._dispatcher_of(call.service)
        _, total = dispatcher.capacity(now)
        if total:
            try:
                return await self._dispatch_locally(
                    call, dispatcher, avoid, may_retry=not is_last_attempt
                )
            except OverloadedError as error:
                refused = Answer.without_response(Code.OVERLOADED, str(error))
            peer = None if forwarded else self._peers.choose(call.service, need_free=True)
        else:
            refused = Answer.without_response(Code.NO_ENDPOINT, "no live endpoint with a slot")
            peer = None if forwarded else self._peers.choose(call.service, avoid=avoid)
        if peer is None:
            return refused, ""
        return await self._forward_to_peer(call, peer), peer

    async def _dispatch_locally(self, call, dispatcher, avoid, may_retry):
        granted = Event()
        request = _queued_request(call, monotonic(), notify=granted.set, avoid=avoid)
        dispatcher.offer(request, now=monotonic())
        try:
            has_chance = await _wait_for_slot(dispatcher, request, granted)
        except BaseException:
            self._release_or_withdraw(dispatcher, request)
            raise
        if not has_slot(request):
            dispatcher.withdraw(request)
            if request.deadline > monotonic() and (granted.is_set() or not has_chance):
                raise OverloadedError("dropped from the queue; no byte was sent")
            return Answer.without_response(Code.EXPIRED, EXPIRED_EVIDENCE), ""
        result = await self._send(call, dispatcher, request, may_retry)
        return _answer_from_result(result), request.endpoint.key

    @staticmethod
    def _release_or_withdraw(dispatcher, request):
        if has_slot(request):
            dispatcher.release(request, ok=None, seconds=None, now=monotonic())
        else:
            dispatcher.withdraw(request)

    async def _send(self, call, dispatcher, request, may_retry):
        started = monotonic()
        self._metrics.timing("queue_wait", started - request.queued_at)
        deadline = _attempt_deadline(call, dispatcher, started) if may_retry else call.deadline
        result = None
        try:
            result = await request.endpoint.forwarder.send(
                request_id=call.request_id,
                method=call.method,
                target=call.target,
                headers=call.headers,
                body=call.body,
                deadline=deadline,
            )
        finally:
            now = monotonic()
            dispatcher.release(request, now=now, **_release_arguments(result, now - started))
        return result

    async def _forward_to_peer(self, call, peer):
        self._metrics.count("cross_domain")
        if self._peers.is_other_region(peer):
            self._metrics.count("cross_region")
        remaining = call.deadline - monotonic()
        if remaining <= 0:
            return Answer.without_response(Code.EXPIRED, "deadline passed")
        # The other entry has the earlier deadline, so its "not run" answer still arrives in time.
        message = call.to_message()
        message.deadline_s = remaining - min(FORWARD_MARGIN_S, remaining * FORWARD_MARGIN_RATIO)
        try:
            answer = Answer.from_message(await self._peers.call(peer, message, timeout=remaining))
        except UnreachableError as error:
            return Answer.without_response(Code.NO_ENDPOINT, str(error))
        except SiskintallyError as error:
            code = Code.NO_ENDPOINT if not_run(error.code) else Code.OUTCOME_UNKNOWN
            return Answer.without_response(code, str(error))
        if answer.code in (Code.DRAINING, Code.NO_CONFIG):
            return Answer.without_response(Code.NO_ENDPOINT, answer.evidence)
        return answer


def startup_wait_end(startup_end, deadline, now):
    """Return the time until which a request waits for the first announcement of its service.

    >>> [startup_wait_end(2.0, deadline, 1.0) for deadline in (61.0, 3.0)]
    [2.0, 1.5]
    """
    return min(startup_end, now + STARTUP_WAIT_RATIO * (deadline - now))


def _queued_request(call, now, notify=None, avoid=""):
    return QueuedRequest(
        rank=call.rank,
        caller=call.caller,
        deadline=call.deadline,
        queued_at=now,
        notify=notify,
        avoid=avoid,
        may_probe=not call.non_idempotent,
    )


def _attempt_deadline(call, dispatcher, now):
    if dispatcher.endpoint_count(now) < 2:
        return call.deadline
    remaining = call.deadline - now
    service_times_s = dispatcher.admission.mean_service_s(now) * ATTEMPT_SERVICE_TIMES
    return now + min(remaining, max(remaining * ATTEMPT_RATIO, service_times_s))


def _release_arguments(result, seconds):
    """Return the arguments of :meth:`ServiceDispatcher.release` for the result of a dispatch.

    :param seconds: time from sending to the result.
    """
    if result is None:
        return {"ok": None, "seconds": None}
    if result.send_status is SendStatus.NOT_SENT:
        return {"ok": None, "seconds": None, "unreachable": result.unreachable}
    done = result.send_status is SendStatus.DONE
    return {
        "ok": done and result.status < 500,
        "seconds": seconds if done else None,
        "may_run": result.may_run,
    }


async def _wait_for_slot(dispatcher, request, granted):
    """Wait until a request gets a slot, is dropped, or reaches its deadline.

    :returns: False if a check found that the request can't meet its deadline any more.
    """
    while not granted.is_set() and (now := monotonic()) < request.deadline:
        with move_on_after(next_deadline_check(request, now) - now):
            await granted.wait()
        if not granted.is_set() and not dispatcher.can_meet_deadline(request, now=monotonic()):
            return False
    return True


def _answer_from_result(result: SendResult):
    if result.send_status is SendStatus.DONE:
        return Answer.from_response(result.status, result.headers, result.body)
    if result.send_status is SendStatus.NOT_SENT:
        evidence = f"no byte was sent: {result.reason}"
        return Answer.without_response(Code.NO_ENDPOINT, evidence)
    evidence = f"bytes were sent, no complete response: {result.reason}"
    return Answer.without_response(Code.OUTCOME_UNKNOWN, evidence)


def _answer_from_verdict(reply):
    verdict = reply.verdict
    if verdict == LedgerBeginReply.REPLAYED:
        return _replayed_answer(reply.answer)
    code, evidence = {
        LedgerBeginReply.IN_PROGRESS: (Code.IN_PROGRESS, "the same key is being run"),
        LedgerBeginReply.UNKNOWN: (Code.OUTCOME_UNKNOWN, "outcome of the first run is unknown"),
        LedgerBeginReply.CONFLICT: (Code.KEY_CONFLICT, "same key with another request or caller"),
    }.get(verdict, (Code.LEDGER_UNREACHABLE, NOT_RUN_EVIDENCE))
    return Answer.without_response(code, evidence)


def _replayed_answer(stored):
    headers = [("content-type", stored.content_type)] if stored.content_type else []
    if not stored.body_kept:
        headers.append(("siskintally-stored-digest", stored.body_digest.hex()))
    return Answer(
        code=Code.REPLAYED,
        evidence="stored response" if stored.body_kept else "stored response without its body",
        status=stored.status,
        headers=headers,
        body=stored.body,
    )
