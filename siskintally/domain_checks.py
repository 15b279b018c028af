"""Range checks of the commands of a domain group; a command out of range has no effect.

>>> from siskintally.domain_checks import check_sync
>>> from siskintally.wire_pb2 import SyncReply
>>> check_sync(SyncReply())
"""

from siskintally.errors import BadRequestError
from siskintally.size import Size
from siskintally.wire_pb2 import JobSpec

MAX_NAME_LENGTH = 200
MAX_TASKS = 100_000
# Largest valid amount of a resource.
MAX_AMOUNT = 1 << 40
# Largest valid Unix time, in the year 5138, and largest valid duration.
MAX_TIME_S = 1e11


def _check_name(text):
    if not 0 < len(text) <= MAX_NAME_LENGTH:
        raise BadRequestError(f"name {text[:40]!r}: expected 1 to {MAX_NAME_LENGTH} characters")


def _check_resources(resources):
    for amount in Size.from_message(resources).as_tuple():
        if not 0 <= amount <= MAX_AMOUNT:
            raise BadRequestError(f"amount {amount}: expected 0 to {MAX_AMOUNT}")


def _check_spec(spec):
    _check_resources(spec.each)
    if spec.kind not in JobSpec.Kind.values() or spec.class_ not in JobSpec.Class.values():
        raise BadRequestError(f"kind = {spec.kind}, class = {spec.class_}: unknown")
    for seconds in (spec.run_s, spec.deadline_s):
        if not 0 <= seconds <= MAX_TIME_S:
            raise BadRequestError(f"duration {seconds}: expected 0 to {MAX_TIME_S} s")


def check_sync(change):
    """Check a SyncReply.

    :raises BadRequestError: names the value and what is allowed.
    """
    for item in change.jobs:
        _check_name(item.job_id)
        _check_spec(item.spec)
        if item.tasks > MAX_TASKS:
            raise BadRequestError(f"tasks = {item.tasks}: expected at most {MAX_TASKS}")
    for drain in change.drains:
        _check_name(drain.name)


def check_batch(change):
    """Check a DomainBatch.

    :raises BadRequestError: names the value and what is allowed.
    """
    if not 0 <= change.longest_lease_s <= MAX_TIME_S:
        raise BadRequestError("longest lease out of range")
    for record in change.joined:
        _check_name(record.name)
        _check_name(record.session)
        _check_resources(record.capacity)
