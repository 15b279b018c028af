"""Replicated state of a domain group: workers, jobs, task assignments, cell sync, ledger.

>>> from siskintally.domain import Domain
>>> from siskintally.domain_state_pb2 import DomainReply
>>> DomainReply.FromString(Domain(group="g").apply(index=1, command=b"garbage")).code
4000
"""

from google.protobuf.message import DecodeError

from siskintally.codes import Code
from siskintally.config import parse_config
from siskintally.domain_checks import MAX_TIME_S, check_batch, check_sync
from siskintally.domain_job import DomainJob, job_id_of
from siskintally.domain_state_pb2 import (
    AttemptEnd,
    DomainCommand,
    DomainReply,
    DomainState,
)
from siskintally.errors import BadRequestError, DamagedDataError, SiskintallyError
from siskintally.ledger import Ledger
from siskintally.preset import default_preset
from siskintally.size import NO_RESOURCES, Size
from siskintally.state_machine import StateMachine
from siskintally.wire_pb2 import ConfigState

DEFAULT_PRESET_NAME = "ordinary"
# The cell may send the item of a job again after the job has ended, and the job must not run a
# second time. 20,000 are the jobs of three days.
MAX_KEPT_ENDED_JOBS = 20_000


class DomainWorker:
    """A registered worker with the resources and the tasks assigned to it."""

    __slots__ = ("capacity", "record", "task_ids", "used")

    def __init__(self, *, record):
        self.record = record
        self.capacity = Size.from_message(record.capacity)
        self.used = NO_RESOURCES
        self.task_ids = {}


class Domain(StateMachine):
    """Deterministic state of a domain group; commands carry the time.

    :param group: name of the group.

    ``config`` is the last ConfigState received from the cell (version 0 before the first one), and
    ``cell_index`` the cell log index up to which the cell's changes are applied.
    ``longest_lease_s`` is an upper bound of all worker leases that may still run. ``epoch`` counts
    the declared losses of the group that it has applied; while ``fenced`` the group starts no task.
    """

    __slots__ = (
        "_ended_jobs",
        "cell_index",
        "config",
        "drain_by_key",
        "epoch",
        "fenced",
        "group",
        "job_by_id",
        "ledger",
        "longest_lease_s",
        "now",
        "worker_by_name",
    )

    def __init__(self, *, group):
        self.group = group
        self._reset()

    def _reset(self):
        self.epoch = 0
        self.fenced = False
        self.cell_index = 0
        self.config = ConfigState()
        self.job_by_id = {}
        self.drain_by_key = {}
        self.worker_by_name = {}
        self.ledger = Ledger()
        self.now = 0.0
        self._ended_jobs = {}
        self.longest_lease_s = self.preset().lease_s

    def preset(self):
        """Return the current :class:`~siskintally.preset.Preset`, the default without a config."""
        try:
            return parse_config(self.config.document).preset(self.config.preset)
        except SiskintallyError:
            return default_preset(DEFAULT_PRESET_NAME)

    def apply(self, *, index, command):
        """Apply a serialized DomainCommand, return a DomainReply; a malformed one has no effect."""
        try:
            return self._apply(DomainCommand.FromString(command)).SerializeToString()
        except DecodeError:
            reply = DomainReply(code=int(Code.BAD_REQUEST), message="command is malformed")
        except SiskintallyError as error:
            reply = DomainReply(code=int(error.code), message=str(error))
        return reply.SerializeToString()

    def _apply(self, command):
        if not 0 <= command.at <= MAX_TIME_S:
            raise BadRequestError("command has no valid time stamp")
        kind = command.WhichOneof("change")
        if kind is None:
            raise BadRequestError("command has no change")
        change = getattr(command, kind)
        if kind == "sync":
            check_sync(change)
        elif kind == "batch":
            check_batch(change)
        self.now = max(self.now, command.at)
        return getattr(self, f"_apply_{kind}")(change)

    def _apply_ledger_begin(self, change):
        answer = self.ledger.begin(change, self.now)
        return DomainReply(code=int(Code.DONE), ledger_begin=answer)

    def _apply_ledger_finish(self, change):
        self.ledger.finish(change, self.now)
        return DomainReply(code=int(Code.DONE))

    def _apply_ledger_release(self, change):
        self.ledger.release(change, self.now)
        return DomainReply(code=int(Code.DONE))

    def _apply_sync(self, change):
        """Apply a SyncReply of the cell; one older than the applied state has no effect."""
        if change.epoch > self.epoch:
            self._begin_epoch(change.epoch)
            return DomainReply(code=int(Code.DONE))
        # When the disks of a group were restored from an older copy, the cell may restore the
        # group to service although attempts of that copy have not ended here.
        restored_too_early = self.fenced and not change.lost and not self.is_idle
        if (
            change.epoch == self.epoch
            and change.index >= self.cell_index
            and not restored_too_early
        ):
            self.cell_index = change.index
            self.fenced = change.lost
            if change.config.version > self.config.version:
                self.config = _copy(change.config)
                self.longest_lease_s = max(self.longest_lease_s, self.preset().lease_s)
            for drain in change.drains:
                self._apply_drain_item(drain)
            for item in change.jobs:
                self._apply_job_item(item)
        return DomainReply(code=int(Code.DONE))

    def _begin_epoch(self, epoch):
        """Start a new epoch after a declared loss: cancel all jobs and sync from index 0.

        The ledger and the configuration stay: their keys and versions are valid in all epochs.
        """
        self.epoch = epoch
        self.fenced = True
        self.cell_index = 0
        self.drain_by_key.clear()
        for job in list(self.job_by_id.values()):
            job.cancel()
            self._update_ended_jobs(job)

    @property
    def is_idle(self):
        """Whether no attempt is assigned to any worker."""
        return not any(worker.task_ids for worker in self.worker_by_name.values())

    def _apply_drain_item(self, drain):
        if drain.draining:
            self.drain_by_key[drain.kind, drain.name] = _copy(drain)
        else:
            self.drain_by_key.pop((drain.kind, drain.name), None)

    def drained_endpoints(self):
        """Return the sorted names of the endpoints that must get no new work."""
        return sorted(name for kind, name in self.drain_by_key if kind == "endpoint")

    def _apply_job_item(self, item):
        job = self.job_by_id.get(item.job_id)
        if job is None:
            job = DomainJob(
                item=_copy(item), group=self.group, accepted_at=self.now, epoch=self.epoch
            )
            self.job_by_id[item.job_id] = job
        elif item.changed_at <= job.item.changed_at:
            return
        job.apply_item(_copy(item))
        self._update_ended_jobs(job)

    def _update_ended_jobs(self, job):
        """Move a job into or out of the ended jobs; drop the oldest and those of earlier epochs."""
        job_id = job.item.job_id
        if job.has_ended and job.epoch != self.epoch:
            self._ended_jobs.pop(job_id, None)
            del self.job_by_id[job_id]
            return
        if not job.has_ended:
            self._ended_jobs.pop(job_id, None)
            return
        job.drop_spec()
        self._ended_jobs[job_id] = None
        if len(self._ended_jobs) > MAX_KEPT_ENDED_JOBS:
            oldest = next(iter(self._ended_jobs))
            del self._ended_jobs[oldest], self.job_by_id[oldest]

    def _apply_batch(self, batch):
        ended, refused = [], []
        for attempt_end in batch.ended:
            task = self.task(attempt_end.task_id)
            if task is not None and task.worker and task.attempt == attempt_end.attempt:
                self._end_attempt(task, attempt_end.cause)
                ended.append(attempt_end.task_id)
        for name in batch.lost:
            worker = self.worker_by_name.get(name)
            if worker is not None:
                for task_id in sorted(worker.task_ids):
                    self._end_attempt(self.task(task_id), AttemptEnd.LOST)
                    ended.append(task_id)
                del self.worker_by_name[name]
        refused.extend(record.name for record in batch.joined if not self._register_worker(record))
        refused.extend(
            assignment.task_id for assignment in batch.assigned if not self._assign_task(assignment)
        )
        if batch.longest_lease_s:
            self.longest_lease_s = max(batch.longest_lease_s, self.preset().lease_s)
        return DomainReply(code=int(Code.DONE), refused=refused, ended=ended)

    def task(self, task_id):
        """Return a :class:`~siskintally.domain_job.Task` that has not ended, or None."""
        job = self.job_by_id.get(job_id_of(task_id))
        return job.task_by_id.get(task_id) if job is not None else None

    def _end_attempt(self, task, cause):
        job = self.job_by_id[job_id_of(task.task_id)]
        worker = self.worker_by_name[task.worker]
        del worker.task_ids[task.task_id]
        worker.used -= job.need
        job.end_attempt(task, cause)
        self._update_ended_jobs(job)

    def _register_worker(self, record):
        """Register a worker; return False if its capacity is below its allocated resources."""
        registered = self.worker_by_name.get(record.name)
        worker = DomainWorker(record=_copy(record))
        if registered is not None:
            if not registered.used.fits_in(worker.capacity):
                return False
            worker.used, worker.task_ids = registered.used, registered.task_ids
        self.worker_by_name[record.name] = worker
        return True

    def _assign_task(self, assignment):
        """Assign a waiting task; return False if refused.

        This is the last check of invariants I1 and I2 before the start is sent to the worker.
        """
        task = self.task(assignment.task_id)
        worker = self.worker_by_name.get(assignment.worker)
        if task is None or worker is None or task.worker or assignment.attempt != task.attempt + 1:
            return False
        job = self.job_by_id[job_id_of(assignment.task_id)]
        used = worker.used + job.need
        if self.fenced or job.epoch != self.epoch:
            return False
        if job.item.cancelled or worker.record.session != assignment.session:
            return False
        if not used.fits_in(worker.capacity):
            return False
        task.attempt, task.worker, task.session = (
            assignment.attempt,
            assignment.worker,
            assignment.session,
        )
        worker.used = used
        worker.task_ids[assignment.task_id] = None
        job.running += 1
        return True

    def snapshot(self):
        """Return the whole state as bytes; equal states give equal bytes."""
        state = DomainState(
            group=self.group,
            cell_index=self.cell_index,
            config=self.config,
            workers=[self.worker_by_name[name].record for name in sorted(self.worker_by_name)],
            jobs=[job.state() for job in self.job_by_id.values()],
            drains=[self.drain_by_key[key] for key in sorted(self.drain_by_key)],
            ledger=self.ledger.snapshot(),
            now=self.now,
            longest_lease_s=self.longest_lease_s,
            epoch=self.epoch,
            fenced=self.fenced,
        )
        state.ended_jobs.extend(self._ended_jobs)
        return state.SerializeToString(deterministic=True)

    def restore(self, data):
        """Replace the state with a snapshot.

        :raises DamagedDataError: the data is not a snapshot of this group; nothing changed.
        """
        restored = Domain(group=self.group)
        try:
            restored._load(DomainState.FromString(data))
        except (DecodeError, KeyError, BadRequestError) as error:
            raise DamagedDataError(f"domain snapshot: {error}") from error
        for name in Domain.__slots__:
            setattr(self, name, getattr(restored, name))

    def _load(self, state):
        if state.group != self.group:
            raise BadRequestError(f"snapshot of group {state.group!r}")
        self.epoch, self.fenced = state.epoch, state.fenced
        self.cell_index = state.cell_index
        self.config = _copy(state.config)
        self.now = state.now
        self.longest_lease_s = max(state.longest_lease_s, self.preset().lease_s)
        self.ledger.restore(state.ledger)
        for record in state.workers:
            self.worker_by_name[record.name] = DomainWorker(record=_copy(record))
        for drain in state.drains:
            self.drain_by_key[drain.kind, drain.name] = _copy(drain)
        for job_state in state.jobs:
            job = DomainJob.from_state(_copy(job_state), group=self.group)
            self.job_by_id[job.item.job_id] = job
            for task in job.task_by_id.values():
                if task.worker:
                    worker = self.worker_by_name[task.worker]
                    worker.used += job.need
                    worker.task_ids[task.task_id] = None
        self._ended_jobs = dict.fromkeys(state.ended_jobs)


def _copy(message):
    copy = type(message)()
    copy.CopyFrom(message)
    return copy
