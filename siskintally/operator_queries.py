"""Read-only operator calls: status, jobs, audit, configuration.

>>> from siskintally.operator_queries import DEFAULT_LIST_LIMIT
>>> DEFAULT_LIST_LIMIT
1000
"""

from time import monotonic

from siskintally.audit import RECORD_FIELDS, verify_file
from siskintally.errors import BadRequestError
from siskintally.group_status import group_status_text
from siskintally.job_counts import job_state
from siskintally.job_split import RESOURCE_NAMES
from siskintally.spec import CLASS_BY_NAME, KIND_BY_NAME
from siskintally.verbs import boolean_argument, check_keys, integer_argument, text_argument

MAX_LIST_LIMIT = 10_000
DEFAULT_LIST_LIMIT = 1000


class GroupReports:
    """Last reports of the domain groups to this process; kept in memory only.

    :param capacity_by_group: DomainCapacity messages.
    :param heard_at_by_group: monotonic time of the last request, s.
    :param synced_index_by_group: cell log index up to which the group has committed the changes.
    """

    __slots__ = ("capacity_by_group", "heard_at_by_group", "synced_index_by_group")

    def __init__(self):
        self.capacity_by_group = {}
        self.heard_at_by_group = {}
        self.synced_index_by_group = {}


class OperatorQueries:
    """Answers read-only operator calls from the state of the cell.

    :param group: the cell :class:`~siskintally.group.Group`.
    :param state_machine: its :class:`~siskintally.recorded_cell.RecordedCell`.
    :param settings: settings of the cell.
    :param group_reports: :class:`GroupReports` of this process.
    """

    __slots__ = ("_audit_file", "_cell", "_group", "_group_reports", "_settings")

    def __init__(self, *, group, state_machine, settings, group_reports):
        self._group = group
        self._cell = state_machine.cell
        self._audit_file = state_machine.audit_file
        self._settings = settings
        self._group_reports = group_reports

    def answer(self, verb, arguments):
        """Return the answer to a call of a verb as a dict.

        :raises BadRequestError: names the argument, its value, and what is allowed.
        """
        return {
            "status": self._status,
            "jobs": self._jobs,
            "audit": self._audit,
            "config": self._config,
        }[verb](arguments)

    def _config(self, arguments):
        check_keys(arguments)
        state = self._cell.config_state
        return {"version": state.version, "preset": state.preset, "document": state.document}

    def _status(self, arguments):
        check_keys(arguments)
        cell = self._cell
        count_by_state = {}
        for job in cell.jobs.job_by_id.values():
            state = job_state(job)
            count_by_state[state] = count_by_state.get(state, 0) + 1
        return {
            "version": cell.config_state.version,
            "preset": cell.config_state.preset,
            "leader": self._group.leader or "",
            "term": self._group.term,
            "voters": [member.identity.name for member in self._group.members if member.voter],
            "jobs": count_by_state,
            "groups": [self._group_status(group) for group in self._settings.domain_groups()],
            "drains": [
                {"kind": item.kind, "name": item.name} for item in cell.drains.draining_items()
            ],
            "teams": self._teams(),
            "audit": {"records": cell.audit.number, "head": cell.audit.head},
        }

    def _group_status(self, group):
        capacity = self._group_reports.capacity_by_group.get(group.name)
        heard_at = self._group_reports.heard_at_by_group.get(group.name)
        return {
            "group": group.name,
            "domains": list(group.domains),
            "standing": group_status_text(self._cell.group_statuses.get(group.name)),
            "config_current": self._is_current(group.name),
            "heard_s": None if heard_at is None else round(monotonic() - heard_at, 1),
            "workers": 0 if capacity is None else capacity.workers,
            "total": {} if capacity is None else _amounts(capacity.total),
            "free": {} if capacity is None else _amounts(capacity.free),
        }

    def _is_current(self, group):
        """Return whether a domain group has committed the current configuration."""
        synced_index = self._group_reports.synced_index_by_group.get(group)
        return synced_index is not None and synced_index >= self._cell.config_state.changed_at

    def _teams(self):
        cell = self._cell
        if cell.config is None:
            return {}
        return {
            team: {"used": _amounts(cell.jobs.quota_use.used(team)), "quota": _amounts(quota)}
            for team, quota in cell.config.quota_by_team.items()
        }

    def _jobs(self, arguments):
        check_keys(arguments, "prefix", "state", "jobs", "limit")
        prefix = text_argument(arguments, "prefix", "")
        state = text_argument(arguments, "state", "")
        limit = integer_argument(
            arguments, "limit", low=1, high=MAX_LIST_LIMIT, default=DEFAULT_LIST_LIMIT
        )
        job_ids = arguments.get("jobs")
        if job_ids is not None and not isinstance(job_ids, list):
            raise BadRequestError("jobs: expected a list of job ids")
        job_by_id = self._cell.jobs.job_by_id
        jobs = job_by_id.values()
        if job_ids is not None:
            jobs = [
                job_by_id[name] for name in job_ids if isinstance(name, str) and name in job_by_id
            ]
        rows = []
        more = False
        for job in jobs:
            if not job.job_id.startswith(prefix) or state not in ("", job_state(job)):
                continue
            if len(rows) == limit:
                more = True
                break
            rows.append(_job_row(job))
        return {"jobs": rows, "more": more}

    def _audit(self, arguments):
        check_keys(arguments, "limit", "verify")
        limit = integer_argument(
            arguments, "limit", low=1, high=MAX_LIST_LIMIT, default=DEFAULT_LIST_LIMIT
        )
        chain = self._cell.audit
        rows = [
            {name: getattr(record, name) for name in RECORD_FIELDS}
            for record in chain.recent[-limit:]
        ]
        answer = {"records": chain.number, "head": chain.head, "rows": rows}
        if boolean_argument(arguments, "verify", False):
            findings = verify_file(self._audit_file.path)
            damage = findings.damage
            if not damage and findings.head != chain.head:
                damage = f"file ends with record {findings.last}, the state with {chain.number}"
            answer["file"] = {
                "store": self._group.leader or "",
                "records": findings.records,
                "gaps": findings.gaps,
                "damage": damage,
            }
        return answer


def _amounts(resources):
    return {name: getattr(resources, name) for name in RESOURCE_NAMES}


def _name_of_number(number_by_name, number):
    return next(name for name, value in number_by_name.items() if value == number)


def _job_row(job):
    progress = [job.past, *(share.progress for share in job.shares)]
    count_names = ("waiting", "running", "succeeded", "failed", "cancelled")
    total_by_count = {name: sum(getattr(row, name) for row in progress) for name in count_names}
    total_by_count["waiting"] += job.unplaced
    return {
        "job": job.job_id,
        "state": job_state(job),
        "reason": job.reason,
        "code": job.code,
        "team": job.spec.team,
        "kind": _name_of_number(KIND_BY_NAME, job.spec.kind),
        "class": _name_of_number(CLASS_BY_NAME, job.spec.class_),
        "tasks": job.spec.tasks,
        "operator": job.operator,
        "submitted_at": job.submitted_at,
        "split": {share.group: share.tasks for share in job.shares if share.tasks},
        "restarted": job.restarted,
        **total_by_count,
    }
