"""HTTP drivers for the platform's workers and its advice service.

>>> from siskintally.platform.workers import PlatformWorkerDriver
>>> PlatformWorkerDriver().pool_count
0
"""

from json import dumps

from siskintally.driver import (
    AdviceService,
    BusyError,
    EndKind,
    IncarnationGoneError,
    OrderReply,
    Refusal,
    RunEnd,
    RunStatus,
    Ticket,
    WorkerDriver,
    WorkerReport,
)
from siskintally.errors import BadRequestError, OutcomeUnknownError, UnreachableError
from siskintally.http_pool import HttpPool
from siskintally.log import get_logger
from siskintally.platform.fields import Fields
from siskintally.worker_connections import WorkerConnections

EXPECT_INSTANCE_HEADER = "Siskintally-Expect-Instance"
JSON_HEADER = ("Content-Type", "application/json")
STATUS_PATH = "/hold"
# Most ends that a worker returns in one response.
ENDS_PER_REPORT = 500
MISDIRECTED = 421
BUSY_STATUSES = (429, 503)
REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.ROOM,
    "ticket": Refusal.TICKET,
}
TICKET_FIELDS = ("worker", "ticket")
RUN_FIELDS = ("task", "run", "checkpoint", "percent", "load")
END_FIELDS = ("number", "task", "run", "how", "checkpoint")
KIND_BY_HOW = {
    "done": EndKind.DONE,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LAPSED,
    "broken": EndKind.BROKEN,
    "alone": EndKind.ALONE,
}

log = get_logger("platform-workers")


class PlatformWorkerDriver(WorkerDriver):
    """Sends orders and status polls to workers over HTTP."""

    __slots__ = ("_connections",)

    def __init__(self):
        self._connections = WorkerConnections(read_start_ms=_read_start_ms)

    @property
    def pool_count(self):
        """Number of connection pools, one per worker incarnation and address."""
        return self._connections.pool_count

    async def start(self, worker, order, *, timeout):
        """Send a start order."""
        body = {
            "task": order.task_id,
            "run": order.run,
            "spec": order.spec,
            "untilMs": order.lease_until_ms,
            "fence": order.fence,
        }
        if order.checkpoint:
            body["checkpointed"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return _read_order_reply(await self._post(worker, "/run-start", body, timeout))

    async def stop(self, worker, order, *, timeout):
        """Send a stop order."""
        body = {"task": order.task_id, "run": order.run, "fence": order.fence}
        return _read_order_reply(await self._post(worker, "/run-stop", body, timeout))

    async def throttle(self, worker, order, *, timeout):
        """Send a throttle order."""
        body = {
            "task": order.task_id,
            "run": order.run,
            "percent": order.percent,
            "fence": order.fence,
        }
        return _read_order_reply(await self._post(worker, "/pace", body, timeout))

    async def poll_status(
        self, worker, *, fence, lease_until_ms, committed_end_number, wait_ms, timeout
    ):
        """Renew the lease; return the runs in progress and the kept ends.

        On a new connection, the check of the incarnation is the poll, which renews nothing.
        """
        body = {"fence": fence, "ackedUpto": committed_end_number}
        if lease_until_ms is not None:
            body["untilMs"] = lease_until_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        reply = await self._post(worker, STATUS_PATH, body, timeout)
        order_reply = _read_order_reply(reply)
        if order_reply.refusal != Refusal.NONE:
            return WorkerReport(clock_ms=order_reply.clock_ms, refusal=order_reply.refusal)
        return read_report(reply.body)

    async def disconnect(self, worker):
        """Close the connections to a worker."""
        await self._connections.close(worker)

    async def _post(self, worker, path, body, timeout):
        status_poll = _call(worker, STATUS_PATH, {"fence": body["fence"], "ackedUpto": 0})
        reply = await self._connections.request(
            worker, _call(worker, path, body), timeout=timeout, status_poll=status_poll
        )
        _raise_for_status(worker, reply)
        return reply


def _call(worker, path, body):
    return {
        "method": "POST",
        "path": path,
        "headers": (JSON_HEADER, (EXPECT_INSTANCE_HEADER, worker.id)),
        "body": dumps(body, separators=(",", ":")).encode(),
    }


def _raise_for_status(worker, reply):
    """Raise the error for a response that neither executes nor refuses a call."""
    if reply.status == MISDIRECTED:
        raise IncarnationGoneError(f"{worker.address}: another instance than {worker.id}")
    if reply.status in BUSY_STATUSES:
        raise BusyError(f"{worker.id}: status {reply.status}")
    if reply.status >= 500:
        raise OutcomeUnknownError(f"{worker.id}: status {reply.status}")


def _read_start_ms(reply):
    """Return the start time in the reply to a status poll, 0 if it has none.

    :raises OutcomeUnknownError: the reply is malformed and does not refuse the poll.
    """
    try:
        return Fields.parse(reply.body or b"{}").integer("born", 0)
    except BadRequestError as error:
        if reply.status < 300:
            raise OutcomeUnknownError(f"report of a worker: {error}") from error
        return 0


def _read_order_reply(reply):
    """Parse the reply to an order; a refusal without a readable reason is ``INVALID``.

    :raises OutcomeUnknownError: the reply is malformed and does not refuse the order.
    """
    try:
        fields = Fields.parse(reply.body or b"{}")
        clock_ms = fields.integer("clockMs") if fields.has("clockMs") else None
        reason = fields.text("reason", "")
    except BadRequestError as error:
        log.info("worker reply not readable", status=reply.status, error=str(error)[:80])
        if reply.status < 300:
            raise OutcomeUnknownError(f"reply of a worker: {error}") from error
        clock_ms, reason = None, ""
    if reply.status < 300:
        return OrderReply(clock_ms=clock_ms)
    refusal = REFUSAL_BY_REASON.get(reason, Refusal.INVALID)
    return OrderReply(refusal=refusal, clock_ms=clock_ms)


def read_report(body):
    """Parse the status report of a worker.

    :raises OutcomeUnknownError: the report is malformed.
    """
    try:
        fields = Fields.parse(body)
        ended = [_read_end(row) for row in fields.array("ended")]
        return WorkerReport(
            clock_ms=fields.integer("clockMs"),
            running=[_read_run(row) for row in fields.array("running")],
            ended=ended,
            is_partial=len(ended) >= ENDS_PER_REPORT,
        )
    except BadRequestError as error:
        log.info("worker report not readable", error=str(error)[:80])
        raise OutcomeUnknownError(f"report of a worker: {error}") from error


def _read_run(row):
    fields = Fields.from_row(RUN_FIELDS, row)
    return RunStatus(
        task_id=fields.text("task"),
        run=fields.integer("run"),
        checkpoint=_read_checkpoint(fields),
        percent=fields.number("percent"),
        load=fields.number("load") if fields.has("load") else 0,
    )


def _read_end(row):
    fields = Fields.from_row(END_FIELDS, row)
    how = fields.text("how")
    if how not in KIND_BY_HOW:
        raise BadRequestError(f"how = {how[:40]!r}: expected one of {', '.join(KIND_BY_HOW)}")
    return RunEnd(
        number=fields.integer("number"),
        task_id=fields.text("task"),
        run=fields.integer("run"),
        kind=KIND_BY_HOW[how],
        checkpoint=_read_checkpoint(fields),
    )


def _read_checkpoint(fields):
    return fields.text("checkpoint") if fields.has("checkpoint") else ""


class PlatformAdviceService(AdviceService):
    """Client of the platform's service that decides which workers may run a step.

    :param address: host:port, empty if there is no such service.
    """

    __slots__ = ("_pool",)

    def __init__(self, *, address):
        host, _, port = address.rpartition(":")
        self._pool = HttpPool(host=host, port=int(port)) if address else None

    async def ask(self, step_id, worker_ids, *, timeout):
        """Return the tickets of the allowed workers."""
        if self._pool is None:
            raise UnreachableError("no advice service in the settings")
        body = dumps({"step": step_id, "workers": list(worker_ids)}).encode()
        reply = await self._pool.request(
            "POST", "/advise", headers=(JSON_HEADER,), body=body, timeout=timeout
        )
        if reply.status >= 300:
            raise BusyError(f"advice: status {reply.status}")
        try:
            rows = Fields.parse(reply.body).array("allowed")
            tickets = [Fields.from_row(TICKET_FIELDS, row) for row in rows]
            return [
                Ticket(worker_id=row.text("worker"), text=row.text("ticket")) for row in tickets
            ]
        except BadRequestError as error:
            raise OutcomeUnknownError(f"advice: {error}") from error
