"""Text form of a step in the log line of an accepted flow: written and parsed here.

>>> from siskintally.control_pb2 import FlowStep
>>> from siskintally.step_text import describe_step, parse_step
>>> text = describe_step(FlowStep(tasks=6, cpu_milli=500, memory_mb=64, estimate_ms=640, after=[0]))
>>> text
'6 x 500m 64MB 640ms after=[0]'
>>> parse_step(text)
StepSummary(tasks=6, estimate_s=0.64, after=(0,), lasting=False)
"""

from re import compile as compile_pattern
from typing import NamedTuple

from siskintally.errors import BadRequestError

FLAG_FIELDS = ("gang", "one_rack", "speculative", "lasting", "filling", "checkpointable")
VALUE_FIELDS = ("accelerators", "label", "data_rack", "max_per_worker", "after")
_STEP_PATTERN = compile_pattern(r"(\d+) x \d+m \d+MB (\d+)ms")
_AFTER_PATTERN = compile_pattern(r"after=\[([\d, ]*)\]")


class StepSummary(NamedTuple):
    """Parsed text of a step; ``after``: numbers of the steps that it depends on."""

    tasks: int
    estimate_s: float
    after: tuple
    lasting: bool


def describe_step(step):
    """Return the text of a :class:`~siskintally.control_pb2.FlowStep`."""
    text = f"{step.tasks} x {step.cpu_milli}m {step.memory_mb}MB {step.estimate_ms}ms"
    words = [flag for flag in FLAG_FIELDS if getattr(step, flag)]
    words += [f"{name}={getattr(step, name)}" for name in VALUE_FIELDS if getattr(step, name)]
    return " ".join([text, *words])


def parse_step(text):
    """Parse the text of a step.

    :raises BadRequestError: the text does not describe a step.
    """
    summary, after = _STEP_PATTERN.match(text), _AFTER_PATTERN.search(text)
    if summary is None:
        raise BadRequestError(f"{text[:80]!r}: expected the text of a step")
    numbers = after[1].split(",") if after else ()
    return StepSummary(
        tasks=int(summary[1]),
        estimate_s=int(summary[2]) / 1000,
        after=tuple(int(number) for number in numbers),
        lasting="lasting" in text.split(),
    )
