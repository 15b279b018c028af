"""Requests to the leader of the cell group: domain syncs, job reports, operator calls.

>>> from siskintally.cell_service import MAX_WAIT_S
>>> MAX_WAIT_S
5.0
"""

from hashlib import sha256
from time import monotonic, time

from anyio import move_on_after

from siskintally.cell import MAX_ID_LENGTH, MAX_MESSAGE_LENGTH, encode_answer
from siskintally.cell_state_pb2 import Command, ConfirmIdle, GroupInfo
from siskintally.codes import Code
from siskintally.errors import BadRequestError, NotLeaderError, SiskintallyError
from siskintally.operator_queries import GroupReports, OperatorQueries
from siskintally.verbs import canonical_json, is_read, parse_arguments, parse_change
from siskintally.wire_pb2 import Done, OperatorReply, SyncReply

MAX_WAIT_S = 5.0
# Interval at which a long poll checks whether this process is still the leader.
LEADER_CHECK_S = 1.0
MAX_REPORT_JOBS = 20_000
_RAISED_CODES = (Code.NOT_LEADER, Code.OUTCOME_UNKNOWN, Code.STOPPED)


class CellService:
    """Handles requests to the cell group; only its leader answers.

    :param group: the cell :class:`~siskintally.group.Group`.
    :param state_machine: its :class:`~siskintally.recorded_cell.RecordedCell`.
    :param settings: settings of the cell.
    :param clock: returns the Unix time for the time stamps of commands, s.
    """

    __slots__ = (
        "_clock",
        "_group",
        "_group_reports",
        "_leading_since",
        "_queries",
        "_settings",
        "_state_machine",
    )

    def __init__(self, *, group, state_machine, settings, clock=time):
        self._group = group
        self._state_machine = state_machine
        self._settings = settings
        self._clock = clock
        self._group_reports = GroupReports()
        # (term, monotonic time of the first request in this term, s)
        self._leading_since = (None, 0.0)
        self._queries = OperatorQueries(
            group=group,
            state_machine=state_machine,
            settings=settings,
            group_reports=self._group_reports,
        )

    def _require_leader(self):
        if not self._group.is_leader:
            leader = self._group.leader or ""
            raise NotLeaderError("this store does not lead the cell group", leader=leader)
        if self._leading_since[0] != self._group.term:
            self._leading_since = (self._group.term, monotonic())

    async def sync(self, request):
        """Answer a long poll of a domain group with the changes since its last one.

        :raises NotLeaderError: this process is not the leader, or stopped being it meanwhile.
        """
        self._require_leader()
        self._check_group(request.group)
        cell = self._state_machine.cell
        if request.check or request.wait_s <= 0:
            # The caller starts tasks because of this answer, so a leader that is partitioned from
            # its quorum must not give it.
            await self._group.confirm_leadership()
        if request.check:
            status = cell.group_statuses.get(request.group)
            return SyncReply(epoch=status.epoch, lost=status.lost)
        self._group_reports.heard_at_by_group[request.group] = monotonic()
        self._group_reports.synced_index_by_group[request.group] = request.since
        if request.HasField("capacity"):
            self._group_reports.capacity_by_group[request.group] = request.capacity
        wait_s = request.wait_s if 0 <= request.wait_s <= MAX_WAIT_S else MAX_WAIT_S
        deadline = monotonic() + wait_s
        await self._confirm_idle(request)
        while not self._has_changes(request):
            remaining = deadline - monotonic()
            if remaining <= 0:
                status = cell.group_statuses.get(request.group)
                return SyncReply(index=request.since, epoch=status.epoch, lost=status.lost)
            with move_on_after(min(remaining, LEADER_CHECK_S)):
                await self._state_machine.wait_change()
            self._require_leader()
        return cell.changes_since(request.group, request.since, request.epoch)

    def _has_changes(self, request):
        cell = self._state_machine.cell
        is_other_epoch = cell.group_statuses.get(request.group).epoch != request.epoch
        return is_other_epoch or cell.latest_change(request.group) > request.since

    async def _confirm_idle(self, request):
        """Commit the report of a fenced group that nothing runs there any more."""
        status = self._state_machine.cell.group_statuses.get(request.group)
        if request.idle and status.lost and not status.idle and status.epoch == request.epoch:
            change = ConfirmIdle(group=request.group, epoch=request.epoch)
            command = Command(at=self._clock(), confirm_idle=change)
            await self._group.propose(command.SerializeToString())

    async def report(self, report):
        """Commit a report of a domain group on the progress of its jobs.

        :raises NotLeaderError: nothing was proposed.
        :raises OutcomeUnknownError: the report may be committed; it can be sent again.
        """
        self._require_leader()
        self._check_group(report.group)
        if len(report.jobs) > MAX_REPORT_JOBS:
            raise BadRequestError(f"jobs: expected at most {MAX_REPORT_JOBS} in a report")
        self._group_reports.heard_at_by_group[report.group] = monotonic()
        command = Command(at=self._clock(), groups=self._group_infos(), job_report=report)
        await self._group.propose(command.SerializeToString())
        return Done()

    def _check_group(self, name):
        group = self._settings.group_by_name.get(name)
        if group is None or not group.domains:
            raise BadRequestError(
                f"group = {name[:100]!r}: expected a domain group of the settings"
            )

    def _group_infos(self):
        infos = []
        for group in self._settings.domain_groups():
            info = GroupInfo(
                name=group.name, domains=group.domains, silent_s=self._silence_s(group.name)
            )
            capacity = self._group_reports.capacity_by_group.get(group.name)
            if capacity is not None:
                info.capacity.CopyFrom(capacity)
            infos.append(info)
        return infos

    def _silence_s(self, group):
        """Return the time for which this leader has heard nothing from a domain group, s.

        Requests to a former leader are not known here, so a new leader counts from the first
        request that it gets in its term.
        """
        heard_at = max(
            self._group_reports.heard_at_by_group.get(group, 0.0), self._leading_since[1]
        )
        return max(0.0, monotonic() - heard_at)

    async def operator(self, call):
        """Answer an operator call; a refusal is a reply with a result code.

        :raises NotLeaderError: nothing was proposed.
        :raises OutcomeUnknownError: the change may be committed; a retry with the same request id
            gets the first reply.
        """
        self._require_leader()
        try:
            arguments = parse_arguments(call.arguments)
            if is_read(call.verb, arguments):
                await self._group.confirm_leadership()
                answer = self._queries.answer(call.verb, arguments)
                return OperatorReply(code=int(Code.DONE), answer=encode_answer(answer))
            command = self._command(call, arguments)
        except SiskintallyError as error:
            if error.code in _RAISED_CODES:
                raise
            return _refusal(error)
        reply = await self._group.propose(command.SerializeToString())
        return OperatorReply.FromString(reply)

    def _command(self, call, arguments):
        for key, value in (("request_id", call.request_id), ("operator", call.operator)):
            if not 1 <= len(value) <= MAX_ID_LENGTH:
                raise BadRequestError(f"{key}: expected 1 to {MAX_ID_LENGTH} characters")
        field, change = parse_change(call.verb, arguments)
        digest = sha256()
        for part in (call.operator.encode(), call.verb.encode(), canonical_json(arguments)):
            digest.update(len(part).to_bytes(8) + part)
        return Command(
            at=self._clock(),
            request_id=call.request_id,
            operator=call.operator,
            digest=digest.digest(),
            groups=self._group_infos(),
            **{field: change},
        )


def _refusal(error):
    answer = {"message": str(error)[:MAX_MESSAGE_LENGTH]}
    return OperatorReply(code=int(error.code), answer=encode_answer(answer))
