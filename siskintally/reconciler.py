"""Reconciles a worker's heartbeat with the committed assignments; does no I/O.

>>> from siskintally.domain import Domain
>>> from siskintally.reconciler import compare_heartbeat
>>> from siskintally.wire_pb2 import AttemptState, WorkerBeat
>>> running = AttemptState(task_id="j/g.0", attempt=1)
>>> heartbeat = WorkerBeat(worker="w1", session="s", full=True, attempts=[running])
>>> diff = compare_heartbeat(Domain(group="g"), heartbeat)
>>> [stop.task_id for stop in diff.stops], diff.worker_record.name
(['j/g.0'], 'w1')
"""

from siskintally.domain_state_pb2 import AttemptEnd, WorkerRecord
from siskintally.wire_pb2 import AttemptState, StopOrder

_CAUSE_BY_STATE = {
    AttemptState.SUCCEEDED: AttemptEnd.SUCCEEDED,
    AttemptState.FAILED: AttemptEnd.FAILED,
    AttemptState.STOPPED: AttemptEnd.STOPPED,
}


class HeartbeatDiff:
    """Differences between a heartbeat and the committed state.

    :param worker_record: WorkerRecord to commit if the worker is new or has changed, or None.
    :param ended: AttemptEnd messages to commit.
    :param reported_ends: reported ends; the worker may drop them once ``ended`` is committed.
    :param running: (task id, attempt) of assigned attempts that the worker reports as started.
    :param unreported: ids of tasks assigned in this session that the worker does not report.
    :param stops: StopOrder messages for attempts that are not assigned to the worker.
    """

    __slots__ = ("ended", "reported_ends", "running", "stops", "unreported", "worker_record")

    def __init__(self):
        self.worker_record = None
        self.ended = []
        self.reported_ends = []
        self.running = []
        self.unreported = []
        self.stops = []

    @property
    def must_commit(self):
        """Whether there are changes to commit."""
        return self.worker_record is not None or bool(self.ended)


def compare_heartbeat(domain, heartbeat):
    """Compare a heartbeat with the committed state.

    :param domain: :class:`~siskintally.domain.Domain`.
    :param heartbeat: WorkerBeat; a full one lists all attempts of the worker.
    :returns: :class:`HeartbeatDiff`.
    """
    diff = HeartbeatDiff()
    record = WorkerRecord(
        name=heartbeat.worker,
        domain=heartbeat.domain,
        rack=heartbeat.rack,
        session=heartbeat.session,
        capacity=heartbeat.capacity,
    )
    worker = domain.worker_by_name.get(heartbeat.worker)
    if worker is None or worker.record != record:
        diff.worker_record = record
    for state in heartbeat.attempts:
        _compare_attempt(domain, heartbeat.worker, state, diff)
    if heartbeat.full and worker is not None:
        _compare_unreported(domain, worker, heartbeat, diff)
    return diff


def _compare_attempt(domain, worker, state, diff):
    task = domain.task(state.task_id)
    is_current = task is not None and task.worker == worker and task.attempt == state.attempt
    cause = _CAUSE_BY_STATE.get(state.state)
    if cause is not None:
        diff.reported_ends.append(state)
        if is_current:
            diff.ended.append(AttemptEnd(task_id=state.task_id, attempt=state.attempt, cause=cause))
    elif is_current:
        diff.running.append((state.task_id, state.attempt))
    else:
        diff.stops.append(StopOrder(task_id=state.task_id, attempt=state.attempt))


def _compare_unreported(domain, worker, heartbeat, diff):
    """Add the assigned attempts that a full heartbeat does not list.

    If the session is the one of the assignment, the start order was lost or is in flight; it is
    resent, and the worker ignores a duplicate. In another session the attempt was never started or
    has ended with the old session.
    """
    reported = {(state.task_id, state.attempt) for state in heartbeat.attempts}
    for task_id in sorted(worker.task_ids):
        task = domain.task(task_id)
        if (task_id, task.attempt) in reported:
            continue
        if task.session == heartbeat.session:
            diff.unreported.append(task_id)
        else:
            diff.ended.append(
                AttemptEnd(task_id=task_id, attempt=task.attempt, cause=AttemptEnd.LOST)
            )
