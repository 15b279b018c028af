"""Request handlers of a control group leader: flows, workers, and the configuration.

>>> from siskintally.control_service import ControlService
>>> ControlService.__name__
'ControlService'
"""

from time import time

from siskintally.clock import now as steady
from siskintally.control_pb2 import (
    DocumentPut,
    DocumentRead,
    FlowCancel,
    FlowId,
    FlowRead,
    FlowReply,
    FlowSubmit,
    PoolWorker,
    QueueRead,
    WorkerGone,
    WorkerSeen,
)
from siskintally.control_state import Outcome
from siskintally.errors import BadRequestError, NotFoundError
from siskintally.flow_checks import check_flow
from siskintally.log import get_logger
from siskintally.step_text import describe_step
from siskintally.worker_checks import is_plausible

# Most steps that the log line of a flow describes; flows have only a few, and lines stay short.
LOGGED_STEPS = 8

log = get_logger("control-service")


class ControlService:
    """Handles calls about flows, workers, and the configuration during one term.

    :param leader: :class:`~siskintally.control_leader.ControlLeader` of the term.
    :param on_new_document: function that is called when a new configuration is in force.
    """

    __slots__ = ("_leader", "_on_new_document", "_scheduled_flow_ids", "_seq_by_worker")

    def __init__(self, *, leader, on_new_document):
        self._leader = leader
        self._on_new_document = on_new_document
        self._scheduled_flow_ids = set()
        self._seq_by_worker = {}

    async def handle(self, body):
        """Handle a call and return its :class:`FlowReply`.

        :raises SiskintallyError: the call was refused; its code is the result code.
        """
        return await _HANDLER_BY_TYPE[type(body)](self, body)

    @staticmethod
    def handles(body):
        """Return whether a message is a call that this service handles."""
        return type(body) in _HANDLER_BY_TYPE

    async def _submit_flow(self, body):
        flow = body.flow
        state = self._leader.state
        check_flow(flow)
        if flow.id not in state.flow_by_id:
            if state.queue(flow.queue) is None:
                # A configuration with this queue may be committed but not yet applied here.
                await self._leader.confirm()
                if state.queue(flow.queue) is None:
                    raise NotFoundError(f"queue {flow.queue!r}: not in the configuration")
            flow.accepted_ms = int(time() * 1000)
            await self._leader.propose(accept=flow)
        self._schedule_flow(flow.id)
        return FlowReply(known=True)

    def _schedule_flow(self, flow_id):
        """Pass a committed flow to the scheduler, at most once per term."""
        leader = self._leader
        flow_state = leader.state.flow_by_id.get(flow_id)
        if (
            flow_state is None
            or flow_state.outcome != Outcome.OPEN
            or flow_id in self._scheduled_flow_ids
        ):
            return
        self._scheduled_flow_ids.add(flow_id)
        queue = leader.state.queue(flow_state.flow.queue)
        log.info(
            "flow accepted",
            flow=flow_id,
            queue=flow_state.flow.queue,
            steps=[describe_step(step) for step in flow_state.flow.steps[:LOGGED_STEPS]],
        )
        leader.scheduler.accept(flow_state.flow, queue, steady())
        leader.request_pass()

    async def _cancel_flow(self, body):
        leader = self._leader
        if body.id not in leader.state.flow_by_id:
            await leader.confirm()
        flow_state = leader.state.flow_by_id.get(body.id)
        if flow_state is None:
            return FlowReply(known=False)
        if flow_state.outcome == Outcome.OPEN:
            await leader.propose(cancel=FlowId(id=body.id))
        log.info("flow cancelled", flow=body.id, outcome=flow_state.outcome.name)
        leader.scheduler.cancel(body.id)
        leader.request_pass()
        return FlowReply(known=True)

    async def _read_flow_state(self, body):
        await self._leader.confirm()
        flow_state = self._leader.state.flow_by_id.get(body.id)
        if flow_state is None:
            return FlowReply(known=False)
        state_text = flow_state.outcome.name.lower()
        if flow_state.outcome == Outcome.OPEN:
            run = self._leader.scheduler.flow_by_id.get(body.id)
            state_text = "running" if run is not None and run.started else "queued"
        return FlowReply(known=True, state=state_text)

    async def _count_pending(self, body):
        await self._leader.confirm()
        if self._leader.state.queue(body.queue) is None:
            raise NotFoundError(f"queue {body.queue!r}: not in the configuration")
        return FlowReply(known=True, pending=self._leader.scheduler.count_pending(body.queue))

    async def _put_document(self, body):
        leader = self._leader
        if body.document.version > leader.state.document.version:
            await leader.propose(document=body.document)
            leader.scheduler.update_queues(leader.state)
            self._on_new_document()
            leader.request_pass()
        else:
            # The reply states that this version or a newer one is committed, so this store must
            # still be the leader.
            await leader.confirm()
        log.info(
            "configuration",
            offered=body.document.version,
            in_force=leader.state.document.version,
        )
        return FlowReply(known=True)

    async def _read_document(self, body):
        await self._leader.confirm()
        return FlowReply(known=True, document=self._leader.state.document)

    async def _handle_announcement(self, body):
        """Handle a worker announcement; commit a new incarnation before it gets tasks."""
        received_at = steady()
        wall_ms = int(time() * 1000)
        record = body.worker
        leader = self._leader
        if not is_plausible(record, wall_ms=wall_ms):
            raise BadRequestError(
                f"born, seq = {record.born_ms}, {record.seq}: no worker has reached them"
            )
        known_record = leader.state.worker_by_id.get(record.id)
        if known_record is not None and not is_plausible(known_record, wall_ms=wall_ms):
            log.warning("stored record of the future replaced", worker=record.id)
            known_record = None
        if known_record is not None and record.born_ms < known_record.born_ms:
            log.info("announcement of a former incarnation", worker=record.id)
            return FlowReply(known=True)
        is_known_incarnation = known_record is not None and known_record.born_ms == record.born_ms
        if is_known_incarnation and record.seq < self._seq_by_worker.get(record.id, 0):
            return FlowReply(known=True)
        self._seq_by_worker[record.id] = record.seq
        if not is_known_incarnation or _stored_fields(known_record) != _stored_fields(record):
            await leader.propose(join=record)
            log.info("worker announced", worker=record.id, leaving=record.leaving)
        leader.handle_join(record, received_at)
        return FlowReply(known=True)

    async def _handle_deregistration(self, body):
        """Mark a deregistering worker as leaving; its tasks may still run for a moment."""
        known_record = self._leader.state.worker_by_id.get(body.id)
        if known_record is None or body.born_ms not in (0, known_record.born_ms):
            return FlowReply(known=False)
        record = PoolWorker()
        record.CopyFrom(known_record)
        record.leaving = True
        record.leaves_in_ms = 0
        record.clock_ms = 0
        record.seq = self._seq_by_worker.get(body.id, 0)
        return await self._handle_announcement(WorkerSeen(worker=record))


def _stored_fields(record):
    """Return the fields of an announcement whose change has to be committed."""
    return (
        record.service,
        record.address,
        record.cpu_milli,
        record.memory_mb,
        record.accelerators,
        tuple(record.labels),
        record.leaving,
    )


def refuse_unknown(body):
    """Raise the error for a call that no service of a store handles."""
    raise BadRequestError(f"{type(body).__name__}: no such call")


_HANDLER_BY_TYPE = {
    FlowSubmit: ControlService._submit_flow,
    FlowCancel: ControlService._cancel_flow,
    FlowRead: ControlService._read_flow_state,
    QueueRead: ControlService._count_pending,
    DocumentPut: ControlService._put_document,
    DocumentRead: ControlService._read_document,
    WorkerSeen: ControlService._handle_announcement,
    WorkerGone: ControlService._handle_deregistration,
}
