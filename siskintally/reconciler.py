"""Reconciles a worker's heartbeat with the committed assignments; does no I/O.

>>> from siskintally.domain import Domain
>>> from siskintally.reconciler import compare
>>> from siskintally.wire_pb2 import AttemptState, WorkerBeat
>>> running = AttemptState(task_id="j/g.0", attempt=1)
>>> beat = WorkerBeat(worker="w1", session="s", full=True, attempts=[running])
>>> findings = compare(Domain(group="g"), beat)
>>> [stop.task_id for stop in findings.stops], findings.joined.name
(['j/g.0'], 'w1')
"""

from siskintally.domain_state_pb2 import AttemptEnd, WorkerRecord
from siskintally.wire_pb2 import AttemptState, StopOrder

_CAUSE_BY_STATE = {
    AttemptState.SUCCEEDED: AttemptEnd.SUCCEEDED,
    AttemptState.FAILED: AttemptEnd.FAILED,
    AttemptState.STOPPED: AttemptEnd.STOPPED,
}


class Findings:
    """Differences between a heartbeat and the committed state.

    :param joined: WorkerRecord to commit if the worker is new or has changed, or None.
    :param ended: AttemptEnd messages to commit.
    :param seen: reported ends; the worker may drop them once ``ended`` is committed.
    :param running: (task id, attempt) of assigned attempts that the worker reports as started.
    :param missing: ids of tasks assigned in this session that the worker does not report.
    :param stops: StopOrder messages for attempts that are not assigned to the worker.
    """

    __slots__ = ("ended", "joined", "missing", "running", "seen", "stops")

    def __init__(self):
        self.joined = None
        self.ended = []
        self.seen = []
        self.running = []
        self.missing = []
        self.stops = []

    @property
    def must_commit(self):
        """Whether there are changes to commit."""
        return self.joined is not None or bool(self.ended)


def compare(domain, beat):
    """Compare a heartbeat with the committed state.

    :param domain: :class:`~siskintally.domain.Domain`.
    :param beat: WorkerBeat; a full one lists all attempts of the worker.
    :returns: :class:`Findings`.
    """
    findings = Findings()
    record = WorkerRecord(
        name=beat.worker,
        domain=beat.domain,
        rack=beat.rack,
        session=beat.session,
        capacity=beat.capacity,
    )
    worker = domain.worker_by_name.get(beat.worker)
    if worker is None or worker.record != record:
        findings.joined = record
    for state in beat.attempts:
        _compare_attempt(domain, beat.worker, state, findings)
    if beat.full and worker is not None:
        _compare_absent(domain, worker, beat, findings)
    return findings


def _compare_attempt(domain, worker, state, findings):
    task = domain.task(state.task_id)
    is_live = task is not None and task.worker == worker and task.attempt == state.attempt
    cause = _CAUSE_BY_STATE.get(state.state)
    if cause is not None:
        findings.seen.append(state)
        if is_live:
            findings.ended.append(
                AttemptEnd(task_id=state.task_id, attempt=state.attempt, cause=cause)
            )
    elif is_live:
        findings.running.append((state.task_id, state.attempt))
    else:
        findings.stops.append(StopOrder(task_id=state.task_id, attempt=state.attempt))


def _compare_absent(domain, worker, beat, findings):
    """Add the assigned attempts that a full heartbeat does not list.

    If the session is the one of the assignment, the start order was lost or is in flight; it is
    resent, and the worker ignores a duplicate. In another session the attempt was never started or
    has ended with the old session.
    """
    reported = {(state.task_id, state.attempt) for state in beat.attempts}
    for task_id in sorted(worker.task_ids):
        task = domain.task(task_id)
        if (task_id, task.attempt) in reported:
            continue
        if task.session == beat.session:
            findings.missing.append(task_id)
        else:
            findings.ended.append(
                AttemptEnd(task_id=task_id, attempt=task.attempt, cause=AttemptEnd.LOST)
            )
