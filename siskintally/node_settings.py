"""Settings of a control plane process, which finds the other processes by seeds (TOML).

>>> from siskintally.node_settings import parse_node_settings
>>> text = '''
... name = "s1"
... ip = "10.0.0.1"
... domain = "a"
... link_port = 7000
... seeds = ["10.0.0.1:80"]
... '''
>>> parse_node_settings(text).link_address
'10.0.0.1:7000'
"""

from pathlib import Path
from tomllib import TOMLDecodeError, loads

from siskintally.errors import BadSettingsError

MAX_PORT = 65535
_REQUIRED = object()
# Key: (type, default or _REQUIRED, minimum, maximum).
_KEYS = {
    "name": (str, _REQUIRED, None, None),
    "ip": (str, _REQUIRED, None, None),
    "domain": (str, _REQUIRED, None, None),
    "region": (str, "", None, None),
    "link_port": (int, _REQUIRED, 1, MAX_PORT),
    "seeds": (list, _REQUIRED, None, None),
    "founding": (bool, False, None, None),
    "callers": (str, "", None, None),
    "ready": (str, "", None, None),
    "control": (str, "", None, None),
    "metrics_port": (int, 0, 0, MAX_PORT),
    "data": (str, "", None, None),
    "advice": (str, "", None, None),
    "tolerated": (int, 1, 0, 8),
    "secret": (str, "control-plane-links", None, None),
    "lease_max_ms": (int, 6000, 500, 600_000),
    "thaw_ms": (int, 300, 0, 60_000),
    "contact_ms": (int, 3000, 500, 600_000),
    "grace_s": ((int, float), 6, 1, 600),
    "fresh_ms": (int, 1500, 100, 60_000),
    "status_s": ((int, float), 120, 1, 86_400),
}


class NodeSettings:
    """Settings of one process.

    ``seeds``: control addresses of some stores, of which only the IP addresses are used.
    ``founding``: whether this is the first start of the cell, which bootstraps the group.
    ``callers``, ``ready``, ``control``: addresses to listen on, empty for none. ``tolerated``:
    stores that may be lost at the same time.
    """

    __slots__ = tuple(_KEYS)

    def __init__(self, **values):
        for name in _KEYS:
            setattr(self, name, values[name])

    @property
    def link_address(self):
        """Address on which the process accepts links."""
        return f"{self.ip}:{self.link_port}"

    @property
    def metrics_address(self):
        """Address on which the process serves metrics, empty for none."""
        return f"{self.ip}:{self.metrics_port}" if self.metrics_port else ""

    def seed_link_addresses(self):
        """Return the link addresses of the seeds; all processes use the same link port."""
        return [f"{seed.rpartition(':')[0]}:{self.link_port}" for seed in self.seeds]


def load_node_settings(path):
    """Read and check a settings file.

    :raises BadSettingsError: the file is missing or a value is out of range.
    """
    try:
        return parse_node_settings(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise BadSettingsError(f"--settings = {str(path)!r}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise BadSettingsError(f"--settings = {str(path)!r}: not UTF-8 text") from error


def parse_node_settings(text):
    """Parse and check settings given as TOML text.

    :raises BadSettingsError: names the key, the value, and the allowed values.
    """
    try:
        document = loads(text)
    except TOMLDecodeError as error:
        raise BadSettingsError(f"settings are not valid TOML: {error}") from error
    for key in document:
        if key not in _KEYS:
            raise BadSettingsError(f"{key}: unknown key, expected one of {', '.join(_KEYS)}")
    return NodeSettings(**{key: _checked_value(document, key) for key in _KEYS})


def _is_address(value):
    return isinstance(value, str) and bool(value.rpartition(":")[0])


def _checked_value(document, key):
    kind, default, minimum, maximum = _KEYS[key]
    value = document.get(key, default)
    if value is _REQUIRED:
        raise BadSettingsError(f"{key}: missing")
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise BadSettingsError(f"{key} = {value!r}: expected a value of type {kind}")
    if kind is list and not all(map(_is_address, value)):
        raise BadSettingsError(f"{key} = {value!r}: expected a list of addresses, host:port")
    if minimum is not None and not minimum <= value <= maximum:
        raise BadSettingsError(f"{key} = {value!r}: expected {minimum} to {maximum}")
    return value
