"""Timeline of each flow from the logs of stores: acceptance, advice, starts, and ends.

>>> from siskintally.flow_trace import build_flow_traces, read_events
>>> line = '{"event": "flow accepted", "flow": "f", "queue": "q", "timestamp": '
>>> line += '"2026-01-23T13:39:52Z", "steps": ["1 x 500m 64MB 640ms"]}'
>>> flows = build_flow_traces(read_events(["10.5 store-1 " + line, "no event"]))
>>> flows["f"].queue, flows["f"].steps[0].tasks
('q', 1)
"""

from datetime import datetime
from json import JSONDecodeError, loads

from siskintally.errors import BadRequestError
from siskintally.step_text import parse_step
from siskintally.task_id import TaskId


class TaskTrace:
    """Starts and ends of one task.

    ``starts``: Unix times in s. ``ends``: (Unix time, how) pairs. Both in the order of the log.
    """

    __slots__ = ("ends", "starts")

    def __init__(self):
        self.starts = []
        self.ends = []

    @property
    def done_at(self):
        """Unix time at which the task was first done, or None."""
        return next((at for at, how in self.ends if how == "DONE"), None)


class FlowTrace:
    """Timeline of one accepted flow.

    ``steps``: :class:`~siskintally.step_text.StepSummary` objects, empty if the log has none.
    ``task_by_id``: :class:`TaskTrace` objects. ``advice_by_step``: Unix times of answers of the
    advice service, by step id.
    """

    __slots__ = ("accepted_at", "advice_by_step", "cancelled", "id", "queue", "steps", "task_by_id")

    def __init__(self, *, flow_id, queue, accepted_at, steps):
        self.id = flow_id
        self.queue = queue
        self.accepted_at = accepted_at
        self.steps = steps
        self.cancelled = False
        self.task_by_id = {}
        self.advice_by_step = {}

    def task(self, name):
        """Return the trace of a task; create it if there is none."""
        return self.task_by_id.setdefault(name, TaskTrace())


def read_events(lines):
    """Yield (Unix time, fields) of each log line; text before the JSON object is skipped."""
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            continue
        try:
            fields = loads(line[begin:])
            yield datetime.fromisoformat(fields["timestamp"]).timestamp(), fields
        except (JSONDecodeError, KeyError, TypeError, ValueError):
            # The log also contains lines of other programs.
            continue


def build_flow_traces(events):
    """Return :class:`FlowTrace` objects by flow id.

    A new leader logs flows and ends that a former one has already logged, so only the first
    acceptance of a flow and the first time at which a task was done count.
    """
    flows = {}
    for at, fields in events:
        handler = _HANDLER_BY_EVENT.get(fields.get("event"))
        if handler is not None:
            handler(flows, at, fields)
    return flows


def _handle_accepted(flows, at, fields):
    flow_id = fields.get("flow")
    if flow_id in flows:
        return
    try:
        steps = [parse_step(text) for text in fields.get("steps", ())]
    except BadRequestError:
        # Another version may describe steps differently; no breakdown is possible then.
        steps = []
    flows[flow_id] = FlowTrace(
        flow_id=flow_id, queue=fields.get("queue", ""), accepted_at=at, steps=steps
    )


def _handle_cancelled(flows, _, fields):
    if fields.get("flow") in flows:
        flows[fields["flow"]].cancelled = True


def _handle_advice(flows, at, fields):
    step = str(fields.get("step", ""))
    flow = flows.get(step.partition(".")[0])
    if flow is not None:
        flow.advice_by_step.setdefault(step, []).append(at)


def _flow_of_task(flows, fields):
    task = TaskId.parse(fields.get("task"))
    return flows.get(task.flow) if task is not None else None


def _handle_start(flows, at, fields):
    flow = _flow_of_task(flows, fields)
    if flow is not None:
        flow.task(fields["task"]).starts.append(at)


def _handle_end(flows, at, fields):
    flow = _flow_of_task(flows, fields)
    if flow is not None:
        flow.task(fields["task"]).ends.append((at, fields.get("how", "")))


_HANDLER_BY_EVENT = {
    "flow accepted": _handle_accepted,
    "flow cancelled": _handle_cancelled,
    "advice": _handle_advice,
    "start": _handle_start,
    "end": _handle_end,
}
