"""Names of the tasks of a flow: ``flow.occurrence.step.index``.

>>> from siskintally.task_id import TaskId
>>> TaskId.parse("5c0e.0.1.17").index
17
>>> TaskId.parse("nonsense") is None
True
"""

from typing import NamedTuple


class TaskId(NamedTuple):
    """A task; ``occurrence`` is 0 for a flow without a schedule."""

    flow: str
    occurrence: int
    step: int
    index: int

    @classmethod
    def parse(cls, text):
        """Read a name; None if it is not the name of a task."""
        parts = text.split(".") if isinstance(text, str) else ()
        if len(parts) != len(cls._fields) or not all(part.isdecimal() for part in parts[1:]):
            return None
        return cls(parts[0], *map(int, parts[1:]))

    def is_of(self, flow):
        """Tell whether a flow has this task."""
        return (
            self.flow == flow.id
            and self.occurrence < occurrences(flow)
            and self.step < len(flow.steps)
            and self.index < flow.steps[self.step].tasks
        )

    def __str__(self):
        return f"{self.flow}.{self.occurrence}.{self.step}.{self.index}"


def occurrences(flow):
    """Return how often the steps of a flow run."""
    return max(flow.times, 1)


def step_tasks(flow, occurrence, step):
    """Return the names of the tasks of one step of one occurrence."""
    return [f"{flow.id}.{occurrence}.{step}.{index}" for index in range(flow.steps[step].tasks)]
