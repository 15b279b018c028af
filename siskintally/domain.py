"""State machine of a domain group: what it follows of the cell, tasks, assignments, ledger.

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

ORDINARY = "ordinary"
# The cell may send the item of an ended job again, which must not run a second time. These are the
# jobs of three days.
KEEP_ENDED_JOBS = 20_000


class DomainWorker:
    """A worker as committed, with the tasks assigned to it."""

    __slots__ = ("capacity", "record", "task_ids", "used")

    def __init__(self, *, record):
        self.record = record
        self.capacity = Size.from_message(record.capacity)
        self.used = NO_RESOURCES
        self.task_ids = {}


class Domain(StateMachine):
    """Deterministic state of a domain group; the time comes in the commands.

    :param group: name of the group.

    ``config`` is the ConfigState followed from the cell, version 0 before the first; ``cell_index``
    is the cell's log index that the state has followed up to. No lease that an owner has given and
    that may still run is longer than ``longest_lease_s``. ``epoch`` counts the losses of the group
    that operators have declared and that it knows of; while ``fenced`` it starts no task.
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
        """Return the :class:`~siskintally.preset.Preset` in force, the default before the first."""
        try:
            return parse_config(self.config.document).preset(self.config.preset)
        except SiskintallyError:
            return default_preset(ORDINARY)

    def apply(self, *, index, command):
        """Apply a DomainCommand and return a DomainReply; a malformed one changes nothing."""
        try:
            return self._apply(DomainCommand.FromString(command)).SerializeToString()
        except DecodeError:
            reply = DomainReply(code=int(Code.BAD_REQUEST), message="command is malformed")
        except SiskintallyError as error:
            reply = DomainReply(code=int(error.code), message=str(error))
        return reply.SerializeToString()

    def _apply(self, command):
        if not 0 <= command.at <= MAX_TIME_S:
            raise BadRequestError("command without time")
        kind = command.WhichOneof("change")
        if kind is None:
            raise BadRequestError("command without change")
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
        """Follow the cell; an older reply, applied late, changes nothing."""
        if change.epoch > self.epoch:
            self._begin_epoch(change.epoch)
            return DomainReply(code=int(Code.DONE))
        # A group whose disks were put back to an older state is restored before it has ended all.
        too_early = self.fenced and not change.lost and not self.is_idle
        if change.epoch == self.epoch and change.index >= self.cell_index and not too_early:
            self.cell_index = change.index
            self.fenced = change.lost
            if change.config.version > self.config.version:
                self.config = _copy(change.config)
                self.longest_lease_s = max(self.longest_lease_s, self.preset().lease_s)
            for drain in change.drains:
                self._apply_drain(drain)
            for item in change.jobs:
                self._apply_job(item)
        return DomainReply(code=int(Code.DONE))

    def _begin_epoch(self, epoch):
        """Learn that the group was declared lost: end its jobs and follow the cell anew.

        The ledger and the configuration stay: their keys and versions are valid in all epochs.
        """
        self.epoch = epoch
        self.fenced = True
        self.cell_index = 0
        self.drain_by_key.clear()
        for job in list(self.job_by_id.values()):
            job.withdraw()
            self._keep(job)

    @property
    def is_idle(self):
        """Whether no attempt is assigned to any worker."""
        return not any(worker.task_ids for worker in self.worker_by_name.values())

    def _apply_drain(self, drain):
        if drain.draining:
            self.drain_by_key[drain.kind, drain.name] = _copy(drain)
        else:
            self.drain_by_key.pop((drain.kind, drain.name), None)

    def drained_endpoints(self):
        """Return the names of the endpoints that are to get no new work, sorted."""
        return sorted(name for kind, name in self.drain_by_key if kind == "endpoint")

    def _apply_job(self, item):
        job = self.job_by_id.get(item.job_id)
        if job is None:
            job = DomainJob(
                item=_copy(item), group=self.group, accepted_at=self.now, epoch=self.epoch
            )
            self.job_by_id[item.job_id] = job
        elif item.changed_at <= job.item.changed_at:
            return
        job.follow(_copy(item))
        self._keep(job)

    def _keep(self, job):
        """Remember an ended job for a while; drop the oldest and those of earlier epochs."""
        job_id = job.item.job_id
        if job.is_over and job.epoch != self.epoch:
            self._ended_jobs.pop(job_id, None)
            del self.job_by_id[job_id]
            return
        if not job.is_over:
            self._ended_jobs.pop(job_id, None)
            return
        job.strip()
        self._ended_jobs[job_id] = None
        if len(self._ended_jobs) > KEEP_ENDED_JOBS:
            oldest = next(iter(self._ended_jobs))
            del self._ended_jobs[oldest], self.job_by_id[oldest]

    def _apply_batch(self, batch):
        ended, refused = [], []
        for end in batch.ended:
            task = self.task(end.task_id)
            if task is not None and task.worker and task.attempt == end.attempt:
                self._end(task, end.cause)
                ended.append(end.task_id)
        for name in batch.lost:
            worker = self.worker_by_name.get(name)
            if worker is not None:
                for task_id in sorted(worker.task_ids):
                    self._end(self.task(task_id), AttemptEnd.LOST)
                    ended.append(task_id)
                del self.worker_by_name[name]
        refused.extend(record.name for record in batch.joined if not self._join(record))
        refused.extend(one.task_id for one in batch.assigned if not self._assign(one))
        if batch.longest_lease_s:
            self.longest_lease_s = max(batch.longest_lease_s, self.preset().lease_s)
        return DomainReply(code=int(Code.DONE), refused=refused, ended=ended)

    def task(self, task_id):
        """Return a :class:`~siskintally.domain_job.Task` that has not ended, or None."""
        job = self.job_by_id.get(job_id_of(task_id))
        return job.task_by_id.get(task_id) if job is not None else None

    def _end(self, task, cause):
        job = self.job_by_id[job_id_of(task.task_id)]
        worker = self.worker_by_name[task.worker]
        del worker.task_ids[task.task_id]
        worker.used -= job.need
        job.end(task, cause)
        self._keep(job)

    def _join(self, record):
        """Record a worker; a capacity below what its tasks hold is refused."""
        known = self.worker_by_name.get(record.name)
        worker = DomainWorker(record=_copy(record))
        if known is not None:
            if not known.used.fits_in(worker.capacity):
                return False
            worker.used, worker.task_ids = known.used, known.task_ids
        self.worker_by_name[record.name] = worker
        return True

    def _assign(self, one):
        """Give a waiting task to a worker; the last check of I1 and I2 before a start is sent."""
        task = self.task(one.task_id)
        worker = self.worker_by_name.get(one.worker)
        if task is None or worker is None or task.worker or one.attempt != task.attempt + 1:
            return False
        job = self.job_by_id[job_id_of(one.task_id)]
        total = worker.used + job.need
        if self.fenced or job.epoch != self.epoch:
            return False
        if job.item.cancelled or worker.record.session != one.session:
            return False
        if not total.fits_in(worker.capacity):
            return False
        task.attempt, task.worker, task.session = one.attempt, one.worker, one.session
        worker.used = total
        worker.task_ids[one.task_id] = None
        job.running += 1
        return True

    def snapshot(self):
        """Return the whole state as bytes, equal for equal states."""
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

        :raises DamagedDataError: the data is no snapshot of this group; nothing changed.
        """
        fresh = Domain(group=self.group)
        try:
            fresh._load(DomainState.FromString(data))
        except (DecodeError, KeyError, BadRequestError) as error:
            raise DamagedDataError(f"domain snapshot: {error}") from error
        for name in Domain.__slots__:
            setattr(self, name, getattr(fresh, name))

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
        for saved in state.jobs:
            job = DomainJob.of(_copy(saved), group=self.group)
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
