"""Presets: named sets of limits, exactly one of which is active in the cell.

>>> from siskintally.preset import default_preset
>>> default_preset("peak").queue_limit_urgent
400
"""

from siskintally.errors import BadSettingsError

PRESET_NAMES = ("ordinary", "peak", "maintenance")
CLASS_NAMES = ("urgent", "normal", "deferrable")


class Limit:
    """Type, range, unit and default values of one key of a preset.

    :param kind: ``int``, ``float``, or ``bool``.
    :param unit: unit for documentation.
    :param defaults: values for the ordinary, peak and maintenance presets.
    :param low: smallest value; unused for ``bool``.
    :param high: largest value; unused for ``bool``.
    """

    __slots__ = ("defaults", "high", "kind", "low", "name", "unit")

    def __init__(self, *, name, kind, unit, defaults, low=None, high=None):
        self.name = name
        self.kind = kind
        self.low = low
        self.high = high
        self.unit = unit
        self.defaults = defaults

    def check(self, value, *, key):
        """Return the value, converted to the type of the key.

        :param key: full name of the key, for the error message.
        :raises BadSettingsError: wrong type or out of range.
        """
        if self.kind is bool:
            if not isinstance(value, bool):
                raise BadSettingsError(f"{key} = {value!r}: expected true or false")
            return value
        return check_number(value, key=key, kind=self.kind, low=self.low, high=self.high)


def check_number(value, *, key, kind, low, high):
    """Check the type and range of a number and return it as ``kind``.

    >>> check_number(3, key="n", kind=int, low=1, high=5)
    3

    :raises BadSettingsError: wrong type or out of range; NaN is out of every range.
    """
    expected = "an integer" if kind is int else "a number"
    types = (int,) if kind is int else (int, float)
    right_type = isinstance(value, types) and not isinstance(value, bool)
    if not right_type or not low <= value <= high:
        raise BadSettingsError(f"{key} = {value!r}: expected {expected} from {low} to {high}")
    return kind(value)


# The peak preset sheds load earlier and gives deferrable work half the share, because latency
# matters most at peak. The limits of urgent work are the same in all presets, because it must start
# within 6.1 s under each of them.
LIMITS = (
    Limit(
        name="queue_limit_urgent",
        kind=int,
        unit="requests",
        low=0,
        high=100_000,
        defaults=(400, 400, 400),
    ),
    Limit(
        name="queue_limit_normal",
        kind=int,
        unit="requests",
        low=0,
        high=100_000,
        defaults=(800, 600, 400),
    ),
    Limit(
        name="queue_limit_deferrable",
        kind=int,
        unit="requests",
        low=0,
        high=100_000,
        defaults=(1600, 800, 400),
    ),
    Limit(
        name="deadline_ms_urgent",
        kind=int,
        unit="ms",
        low=10,
        high=3_600_000,
        defaults=(2000, 2000, 2000),
    ),
    Limit(
        name="deadline_ms_normal",
        kind=int,
        unit="ms",
        low=10,
        high=3_600_000,
        defaults=(10_000, 8000, 10_000),
    ),
    Limit(
        name="deadline_ms_deferrable",
        kind=int,
        unit="ms",
        low=10,
        high=3_600_000,
        defaults=(60_000, 60_000, 120_000),
    ),
    Limit(
        name="retry_ratio",
        kind=float,
        unit="retries per first send",
        low=0,
        high=1,
        defaults=(0.1, 0.1, 0.1),
    ),
    Limit(
        name="deferrable_share",
        kind=float,
        unit="share of dispatches",
        low=0,
        high=0.5,
        defaults=(0.1, 0.05, 0.1),
    ),
    # A lease must last longer than an election; otherwise the loss of one store stops the tasks of
    # its workers.
    Limit(name="lease_s", kind=float, unit="s", low=10, high=600, defaults=(30.0, 30.0, 30.0)),
    Limit(name="preempt", kind=bool, unit="", defaults=(True, True, True)),
    Limit(name="place_deferrable", kind=bool, unit="", defaults=(True, True, False)),
)
LIMIT_BY_NAME = {limit.name: limit for limit in LIMITS}


class Preset:
    """The limits of one preset, with one attribute for each entry of ``LIMITS``.

    :param queue_limit_urgent: longest queue, in requests; likewise for normal and deferrable.
    :param deadline_ms_urgent: default deadline of requests, ms; likewise for the other classes.
    :param retry_ratio: allowed retries per first send.
    :param deferrable_share: share of dispatches guaranteed to deferrable requests.
    :param lease_s: length of a worker lease, s.
    :param preempt: whether urgent work may stop deferrable batch tasks.
    :param place_deferrable: whether deferrable tasks are placed; those whose latest start is near
        are placed in any case.
    """

    __slots__ = ("name", *LIMIT_BY_NAME)

    def __init__(self, *, name, **values):
        self.name = name
        for limit in LIMITS:
            setattr(self, limit.name, values[limit.name])

    def queue_limit(self, class_name):
        """Return the queue limit of a class, in requests."""
        return getattr(self, f"queue_limit_{class_name}")

    def deadline_ms(self, class_name):
        """Return the default deadline of a class, in ms."""
        return getattr(self, f"deadline_ms_{class_name}")


def default_preset(name):
    """Return the preset of a name with all keys at their defaults."""
    index = PRESET_NAMES.index(name)
    return Preset(name=name, **{limit.name: limit.defaults[index] for limit in LIMITS})


def parse_preset(name, table):
    """Parse and check the table of one preset; absent keys have their defaults.

    :raises BadSettingsError: unknown key, wrong type or value out of range.
    """
    key = f"presets.{name}"
    if not isinstance(table, dict):
        raise BadSettingsError(f"{key} = {table!r}: expected a table [{key}]")
    preset = default_preset(name)
    for item, value in table.items():
        if item not in LIMIT_BY_NAME:
            known = ", ".join(LIMIT_BY_NAME)
            raise BadSettingsError(
                f"{key}.{item} = {value!r}: unknown key, expected one of {known}"
            )
        setattr(preset, item, LIMIT_BY_NAME[item].check(value, key=f"{key}.{item}"))
    return preset
