"""Typed access to the fields of the platform's JSON bodies.

>>> from siskintally.platform.fields import Fields
>>> Fields(values={"cpu": 500}).integer("cpu")
500
"""

from json import loads

from siskintally.errors import BadRequestError

MAX_INTEGER = 2**53
MAX_NUMBER = 1_000_000_000


class Fields:
    """Typed access to one JSON object.

    All getters raise :class:`~siskintally.errors.BadRequestError` for a field of another type, a
    value out of range, and a missing field without a default.
    """

    __slots__ = ("_values",)

    def __init__(self, *, values):
        if not isinstance(values, dict):
            raise BadRequestError("body: expected an object")
        self._values = values

    @classmethod
    def parse(cls, body):
        """Parse a request or response body."""
        try:
            return cls(values=loads(body))
        except (ValueError, RecursionError) as error:
            # A ValueError that is no JSONDecodeError stands for a number of thousands of digits.
            raise BadRequestError(f"body: not JSON ({error})") from error

    @classmethod
    def from_row(cls, names, row):
        """Name the values of a list in order; values beyond the names are ignored."""
        if not isinstance(row, list):
            raise BadRequestError("row: expected a list")
        return cls(values=dict(zip(names, row, strict=False)))

    def has(self, name):
        """Return whether a field is present and not null."""
        return self._values.get(name) is not None

    def integer(self, name, default=None, *, maximum=MAX_INTEGER):
        """Return an integer from 0 to ``maximum``; a float without a fraction is converted."""
        value = self._values.get(name, default)
        if isinstance(value, float) and value.is_integer():
            value = int(value)
        if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= maximum:
            raise BadRequestError(f"{name}: expected a whole number from 0 to {maximum}")
        return value

    def number(self, name, default=None):
        """Return an integer or float from 0 to :data:`MAX_NUMBER`."""
        value = self._values.get(name, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 <= value <= MAX_NUMBER:
            raise BadRequestError(f"{name}: expected a number from 0 to {MAX_NUMBER}")
        return value

    def text(self, name, default=None):
        """Return a string."""
        return check_text(name, self._values.get(name, default))

    def boolean(self, name):
        """Return a boolean, false if missing."""
        value = self._values.get(name, False)
        if not isinstance(value, bool):
            raise BadRequestError(f"{name}: expected a boolean")
        return value

    def child(self, name):
        """Return an object as :class:`Fields`, empty if missing."""
        value = self._values.get(name)
        return Fields(values={} if value is None else value)

    def array(self, name):
        """Return a list, empty if missing."""
        value = self._values.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise BadRequestError(f"{name}: expected a list")
        return value

    def children(self, name):
        """Yield the objects of a list as :class:`Fields`."""
        for row in self.array(name):
            yield Fields(values=row)


def check_text(name, value):
    """Return a string; unpaired surrogates are refused, as they cannot be encoded and stored."""
    if not isinstance(value, str):
        raise BadRequestError(f"{name}: expected a string")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise BadRequestError(f"{name}: expected valid Unicode") from error
    return value
