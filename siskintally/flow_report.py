"""Report on the time spent by flows per queue, along their critical paths; pure logic.

>>> from siskintally.flow_report import PARTS
>>> PARTS
('advice', 'queue', 'again', 'work', 'slow')
"""

from typing import NamedTuple

from siskintally.tables import format_table

# advice: from the end of the last dependency to the last answer of the advice service before the
# first start. queue: from then to the first start. again: from the first start to the start of the
# run that was done. work: run time up to the estimate. slow: run time beyond the estimate.
PARTS = ("advice", "queue", "again", "work", "slow")
BAR_WIDTH = 40
SLOWEST_SHOWN = 5
_BAR_LETTERS = dict(zip(PARTS, "aqr#s", strict=True))


class TimeBreakdown(NamedTuple):
    """Time of one completed flow; ``parts``: seconds by name, for the steps of its critical path.

    ``estimate_s``: sum of the estimates of those steps.
    """

    flow: str
    queue: str
    total_s: float
    estimate_s: float
    parts: dict


def break_down_flow(flow):
    """Return the :class:`TimeBreakdown` of the first occurrence of a flow.

    Returns None for a flow that was cancelled or has a long-running step, and if the log does not
    contain all of it.

    :param flow: :class:`~siskintally.flow_trace.FlowTrace`.
    """
    if not flow.steps or flow.cancelled or any(step.lasting for step in flow.steps):
        return None
    done = [_last_task(flow, number) for number in range(len(flow.steps))]
    if any(task is None for task in done):
        return None
    parts = dict.fromkeys(PARTS, 0.0)
    estimate_s = 0.0
    last = max(range(len(done)), key=lambda number: done[number].done_at)
    number = last
    while number is not None:
        step = flow.steps[number]
        dependency = max(step.after, key=lambda earlier: done[earlier].done_at, default=None)
        ready_at = flow.accepted_at if dependency is None else done[dependency].done_at
        _add_step(parts, flow, number, done[number], ready_at)
        estimate_s += step.estimate_s
        number = dependency
    total_s = done[last].done_at - flow.accepted_at
    return TimeBreakdown(flow.id, flow.queue, total_s, estimate_s, parts)


def _last_task(flow, number):
    """Return the task of a step that was done last, None if one is not done."""
    names = (f"{flow.id}.0.{number}.{index}" for index in range(flow.steps[number].tasks))
    tasks = [flow.task_by_id.get(name) for name in names]
    if any(task is None or task.done_at is None or not task.starts for task in tasks):
        return None
    return max(tasks, key=lambda task: task.done_at)


def _add_step(parts, flow, number, task, ready_at):
    first, last = task.starts[0], max(at for at in task.starts if at <= task.done_at)
    answers = flow.advice_by_step.get(f"{flow.id}.0.{number}", ())
    advised_at = max((at for at in answers if ready_at <= at <= first), default=ready_at)
    ran_s = task.done_at - last
    work_s = min(ran_s, flow.steps[number].estimate_s)
    parts["advice"] += advised_at - ready_at
    parts["queue"] += max(first - advised_at, 0.0)
    parts["again"] += last - first
    parts["work"] += work_s
    parts["slow"] += ran_s - work_s


def format_report(flows):
    """Return the report as text.

    :param flows: :class:`~siskintally.flow_trace.FlowTrace` objects.
    """
    flows = list(flows)
    breakdowns = [breakdown for breakdown in map(break_down_flow, flows) if breakdown is not None]
    by_queue = {}
    for breakdown in breakdowns:
        by_queue.setdefault(breakdown.queue, []).append(breakdown)
    lines = [f"{len(flows)} flows accepted, {len(breakdowns)} of them completed within these logs"]
    if not breakdowns:
        return lines[0]
    lines += ["", format_table(_rows(by_queue)), ""]
    lines += [f"{name:<16} {_bar(_means(group))}" for name, group in sorted(by_queue.items())]
    legend = ", ".join(f"{letter} {name}" for name, letter in _BAR_LETTERS.items())
    lines += ["", f"share of the mean time: {legend}", "", "slowest against their estimate:"]
    lines += [_describe(breakdown) for breakdown in _slowest(breakdowns)]
    return "\n".join(lines)


def _rows(by_queue):
    yield ("queue", "flows", "mean s", "chain s", *(f"{part} s" for part in PARTS))
    for name, group in sorted(by_queue.items()):
        means = _means(group)
        total = sum(breakdown.total_s for breakdown in group) / len(group)
        estimate = sum(breakdown.estimate_s for breakdown in group) / len(group)
        figures = (f"{value:.3f}" for value in (total, estimate, *means.values()))
        yield (name, len(group), *figures)


def _means(group):
    return {part: sum(breakdown.parts[part] for breakdown in group) / len(group) for part in PARTS}


def _bar(means):
    total = sum(means.values()) or 1.0
    return "".join(
        _BAR_LETTERS[part] * round(BAR_WIDTH * value / total) for part, value in means.items()
    )


def _slowest(breakdowns):
    return sorted(breakdowns, key=lambda breakdown: breakdown.estimate_s - breakdown.total_s)[
        :SLOWEST_SHOWN
    ]


def _describe(breakdown):
    largest = max((part for part in PARTS if part != "work"), key=breakdown.parts.get)
    return (
        f"{breakdown.flow}  {breakdown.queue}  {breakdown.total_s:.2f} s for a chain of "
        f"{breakdown.estimate_s:.2f} s, most for {largest} ({breakdown.parts[largest]:.2f} s)"
    )
