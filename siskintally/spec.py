"""Job specifications: parses them from JSON or TOML values and checks them.

>>> from siskintally.spec import parse_spec
>>> parse_spec({"name": "restock", "team": "shops", "kind": "gang", "tasks": 4,
...             "cpu_milli": 2000}).tasks
4
"""

from math import isfinite
from re import compile as compile_pattern

from siskintally.errors import BadRequestError
from siskintally.wire_pb2 import JobSpec, Resources

MAX_TASKS = 100_000
MAX_AMOUNT = 1_000_000_000
MAX_DURATION_S = 366 * 24 * 3600.0
MAX_COMMAND_LENGTH = 4096
MAX_TEXT_LENGTH = 63
NAME_PATTERN = compile_pattern(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
KIND_BY_NAME = {"batch": JobSpec.BATCH, "service": JobSpec.SERVICE, "gang": JobSpec.GANG}
CLASS_BY_NAME = {
    "normal": JobSpec.NORMAL,
    "urgent": JobSpec.URGENT,
    "deferrable": JobSpec.DEFERRABLE,
}
_TYPE_BY_KEY = {
    "name": str,
    "team": str,
    "kind": str,
    "class": str,
    "tasks": int,
    "cpu_milli": int,
    "memory_mb": int,
    "accelerators": int,
    "run_s": float,
    "deadline_s": float,
    "domain": str,
    "command": str,
}
SPEC_KEYS = tuple(_TYPE_BY_KEY)


def parse_spec(fields):
    """Return the JobSpec of plain values.

    :param fields: ``{key: value}`` with the keys of a job file; name, team and kind are required.
    :raises BadRequestError: names the key, its value and what is allowed.
    """
    if not isinstance(fields, dict):
        raise BadRequestError("job: expected a table of keys and values")
    for key, value in fields.items():
        if key not in _TYPE_BY_KEY:
            raise BadRequestError(f"{key}: unknown key, expected one of {', '.join(SPEC_KEYS)}")
        _check_type(key, value)
    for key in ("name", "team", "kind"):
        if key not in fields:
            raise BadRequestError(f"{key}: missing")
    spec = JobSpec(
        name=fields["name"],
        team=fields["team"],
        kind=_parse_choice(KIND_BY_NAME, "kind", fields["kind"]),
        class_=_parse_choice(CLASS_BY_NAME, "class", fields.get("class", "normal")),
        tasks=_check_range("tasks", fields.get("tasks", 1), 1, MAX_TASKS),
        each=Resources(
            **{
                key: _check_range(key, fields.get(key, 0), 0, MAX_AMOUNT)
                for key in ("cpu_milli", "memory_mb", "accelerators")
            }
        ),
        run_s=fields.get("run_s", 0),
        deadline_s=fields.get("deadline_s", 0),
        domain=fields.get("domain", ""),
        command=fields.get("command", ""),
    )
    check_spec(spec)
    return spec


def check_spec(spec):
    """Check a JobSpec by itself, without the state of the cell.

    :raises BadRequestError: names the key, its value and what is allowed.
    """
    if not NAME_PATTERN.fullmatch(spec.name):
        raise BadRequestError(
            f"name = {spec.name[:MAX_TEXT_LENGTH]!r}: expected 1 to 63 of A-Z a-z 0-9 . _ -, "
            "the first a letter or digit"
        )
    if not 1 <= len(spec.team) <= MAX_TEXT_LENGTH or len(spec.domain) > MAX_TEXT_LENGTH:
        raise BadRequestError(f"team, domain: expected at most {MAX_TEXT_LENGTH} characters")
    if spec.kind not in KIND_BY_NAME.values() or spec.class_ not in CLASS_BY_NAME.values():
        raise BadRequestError(f"kind, class = {spec.kind}, {spec.class_}: unknown number")
    _check_range("tasks", spec.tasks, 1, MAX_TASKS)
    amounts = (spec.each.cpu_milli, spec.each.memory_mb, spec.each.accelerators)
    for key, value in zip(("cpu_milli", "memory_mb", "accelerators"), amounts, strict=True):
        _check_range(key, value, 0, MAX_AMOUNT)
    if not any(amounts):
        raise BadRequestError("cpu_milli, memory_mb, accelerators: expected one above 0")
    for key, value in (("run_s", spec.run_s), ("deadline_s", spec.deadline_s)):
        if not isfinite(value):
            raise BadRequestError(f"{key} = {value}: expected a finite number")
        _check_range(key, value, 0, MAX_DURATION_S)
    if len(spec.command) > MAX_COMMAND_LENGTH:
        raise BadRequestError(f"command: expected at most {MAX_COMMAND_LENGTH} characters")


def _check_type(key, value):
    expected_type = _TYPE_BY_KEY[key]
    types = (int, float) if expected_type is float else expected_type
    if not isinstance(value, types) or isinstance(value, bool):
        raise BadRequestError(f"{key} = {value!r}: expected {expected_type.__name__}")


def _parse_choice(number_by_name, key, name):
    if name not in number_by_name:
        raise BadRequestError(f"{key} = {name!r}: expected one of {', '.join(number_by_name)}")
    return number_by_name[name]


def _check_range(key, value, low, high):
    if not low <= value <= high:
        raise BadRequestError(f"{key} = {value}: expected {low} to {high}")
    return value
