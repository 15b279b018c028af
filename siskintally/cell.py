"""Replicated state of the cell group: configuration, jobs, drains, audit chain, stored replies.

>>> from siskintally.cell import Cell
>>> from siskintally.wire_pb2 import OperatorReply
>>> OperatorReply.FromString(Cell().apply(index=1, command=b"garbage")).code
4000
"""

from hashlib import sha256
from json import dumps

from google.protobuf.message import DecodeError

from siskintally.audit import EMPTY_HEAD, AuditChain, ChangeDescription
from siskintally.cell_state_pb2 import Command, State, StoredReply
from siskintally.codes import Code
from siskintally.config import check_preset_name, parse_config
from siskintally.drains import DrainTable
from siskintally.errors import (
    BadRequestError,
    NoConfigError,
    NotFoundError,
    SiskintallyError,
    VersionConflictError,
)
from siskintally.group_changes import lose_groups, restore_group
from siskintally.jobs import JobTable
from siskintally.spec import check_spec
from siskintally.state_machine import StateMachine
from siskintally.wire_pb2 import ConfigState, OperatorReply, SyncReply

MIN_KEPT_REPLIES = 10_000
REPLY_RETENTION_S = 24 * 3600.0
MAX_ID_LENGTH = 128
MAX_CANCELLED_AT_ONCE = 20_000
# Largest valid Unix time, in the year 5138.
MAX_TIME_S = 1e11
MAX_SHOWN_IDS = 20
MAX_AUDIT_TEXT_LENGTH = 1000
MAX_MESSAGE_LENGTH = 2000


class KeyConflictError(SiskintallyError):
    """The request id was already used for another change."""

    code = Code.KEY_CONFLICT


def encode_answer(answer):
    """Return an answer as JSON bytes; equal answers give equal bytes."""
    return dumps(answer, sort_keys=True, separators=(",", ":")).encode()


def _reply(code, answer):
    return OperatorReply(code=int(code), answer=encode_answer(answer)).SerializeToString()


class Cell(StateMachine):
    """Deterministic state of the cell; commands carry the time and the capacities.

    :param config_state: current ConfigState; version 0 before the first.
    :param config: its parsed document, or None.
    :param jobs: :class:`~siskintally.jobs.JobTable`.
    :param drains: :class:`~siskintally.drains.DrainTable`.
    :param audit: :class:`~siskintally.audit.AuditChain`.
    :param now: largest time stamp of a command, Unix seconds.
    """

    __slots__ = (
        "_reply_by_id",
        "audit",
        "config",
        "config_state",
        "drains",
        "jobs",
        "now",
    )

    def __init__(self):
        self.config_state = ConfigState()
        self.config = None
        self.jobs = JobTable()
        self.audit = AuditChain()
        self.now = 0.0
        self.drains = DrainTable()
        self._reply_by_id = {}

    @property
    def group_statuses(self):
        """The :class:`~siskintally.group_status.GroupStatusTable` of the domain groups."""
        return self.jobs.group_statuses

    def apply(self, *, index, command):
        """Apply a serialized Command and return an OperatorReply; a malformed one has no effect."""
        try:
            command = Command.FromString(command)
        except DecodeError:
            return _reply(Code.BAD_REQUEST, {"message": "command is malformed"})
        kind = command.WhichOneof("change")
        if kind is None or not 0 <= command.at <= MAX_TIME_S:
            return _reply(
                Code.BAD_REQUEST, {"message": "command has no change or no valid time stamp"}
            )
        if kind == "job_report":
            self._update_time_and_capacity(command)
            report = command.job_report
            if self.group_statuses.accepts_report(report.group, report.epoch):
                self.jobs.report(report, index=index, now=self.now)
            self.admit_jobs(index)
            self.jobs.drop_old_jobs(self.now)
            return _reply(Code.DONE, {})
        if kind == "confirm_idle":
            self.group_statuses.confirm_idle(command.confirm_idle.group, command.confirm_idle.epoch)
            return _reply(Code.DONE, {})
        if not (command.request_id and command.operator and command.digest):
            return _reply(
                Code.BAD_REQUEST, {"message": "command has no request id, operator or digest"}
            )
        return self._apply_change(index, kind, command)

    def _update_time_and_capacity(self, command):
        """Apply the time stamp and the group capacities of a command."""
        self.now = max(self.now, command.at)
        self.jobs.capacity.update(command.groups, self.now)

    def _apply_change(self, index, kind, command):
        stored = self._reply_by_id.get(command.request_id)
        if stored is not None and stored.digest == command.digest:
            return stored.reply
        self._update_time_and_capacity(command)
        description = ChangeDescription(verb=_VERB_BY_KIND[kind])
        try:
            if stored is not None:
                raise KeyConflictError(f"request id {command.request_id} is of another change")
            answer = _APPLY_BY_KIND[kind](self, index, command, description)
            code = Code.DONE
        except SiskintallyError as error:
            code = error.code
            answer = {"message": str(error)[:MAX_MESSAGE_LENGTH]}
            if code == Code.VERSION_CONFLICT:
                answer["version"] = self.config_state.version
        reply = _reply(code, answer)
        self._append_audit_record(index, command, description, code)
        if stored is None:
            self._store_reply(command, reply)
        self.jobs.drop_old_jobs(self.now)
        return reply

    def _append_audit_record(self, index, command, description, code):
        self.audit.append(
            index=index,
            time=command.at,
            operator=command.operator,
            request_id=command.request_id,
            verb=description.verb,
            what=description.subject[:MAX_AUDIT_TEXT_LENGTH],
            from_value=description.old_value[:MAX_AUDIT_TEXT_LENGTH],
            to_value=description.new_value[:MAX_AUDIT_TEXT_LENGTH],
            code=int(code),
        )

    def _store_reply(self, command, reply):
        stored = StoredReply(
            request_id=command.request_id, at=self.now, digest=command.digest, reply=reply
        )
        self._reply_by_id[command.request_id] = stored
        while len(self._reply_by_id) > MIN_KEPT_REPLIES:
            oldest = next(iter(self._reply_by_id.values()))
            if self.now - oldest.at <= REPLY_RETENTION_S:
                return
            del self._reply_by_id[oldest.request_id]

    def _set_config(self, index, command, description):
        change = command.set_config
        description.subject = "configuration"
        description.old_value = _describe_config(
            self.config_state.version, self.config_state.document
        )
        description.new_value = _describe_config(change.expect_version + 1, change.document)
        self._check_version(change.expect_version)
        config = parse_config(change.document)
        self.config = config
        self.config_state.document = change.document
        if not self.config_state.preset:
            self.config_state.preset = "ordinary"
        return self._increment_version(index)

    def _set_preset(self, index, command, description):
        change = command.set_preset
        description.subject = "preset"
        description.old_value = self.config_state.preset
        description.new_value = change.preset
        check_preset_name(change.preset)
        self._check_version(change.expect_version)
        self._require_config()
        self.config_state.preset = change.preset
        return self._increment_version(index)

    def _check_version(self, expected):
        present_version = self.config_state.version
        if expected != present_version:
            raise VersionConflictError(
                f"expected version {expected}, present version {present_version}"
            )

    def _increment_version(self, index):
        self.config_state.version += 1
        self.config_state.changed_at = index
        self.admit_jobs(index)
        return {"version": self.config_state.version, "preset": self.config_state.preset}

    def _require_config(self):
        if self.config is None:
            raise NoConfigError("no configuration yet: set one first")

    def admit_jobs(self, index):
        """Admit the waiting jobs that fit in the quotas of their teams."""
        if self.config is not None:
            self.jobs.admit_waiting(
                index=index, now=self.now, quota_by_team=self.config.quota_by_team
            )

    def _submit_job(self, index, command, description):
        spec = command.submit_job.spec
        description.subject = spec.name[:MAX_ID_LENGTH]
        description.new_value = f"{spec.tasks} tasks of team {spec.team[:MAX_ID_LENGTH]}"
        check_spec(spec)
        self._require_config()
        job = self.jobs.submit(
            spec,
            operator=command.operator,
            index=index,
            now=self.now,
            quota_by_team=self.config.quota_by_team,
        )
        description.subject = job.job_id
        split = {share.group: share.tasks for share in job.shares}
        return {"job": job.job_id, "reason": job.reason, "split": split}

    def _cancel_jobs(self, index, command, description):
        change = command.cancel_jobs
        shown_ids = list(change.job_ids[:MAX_SHOWN_IDS]) + (
            [f"{change.prefix}*"] if change.prefix else []
        )
        description.subject = " ".join(shown_ids)
        description.new_value = "cancelled"
        if len(change.job_ids) > MAX_CANCELLED_AT_ONCE:
            raise BadRequestError(f"jobs: expected at most {MAX_CANCELLED_AT_ONCE} ids")
        cancelled, ended, missing = self.jobs.cancel(
            change.job_ids, change.prefix, index=index, now=self.now
        )
        description.old_value = (
            f"{len(cancelled)} not ended, {len(ended)} ended, {len(missing)} not found"
        )
        if not cancelled and not ended:
            raise NotFoundError("no such job")
        self.admit_jobs(index)
        return {"cancelled": len(cancelled), "ended": len(ended), "not_found": missing}

    def _set_drain(self, index, command, description):
        change = command.set_drain
        description.subject = f"{change.kind} {change.name}"[:MAX_ID_LENGTH]
        description.new_value = "draining" if change.draining else "in service"
        if not 1 <= len(change.name) <= MAX_ID_LENGTH:
            raise BadRequestError(f"name: expected 1 to {MAX_ID_LENGTH} characters")
        draining = self.drains.is_draining(change.kind, change.name)
        description.old_value = "draining" if draining else "in service"
        self.drains.set(change, index=index)
        return {"kind": change.kind, "name": change.name, "draining": change.draining}

    def latest_change(self, group):
        """Return the log index of the last change that a domain group must learn of, 0 if none."""
        return max(
            self.config_state.changed_at,
            self.drains.latest_change(),
            self.jobs.latest_change(group),
            self.group_statuses.latest_change(group),
        )

    def changes_since(self, group, since, epoch=0):
        """Return a SyncReply with all changes for a domain group after a log index.

        A group that is still in another epoch gets only the current one and whether it is lost.
        """
        status = self.group_statuses.get(group)
        reply = SyncReply(index=since, epoch=status.epoch, lost=status.lost)
        if epoch != status.epoch:
            return reply
        reply.index = max(since, self.latest_change(group))
        if self.config_state.changed_at > since:
            reply.config.CopyFrom(self.config_state)
        reply.jobs.extend(self.jobs.items_since(group, since))
        reply.drains.extend(self.drains.changed_since(since))
        return reply

    def snapshot(self):
        """Return the whole state as a serialized State message."""
        state = State(now=self.now, audit_number=self.audit.number, audit_head=self.audit.head)
        state.config.CopyFrom(self.config_state)
        self.jobs.save(state)
        self.drains.save(state)
        state.replies.extend(self._reply_by_id.values())
        state.records.extend(self.audit.recent)
        return state.SerializeToString(deterministic=True)

    def restore(self, data):
        """Replace the state with a snapshot.

        :raises DecodeError: the data is not a snapshot; nothing changed.
        """
        state = State.FromString(data)
        config = parse_config(state.config.document) if state.config.version else None
        self.now = state.now
        self.config_state = state.config
        self.config = config
        self.jobs.load(state)
        self.audit = AuditChain(
            number=state.audit_number,
            # The bootstrap snapshot of a group is empty.
            head=state.audit_head or EMPTY_HEAD,
            recent=state.records,
        )
        self.drains.load(state)
        self._reply_by_id = {stored.request_id: stored for stored in state.replies}


def _describe_config(version, document):
    if not document:
        return "none"
    return f"version {version} sha256:{sha256(document.encode()).hexdigest()}"


_APPLY_BY_KIND = {
    "set_config": Cell._set_config,
    "set_preset": Cell._set_preset,
    "submit_job": Cell._submit_job,
    "cancel_jobs": Cell._cancel_jobs,
    "set_drain": Cell._set_drain,
    "lose_groups": lose_groups,
    "restore_group": restore_group,
}
_VERB_BY_KIND = {
    "set_config": "config",
    "set_preset": "preset",
    "submit_job": "submit",
    "cancel_jobs": "cancel",
    "set_drain": "drain",
    "lose_groups": "domain lost",
    "restore_group": "domain restore",
}
