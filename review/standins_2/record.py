"""Record of a case: what was sent, answered and run, with the time since its start."""

from time import monotonic


class Record:
    """Lines of a record file.

    :param path: path of the file, which is written anew.
    """

    def __init__(self, *, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._started_at = monotonic()

    def now(self):
        """Return the seconds since the record began."""
        return monotonic() - self._started_at

    def write(self, text):
        """Add a line."""
        line = f"{self.now():8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()
