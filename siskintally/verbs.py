"""Operator verbs: parses the JSON arguments of a call into a change of the cell state.

>>> from siskintally.verbs import parse_arguments, parse_change
>>> parse_change("preset", parse_arguments(b'{"preset": "peak", "expect_version": 3}'))
('set_preset', preset: "peak"
expect_version: 3
)
"""

from json import dumps, loads

from siskintally.cell_state_pb2 import (
    CancelJobs,
    LoseGroups,
    RestoreGroup,
    SetConfig,
    SetDrain,
    SetPreset,
    SubmitJob,
)
from siskintally.codes import Code
from siskintally.errors import BadRequestError, SiskintallyError
from siskintally.spec import parse_spec

MAX_ARGUMENT_BYTES = 1 << 20
MAX_VERSION = (1 << 63) - 1
READ_VERBS = ("status", "jobs", "audit")
CHANGE_VERBS = ("submit", "cancel", "drain", "preset", "config", "domain")
DOMAIN_ACTIONS = ("lost", "restore")


class ArgumentsTooLargeError(SiskintallyError):
    """The arguments are larger than the limit; nothing changed."""

    code = Code.TOO_LARGE


def parse_arguments(data):
    """Parse the JSON arguments of a call; empty bytes mean no arguments.

    :returns: dict.
    :raises BadRequestError: the data is not a JSON object.
    :raises ArgumentsTooLargeError: the data is larger than 1 MiB.
    """
    if len(data) > MAX_ARGUMENT_BYTES:
        raise ArgumentsTooLargeError(f"arguments: expected at most {MAX_ARGUMENT_BYTES} bytes")
    try:
        arguments = loads(data) if data else {}
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"arguments are not JSON: {error}") from error
    if not isinstance(arguments, dict):
        raise BadRequestError("arguments: expected a JSON object")
    return arguments


def canonical_json(arguments):
    """Return arguments as JSON bytes; equal arguments give equal bytes."""
    return dumps(arguments, sort_keys=True, separators=(",", ":")).encode()


def is_read(verb, arguments):
    """Return whether a call only reads.

    :raises BadRequestError: the verb is unknown.
    """
    if verb in READ_VERBS:
        return True
    if verb not in CHANGE_VERBS:
        known = ", ".join(READ_VERBS + CHANGE_VERBS)
        raise BadRequestError(f"verb = {verb[:100]!r}: expected one of {known}")
    return verb == "config" and "document" not in arguments


def parse_change(verb, arguments):
    """Return the change of the cell state that a call requests.

    :returns: (field name in Command, message).
    :raises BadRequestError: names the argument, its value, and what is allowed.
    """
    try:
        return _PARSER_BY_VERB[verb](arguments)
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        # Protobuf rejects some values, such as text with an unpaired surrogate.
        raise BadRequestError(f"arguments: {error}") from error


def text_argument(arguments, key, default=None):
    """Return a text argument.

    :raises BadRequestError: not text, or missing without a default.
    """
    value = arguments.get(key, default)
    if not isinstance(value, str):
        raise BadRequestError(f"{key} = {value!r}: expected text")
    return value


def integer_argument(arguments, key, *, low, high, default=None):
    """Return an integer argument.

    :raises BadRequestError: not an integer, out of range, or missing without a default.
    """
    value = arguments.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or not low <= value <= high:
        raise BadRequestError(f"{key} = {value!r}: expected an integer from {low} to {high}")
    return value


def boolean_argument(arguments, key, default):
    """Return a boolean argument.

    :raises BadRequestError: not a boolean.
    """
    value = arguments.get(key, default)
    if not isinstance(value, bool):
        raise BadRequestError(f"{key} = {value!r}: expected true or false")
    return value


def check_keys(arguments, *allowed):
    """Check that all arguments are among the allowed ones.

    :raises BadRequestError: names the first unknown argument.
    """
    for key in arguments:
        if key not in allowed:
            known = ", ".join(allowed) or "none"
            raise BadRequestError(f"{key[:100]}: unknown argument, expected one of {known}")


def _parse_submit(arguments):
    return "submit_job", SubmitJob(spec=parse_spec(arguments))


def _parse_cancel(arguments):
    check_keys(arguments, "jobs", "prefix")
    jobs = arguments.get("jobs", [])
    if not isinstance(jobs, list) or not all(isinstance(job, str) for job in jobs):
        raise BadRequestError("jobs: expected a list of job ids")
    prefix = text_argument(arguments, "prefix", "")
    if not jobs and not prefix:
        raise BadRequestError("jobs, prefix: expected at least one of them")
    return "cancel_jobs", CancelJobs(job_ids=jobs, prefix=prefix)


def _parse_drain(arguments):
    check_keys(arguments, "kind", "name", "draining")
    return "set_drain", SetDrain(
        kind=text_argument(arguments, "kind"),
        name=text_argument(arguments, "name"),
        draining=boolean_argument(arguments, "draining", True),
    )


def _parse_preset(arguments):
    check_keys(arguments, "preset", "expect_version")
    return "set_preset", SetPreset(
        preset=text_argument(arguments, "preset"),
        expect_version=integer_argument(arguments, "expect_version", low=0, high=MAX_VERSION),
    )


def _parse_config(arguments):
    check_keys(arguments, "document", "expect_version")
    return "set_config", SetConfig(
        document=text_argument(arguments, "document"),
        expect_version=integer_argument(arguments, "expect_version", low=0, high=MAX_VERSION),
    )


def _parse_domain(arguments):
    check_keys(arguments, "action", "groups", "confirm", "force")
    action = text_argument(arguments, "action")
    groups = arguments.get("groups")
    if not isinstance(groups, list) or not all(isinstance(name, str) for name in groups):
        raise BadRequestError("groups: expected a list of domain groups")
    if action == "lost":
        if not boolean_argument(arguments, "confirm", False):
            raise BadRequestError(
                "confirm: expected true, to confirm that nothing runs in the groups"
            )
        return "lose_groups", LoseGroups(
            groups=groups, force=boolean_argument(arguments, "force", False)
        )
    if action != "restore" or len(groups) != 1:
        raise BadRequestError(f"action = {action!r}: expected lost, or restore with one group")
    return "restore_group", RestoreGroup(group=groups[0])


_PARSER_BY_VERB = {
    "submit": _parse_submit,
    "cancel": _parse_cancel,
    "drain": _parse_drain,
    "preset": _parse_preset,
    "config": _parse_config,
    "domain": _parse_domain,
}
