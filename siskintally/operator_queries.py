"""Read-only operator calls: status, jobs, audit, configuration.

>>> from siskintally.operator_queries import DEFAULT_LISTED
>>> DEFAULT_LISTED
1000
"""

from time import monotonic

from siskintally.audit import FIELDS, verify
from siskintally.errors import BadRequestError
from siskintally.group_status import group_status_text
from siskintally.job_counts import job_state
from siskintally.job_split import RESOURCE_NAMES
from siskintally.spec import CLASS_BY_NAME, KIND_BY_NAME
from siskintally.verbs import expect_keys, flag_of, number_of, text_of

MAX_LISTED = 10_000
DEFAULT_LISTED = 1000


class GroupReports:
    """Last reports of the domain groups to this process; kept in memory only.

    :param capacity_by_group: DomainCapacity messages.
    :param heard_by_group: monotonic time of the last request, s.
    :param since_by_group: cell log index up to which the group has committed the changes.
    """

    __slots__ = ("capacity_by_group", "heard_by_group", "since_by_group")

    def __init__(self):
        self.capacity_by_group = {}
        self.heard_by_group = {}
        self.since_by_group = {}


class OperatorQueries:
    """Answers read-only operator calls from the state of the cell.

    :param group: the cell :class:`~siskintally.group.Group`.
    :param machine: its :class:`~siskintally.recorded_cell.RecordedCell`.
    :param settings: settings of the cell.
    :param reported: :class:`GroupReports` of this process.
    """

    __slots__ = ("_audit_file", "_cell", "_group", "_settings", "_soft")

    def __init__(self, *, group, machine, settings, reported):
        self._group = group
        self._cell = machine.cell
        self._audit_file = machine.audit_file
        self._settings = settings
        self._soft = reported

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
        expect_keys(arguments)
        state = self._cell.config_state
        return {"version": state.version, "preset": state.preset, "document": state.document}

    def _status(self, arguments):
        expect_keys(arguments)
        cell = self._cell
        count_by_state = {}
        for job in cell.jobs.by_id.values():
            state = job_state(job)
            count_by_state[state] = count_by_state.get(state, 0) + 1
        return {
            "version": cell.config_state.version,
            "preset": cell.config_state.preset,
            "leader": self._group.leader or "",
            "term": self._group.term,
            "voters": [one.identity.name for one in self._group.members if one.voter],
            "jobs": count_by_state,
            "groups": [self._group_status(group) for group in self._settings.domain_groups()],
            "drains": [{"kind": item.kind, "name": item.name} for item in cell.drains.draining()],
            "teams": self._teams(),
            "audit": {"records": cell.audit.number, "head": cell.audit.head},
        }

    def _group_status(self, group):
        capacity = self._soft.capacity_by_group.get(group.name)
        heard = self._soft.heard_by_group.get(group.name)
        return {
            "group": group.name,
            "domains": list(group.domains),
            "standing": group_status_text(self._cell.group_statuses.of(group.name)),
            "config_current": self._is_current(group.name),
            "heard_s": None if heard is None else round(monotonic() - heard, 1),
            "workers": 0 if capacity is None else capacity.workers,
            "total": {} if capacity is None else _amounts(capacity.total),
            "free": {} if capacity is None else _amounts(capacity.free),
        }

    def _is_current(self, group):
        """Return whether a domain group has committed the current configuration."""
        since = self._soft.since_by_group.get(group)
        return since is not None and since >= self._cell.config_state.changed_at

    def _teams(self):
        cell = self._cell
        if cell.config is None:
            return {}
        return {
            team: {"used": _amounts(cell.jobs.quota_use.used(team)), "quota": _amounts(quota)}
            for team, quota in cell.config.quota_by_team.items()
        }

    def _jobs(self, arguments):
        expect_keys(arguments, "prefix", "state", "jobs", "limit")
        prefix = text_of(arguments, "prefix", "")
        state = text_of(arguments, "state", "")
        limit = number_of(arguments, "limit", low=1, high=MAX_LISTED, default=DEFAULT_LISTED)
        wanted = arguments.get("jobs")
        if wanted is not None and not isinstance(wanted, list):
            raise BadRequestError("jobs: expected a list of job ids")
        by_id = self._cell.jobs.by_id
        chosen = by_id.values()
        if wanted is not None:
            chosen = [by_id[name] for name in wanted if isinstance(name, str) and name in by_id]
        rows = []
        more = False
        for job in chosen:
            if not job.job_id.startswith(prefix) or state not in ("", job_state(job)):
                continue
            if len(rows) == limit:
                more = True
                break
            rows.append(_job_row(job))
        return {"jobs": rows, "more": more}

    def _audit(self, arguments):
        expect_keys(arguments, "limit", "verify")
        limit = number_of(arguments, "limit", low=1, high=MAX_LISTED, default=DEFAULT_LISTED)
        chain = self._cell.audit
        rows = [
            {name: getattr(record, name) for name in FIELDS} for record in chain.recent[-limit:]
        ]
        answer = {"records": chain.number, "head": chain.head, "rows": rows}
        if flag_of(arguments, "verify", False):
            findings = verify(self._audit_file.path)
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


def _name_of(number_by_name, number):
    return next(name for name, value in number_by_name.items() if value == number)


def _job_row(job):
    progress = [job.past, *(share.progress for share in job.shares)]
    counts = ("waiting", "running", "succeeded", "failed", "cancelled")
    number_by_count = {name: sum(getattr(row, name) for row in progress) for name in counts}
    number_by_count["waiting"] += job.unplaced
    return {
        "job": job.job_id,
        "state": job_state(job),
        "reason": job.reason,
        "code": job.code,
        "team": job.spec.team,
        "kind": _name_of(KIND_BY_NAME, job.spec.kind),
        "class": _name_of(CLASS_BY_NAME, job.spec.class_),
        "tasks": job.spec.tasks,
        "operator": job.operator,
        "submitted_at": job.submitted_at,
        "split": {share.group: share.tasks for share in job.shares if share.tasks},
        "restarted": job.restarted,
        **number_by_count,
    }
