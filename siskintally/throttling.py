"""Pace of filling tasks, so that the tasks that serve beside them keep their latency target; pure.

>>> from siskintally.throttling import next_percent
>>> next_percent(100, worst=1.2), next_percent(25, worst=0.8), next_percent(25, worst=0.3)
(25, 25, 50)
"""

# Above its target a serving task is relieved at once; below this part of it the filling tasks get
# more again. The band between keeps the pace from swinging.
RELIEF_SHARE = 0.6
THROTTLE_DIVISOR = 4
SPEEDUP_PERCENT = 25
LEAST_PERCENT = 5


def next_percent(percent, *, worst):
    """Return the share of the processor that filling tasks of a worker may use from now on.

    :param percent: present share, 0 to 100.
    :param worst: largest ratio of tail latency to target among the serving tasks, 0 for none.
    """
    if worst > 1.0:
        lower = percent // THROTTLE_DIVISOR
        return lower if lower >= LEAST_PERCENT else 0
    if worst < RELIEF_SHARE:
        return min(percent + SPEEDUP_PERCENT, 100)
    return percent


def worst_ratio(tasks):
    """Return the largest ratio of tail latency to target among tasks.

    :param tasks: :class:`~siskintally.flow.TaskRun` objects of one worker.
    """
    return max(
        (
            task.tail_ms / task.step.spec.tail_target_ms
            for task in tasks
            if task.step.spec.tail_target_ms
        ),
        default=0.0,
    )
