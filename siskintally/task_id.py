"""Ids of the tasks of a flow: ``flow.occurrence.step.index``.

>>> from siskintally.task_id import TaskId
>>> TaskId.parse("5c0e.0.1.17").index
17
>>> TaskId.parse("nonsense") is None
True
"""

from typing import NamedTuple

# Digits of the largest number that a flow can contain; Python refuses to convert 4,301 digits.
MAX_DIGITS = 10


class TaskId(NamedTuple):
    """Parsed task id; ``occurrence`` is 0 for a flow without a schedule."""

    flow: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def parse(cls, text):
        """Return the parsed id, or None if the text is not a task id."""
        parts = text.split(".") if isinstance(text, str) else ()
        if len(parts) != len(cls._fields):
            return None
        if not all(part.isdecimal() and len(part) <= MAX_DIGITS for part in parts[1:]):
            return None
        return cls(parts[0], *map(int, parts[1:]))

    def belongs_to(self, flow):
        """Return whether a flow has this task."""
        return (
            self.flow == flow.id
            and self.occurrence < occurrence_count(flow)
            and self.step < len(flow.steps)
            and self.index < flow.steps[self.step].tasks
        )

    def __str__(self):
        return f"{self.flow}.{self.occurrence}.{self.step}.{self.index}"


def occurrence_count(flow):
    """Return the number of occurrences of a flow, 1 without a schedule."""
    return max(flow.times, 1)


def step_task_ids(flow, occurrence, step):
    """Return the ids of the tasks of one step of one occurrence."""
    return [f"{flow.id}.{occurrence}.{step}.{index}" for index in range(flow.steps[step].tasks)]
