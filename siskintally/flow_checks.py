"""Validation of a submitted flow before it is stored.

>>> from siskintally.control_pb2 import Flow, FlowStep
>>> from siskintally.flow_checks import check_flow
>>> check_flow(Flow(id="f", queue="q", steps=[FlowStep(tasks=1)]))
"""

from siskintally.errors import BadRequestError

MAX_STEPS = 256
MAX_TASKS = 20_000
MAX_SPEC_BYTES = 16_384


def check_flow(flow):
    """Check the id, size limits, and dependencies of the steps.

    :raises BadRequestError: a field is invalid; the message says which and what is allowed.
    """
    if not flow.id or "." in flow.id:
        raise BadRequestError(f"id = {flow.id!r}: expected a name without dots")
    if not 1 <= len(flow.steps) <= MAX_STEPS:
        raise BadRequestError(f"steps: expected 1 to {MAX_STEPS}, not {len(flow.steps)}")
    if len(flow.spec.encode()) > MAX_SPEC_BYTES:
        raise BadRequestError(f"spec: expected at most {MAX_SPEC_BYTES} bytes")
    tasks = sum(step.tasks for step in flow.steps) * max(flow.times, 1)
    if tasks > MAX_TASKS:
        raise BadRequestError(f"steps: expected at most {MAX_TASKS} tasks, not {tasks}")
    for number, step in enumerate(flow.steps):
        if not step.tasks:
            raise BadRequestError(f"steps[{number}].tasks: expected 1 or more")
        if any(dependency >= number for dependency in step.after):
            raise BadRequestError(f"steps[{number}].after: expected numbers of earlier steps")
