"""Resource amounts of a task or worker: processor, memory and accelerators.

>>> from siskintally.size import Size
>>> Size(cpu=2000, memory=512).fits_in(Size(cpu=4000, memory=1024))
True
"""

from siskintally.wire_pb2 import Resources

# Returned as the number of tasks that fit when a task needs no resources.
UNLIMITED_COUNT = 1 << 30


class Size:
    """Immutable resource amounts of a task or a worker.

    :param cpu: thousandths of a core.
    :param memory: megabytes.
    :param accelerators: whole devices.
    """

    __slots__ = ("accelerators", "cpu", "memory")

    def __init__(self, *, cpu=0, memory=0, accelerators=0):
        self.cpu = cpu
        self.memory = memory
        self.accelerators = accelerators

    @classmethod
    def from_message(cls, resources):
        """Create a size from the wire message ``Resources``."""
        return cls(
            cpu=resources.cpu_milli,
            memory=resources.memory_mb,
            accelerators=resources.accelerators,
        )

    def to_message(self):
        """Return the size as the wire message ``Resources``."""
        return Resources(cpu_milli=self.cpu, memory_mb=self.memory, accelerators=self.accelerators)

    def fits_in(self, other):
        """Return whether no amount is larger than in ``other``."""
        return (
            self.cpu <= other.cpu
            and self.memory <= other.memory
            and self.accelerators <= other.accelerators
        )

    def scaled(self, factor):
        """Return this size multiplied by a whole number."""
        return Size(
            cpu=self.cpu * factor,
            memory=self.memory * factor,
            accelerators=self.accelerators * factor,
        )

    def max_count_in(self, available):
        """Return how many times this size fits into ``available``."""
        counts = []
        for part, whole in zip(self.as_tuple(), available.as_tuple(), strict=True):
            if part > 0:
                counts.append(max(whole, 0) // part)
        return min(counts) if counts else UNLIMITED_COUNT

    def as_tuple(self):
        """Return the amounts as a hashable, comparable tuple."""
        return (self.cpu, self.memory, self.accelerators)

    def __add__(self, other):
        return Size(
            cpu=self.cpu + other.cpu,
            memory=self.memory + other.memory,
            accelerators=self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        return Size(
            cpu=self.cpu - other.cpu,
            memory=self.memory - other.memory,
            accelerators=self.accelerators - other.accelerators,
        )

    def __eq__(self, other):
        return isinstance(other, Size) and self.as_tuple() == other.as_tuple()

    def __hash__(self):
        return hash(self.as_tuple())

    def __repr__(self):
        return f"Size(cpu={self.cpu}, memory={self.memory}, accelerators={self.accelerators})"


NO_RESOURCES = Size()
