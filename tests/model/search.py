"""Explicit-state breadth-first search over a specification."""

from abc import ABC, abstractmethod
from time import monotonic


class Spec(ABC):
    """A transition system whose states are hashable values in canonical form.

    :param name: name on the command line.
    :param bounds: text that states within which bounds the search is exhaustive.
    """

    __slots__ = ("bounds", "name")

    def __init__(self, *, name, bounds):
        self.name = name
        self.bounds = bounds

    @abstractmethod
    def initial(self):
        """Return the initial states."""

    @abstractmethod
    def steps(self, state):
        """Yield (label, next state) for every enabled step."""

    @abstractmethod
    def violation(self, state):
        """Return what is wrong with a state, or an empty text."""


class Result:
    """Outcome of a search.

    :param complete: whether every state within the bounds was visited.
    :param trace: labels of a shortest path to ``violation``.
    """

    __slots__ = ("complete", "depth", "seconds", "states", "steps", "trace", "violation")

    def __init__(self, *, states, steps, depth, seconds, complete, violation="", trace=()):
        self.states = states
        self.steps = steps
        self.depth = depth
        self.seconds = seconds
        self.complete = complete
        self.violation = violation
        self.trace = trace

    def __str__(self):
        end = "complete" if self.complete else "incomplete"
        if self.violation:
            end = f"violation after {len(self.trace)} steps: {self.violation}"
        return (
            f"{self.states} states, {self.steps} steps, depth {self.depth}, "
            f"{self.seconds:.1f} s, {end}"
        )


def search(spec, *, max_states=None):
    """Visit the states of a specification in order of their distance from an initial state.

    The search ends at the first violation.

    :param max_states: stop after this many states; the result is then incomplete.
    """
    started = monotonic()
    origin_by_state = dict.fromkeys(spec.initial())
    level, depth, steps = list(origin_by_state), 0, 0

    def result(state=None, *, complete=False):
        trace, violation = [], spec.violation(state) if state is not None else ""
        while state is not None and origin_by_state[state] is not None:
            state, label = origin_by_state[state]
            trace.append(label)
        return Result(
            states=len(origin_by_state),
            steps=steps,
            depth=depth,
            seconds=monotonic() - started,
            complete=complete,
            violation=violation,
            trace=trace[::-1],
        )

    for state in level:
        if spec.violation(state):
            return result(state)
    while level:
        depth += 1
        following = []
        for state in level:
            for label, successor in spec.steps(state):
                steps += 1
                if successor in origin_by_state:
                    continue
                origin_by_state[successor] = (state, label)
                if spec.violation(successor):
                    return result(successor)
                following.append(successor)
            if max_states is not None and len(origin_by_state) >= max_states:
                return result()
        level = following
    depth -= 1
    return result(complete=True)


class Table:
    """Numbers for hashable values, so that states are small and quick to compare."""

    __slots__ = ("_number_by_key", "_values")

    def __init__(self):
        self._number_by_key = {}
        self._values = []

    def __getitem__(self, number):
        return self._values[number]

    def put(self, key, value):
        """Return the number of a key; a new key gets the next number and stores ``value``."""
        number = self._number_by_key.setdefault(key, len(self._values))
        if number == len(self._values):
            self._values.append(value)
        return number
