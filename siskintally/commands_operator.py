"""Operator commands: status, submit, cancel, jobs, drain, domain, preset, config, audit.

>>> from siskintally.command import Registry
>>> from siskintally.commands_operator import register
>>> registry = Registry()
>>> register(registry)
>>> [command.name for command in registry]
['audit', 'cancel', 'config', 'domain', 'drain', 'jobs', 'preset', 'status', 'submit']
"""

from pathlib import Path
from tomllib import TOMLDecodeError, loads

from absl.flags import (
    DEFINE_alias,
    DEFINE_boolean,
    DEFINE_enum,
    DEFINE_float,
    DEFINE_integer,
    DEFINE_string,
)

from siskintally import commands_domain
from siskintally.command import Command
from siskintally.errors import BadRequestError, BadSettingsError
from siskintally.operation import Operation, define_common
from siskintally.preset import PRESET_NAMES
from siskintally.spec import CLASS_BY_NAME, KIND_BY_NAME, SPEC_KEYS
from siskintally.tables import show_audit, show_config, show_jobs, show_status

_SUMMARY_BY_NAME = {
    "status": "Show the state of the cell.",
    "submit": "Submit a job given by flags, a TOML job file, or both (flags take precedence).",
    "cancel": "Cancel jobs by id, by --all-of-job-prefix, or both, in one change.",
    "jobs": "List all jobs, or those with the given ids.",
    "drain": "Take a worker or an endpoint out of service: drain worker|endpoint NAME [--off].",
    "domain": commands_domain.SUMMARY,
    "preset": "Activate a preset, or show the active one.",
    "config": "Read or replace the configuration document: config get | config set FILE.",
    "audit": "Show the latest changes by operators; --verify checks the hash chain.",
}


def register(registry):
    """Add the commands of this family."""
    for name, summary in _SUMMARY_BY_NAME.items():
        define, start = _COMMANDS[name]
        registry.add(
            Command(name=name, summary=summary, define=define, start=_operation_runner(start))
        )


def _operation_runner(start):
    def run(values, arguments):
        return Operation.run(values, arguments, start)

    return run


def _with_common(define=None):
    def define_all(values):
        define_common(values)
        if define is not None:
            define(values)

    return define_all


def _define_submit(values):
    for key in ("name", "team", "domain", "command"):
        DEFINE_string(key, None, f"{key} of the job", flag_values=values)
    DEFINE_enum("kind", None, tuple(KIND_BY_NAME), "kind of job", flag_values=values)
    DEFINE_enum("class", None, tuple(CLASS_BY_NAME), "priority class", flag_values=values)
    DEFINE_integer("tasks", None, "number of tasks", flag_values=values)
    DEFINE_integer(
        "cpu_milli", None, "processor per task, thousandths of a core", flag_values=values
    )
    DEFINE_integer("memory_mb", None, "memory per task, MB", flag_values=values)
    DEFINE_integer("accelerators", None, "accelerators per task", flag_values=values)
    DEFINE_float("run_s", None, "declared run time, s; 0: runs until stopped", flag_values=values)
    DEFINE_float("deadline_s", None, "deadline, s after submission; 0: none", flag_values=values)
    DEFINE_string("file", None, "TOML job file", flag_values=values)


def _submit(operation, values, arguments):
    if values.file and arguments:
        raise BadSettingsError(f"arguments = {arguments}: expected one job file")
    path = values.file or _optional_argument(arguments, "job file")
    fields = _read_toml(path) if path else {}
    fields.update({key: values[key].value for key in SPEC_KEYS if values[key].value is not None})
    answer = operation.call("submit", fields)
    if not operation.json:
        outcome = (
            f"waits: {answer['reason']}" if answer["reason"] else _format_shares(answer["split"])
        )
        print(f"{answer['job']}  {outcome}")
    if operation.wait:
        operation.wait_jobs([answer["job"]])
    return answer


def _format_shares(split):
    return ", ".join(f"{group}: {tasks}" for group, tasks in split.items())


def _read_toml(path):
    try:
        return loads(_read_text(path))
    except TOMLDecodeError as error:
        raise BadRequestError(f"{path}: {error}") from error


def _read_text(path):
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadSettingsError(f"{path}: {error}") from error


def _optional_argument(arguments, description):
    if len(arguments) > 1:
        raise BadSettingsError(f"arguments = {arguments}: expected at most one {description}")
    return arguments[0] if arguments else None


def _define_cancel(values):
    DEFINE_string(
        "all_of_job_prefix", "", "cancel all jobs whose id starts with this", flag_values=values
    )
    DEFINE_alias("all-of-job-prefix", "all_of_job_prefix", flag_values=values)


def _cancel(operation, values, arguments):
    prefix = values.all_of_job_prefix
    answer = operation.call("cancel", {"jobs": arguments, "prefix": prefix})
    if not operation.json:
        print(f"cancelled {answer['cancelled']}, already ended {answer['ended']}")
        for job in answer["not_found"]:
            print(f"not found: {job}")
    if operation.wait:
        operation.wait_jobs([job for job in arguments if job not in answer["not_found"]], prefix)
    return answer


def _define_jobs(values):
    DEFINE_string("prefix", "", "list only jobs whose id starts with this", flag_values=values)
    DEFINE_string("state", "", "list only jobs in this state", flag_values=values)
    DEFINE_integer("limit", 1000, "largest number of jobs to list", 1, 10_000, flag_values=values)


def _jobs(operation, values, arguments):
    query = {"prefix": values.prefix, "state": values.state, "limit": values.limit}
    if arguments:
        query["jobs"] = arguments
    answer = operation.read("jobs", query)
    if operation.wait:
        operation.wait_jobs([row["job"] for row in answer["jobs"]])
        answer = operation.read("jobs", query)
    if not operation.json:
        show_jobs(answer)
    return answer


def _define_drain(values):
    DEFINE_boolean("off", False, "end the drain: put it back into service", flag_values=values)


def _drain(operation, values, arguments):
    if len(arguments) != 2:
        raise BadSettingsError("arguments: expected worker or endpoint, then a name")
    fields = {"kind": arguments[0], "name": arguments[1], "draining": not values.off}
    answer = operation.call("drain", fields)
    if not operation.json:
        state = "draining" if answer["draining"] else "in service"
        print(f"{answer['kind']} {answer['name']}: {state}")
    return answer


def _define_version(values):
    DEFINE_integer(
        "expect_version",
        None,
        "version that the change is based on; the default is the current one",
        0,
        flag_values=values,
    )
    DEFINE_alias("expect-version", "expect_version", flag_values=values)


def _expected_version(operation, values):
    if values.expect_version is not None:
        return values.expect_version
    return operation.read("config", {})["version"]


def _preset(operation, values, arguments):
    name = _optional_argument(arguments, f"preset of {', '.join(PRESET_NAMES)}")
    if name is None:
        answer = operation.read("config", {})
        if not operation.json:
            print(f"{answer['preset'] or 'none'} (version {answer['version']})")
        return answer
    fields = {"preset": name, "expect_version": _expected_version(operation, values)}
    return _change_version(operation, "preset", fields)


def _config(operation, values, arguments):
    if arguments == ["get"]:
        answer = operation.read("config", {})
        if not operation.json:
            show_config(answer)
        return answer
    if len(arguments) != 2 or arguments[0] != "set":
        raise BadSettingsError(f"arguments = {arguments}: expected get, or set and a file name")
    if values.expect_version is None:
        raise BadSettingsError("--expect-version: expected the version that the file is based on")
    document = _read_text(arguments[1])
    fields = {"document": document, "expect_version": values.expect_version}
    return _change_version(operation, "config", fields)


def _change_version(operation, verb, fields):
    answer = operation.call(verb, fields)
    if not operation.json:
        print(f"version {answer['version']}, preset {answer['preset']}")
    if operation.wait:
        operation.wait_config(answer["version"])
    return answer


def _status(operation, values, arguments):
    _require_no_arguments(arguments)
    answer = operation.read("status", {})
    if not operation.json:
        show_status(answer)
    return answer


def _define_audit(values):
    DEFINE_boolean(
        "verify", False, "check the hash chain of the leader's audit file", flag_values=values
    )
    DEFINE_integer("limit", 20, "number of records to show", 1, 10_000, flag_values=values)


def _audit(operation, values, arguments):
    _require_no_arguments(arguments)
    answer = operation.read("audit", {"limit": values.limit, "verify": values.verify})
    if not operation.json:
        show_audit(answer)
    operation.check_audit_chain(answer)
    return answer


def _require_no_arguments(arguments):
    if arguments:
        raise BadSettingsError(f"arguments = {arguments}: expected only flags")


_COMMANDS = {
    "status": (_with_common(), _status),
    "submit": (_with_common(_define_submit), _submit),
    "cancel": (_with_common(_define_cancel), _cancel),
    "jobs": (_with_common(_define_jobs), _jobs),
    "drain": (_with_common(_define_drain), _drain),
    "domain": (_with_common(commands_domain.define), commands_domain.start),
    "preset": (_with_common(_define_version), _preset),
    "config": (_with_common(_define_version), _config),
    "audit": (_with_common(_define_audit), _audit),
}
