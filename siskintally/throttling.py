"""Throttle of best-effort tasks that protects latency targets of other tasks; pure logic.

>>> from siskintally.throttling import next_percent
>>> next_percent(100, worst=1.2), next_percent(25, worst=0.8), next_percent(25, worst=0.3)
(25, 25, 50)
"""

# When a task exceeds its latency target, best-effort tasks are throttled at once; when the latency
# falls below this share of the target, they get more processor time again. The gap between the two
# prevents oscillation.
RECOVERY_RATIO = 0.6
THROTTLE_DIVISOR = 4
RECOVERY_STEP_PERCENT = 25
MIN_PERCENT = 5


def next_percent(percent, *, worst):
    """Return the new share of the processor, in percent, for best-effort tasks of a worker.

    :param percent: current share, 0 to 100.
    :param worst: largest ratio of tail latency to target among the worker's tasks, 0 for none.
    """
    if worst > 1.0:
        lower = percent // THROTTLE_DIVISOR
        return lower if lower >= MIN_PERCENT else 0
    if worst < RECOVERY_RATIO:
        return min(percent + RECOVERY_STEP_PERCENT, 100)
    return percent


def worst_ratio(tasks):
    """Return the largest ratio of tail latency to latency target, 0 without targets.

    :param tasks: :class:`~siskintally.flow.TaskRun` objects of one worker.
    """
    return max(
        (
            task.tail_latency_ms / task.step.spec.tail_target_ms
            for task in tasks
            if task.step.spec.tail_target_ms
        ),
        default=0.0,
    )
