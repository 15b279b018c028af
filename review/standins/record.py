"""The record of a case: what was sent, answered and run, with the time since its start."""

import time


class Record:
    """Lines of ``record.txt``; ``events`` holds the same as tuples."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._start = time.monotonic()
        self.events = []

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._start

    def add(self, actor, event, **fields):
        """Write one line and return its time."""
        at = self.now()
        self.events.append((at, actor, event, fields))
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:9.3f} {actor:<14} {event} {details}\n")
        self._file.flush()
        return at
