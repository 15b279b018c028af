r"""Configuration document of the cell: parses and checks its presets and team quotas.

>>> from siskintally.config import parse_config
>>> config = parse_config("[teams.buses]\ncpu_milli = 8000\nmemory_mb = 16384")
>>> config.quota_by_team["buses"].cpu_milli, config.preset("ordinary").lease_s
(8000, 30.0)
"""

from tomllib import TOMLDecodeError, loads

from siskintally.errors import BadSettingsError
from siskintally.preset import PRESET_NAMES, check_number, parse_preset

MAX_DOCUMENT_BYTES = 256 * 1024
MAX_TEAMS = 1000
MAX_TEAM_NAME_LENGTH = 63
MAX_CPU_MILLI = 1_000_000_000
MAX_MEMORY_MB = 1_000_000_000_000
MAX_ACCELERATORS = 1_000_000

# All presets at their defaults and one team; a document for operators to start from.
DEFAULT_DOCUMENT = """\
[presets.ordinary]

[presets.peak]

[presets.maintenance]

[teams.default]
cpu_milli = 64000
memory_mb = 131072
accelerators = 0
"""

_MAX_QUOTA_BY_KEY = {
    "cpu_milli": MAX_CPU_MILLI,
    "memory_mb": MAX_MEMORY_MB,
    "accelerators": MAX_ACCELERATORS,
}


class Quota:
    """Maximum resources that the admitted jobs of a team may use together.

    :param cpu_milli: thousandths of a core.
    :param memory_mb: MB.
    :param accelerators: count.
    """

    __slots__ = ("accelerators", "cpu_milli", "memory_mb")

    def __init__(self, *, cpu_milli, memory_mb, accelerators):
        self.cpu_milli = cpu_milli
        self.memory_mb = memory_mb
        self.accelerators = accelerators


class Config:
    """A parsed and checked configuration document.

    :param preset_by_name: ``{name: Preset}`` of the three presets.
    :param quota_by_team: ``{team: Quota}``; the jobs of a team without a quota are refused.
    """

    __slots__ = ("preset_by_name", "quota_by_team")

    def __init__(self, *, preset_by_name, quota_by_team):
        self.preset_by_name = preset_by_name
        self.quota_by_team = quota_by_team

    def preset(self, name):
        """Return a preset by name.

        :raises BadSettingsError: the name is unknown.
        """
        check_preset_name(name)
        return self.preset_by_name[name]


def check_preset_name(name):
    """Check the name of a preset.

    :raises BadSettingsError: the name is unknown.
    """
    if name not in PRESET_NAMES:
        raise BadSettingsError(f"preset = {name!r}: expected one of {', '.join(PRESET_NAMES)}")


def parse_config(text):
    """Parse and check a configuration document.

    :param text: TOML.
    :returns: :class:`Config`.
    :raises BadSettingsError: names the key, its value and the allowed range; no part of the
        document may be used.
    """
    size = len(text.encode("utf-8", "surrogatepass"))
    if size > MAX_DOCUMENT_BYTES:
        raise BadSettingsError(f"document of {size} bytes: expected at most {MAX_DOCUMENT_BYTES}")
    try:
        document = loads(text)
    except (TOMLDecodeError, RecursionError, ValueError) as error:
        raise BadSettingsError(f"document is not TOML: {error}") from error
    for key in document:
        if key not in ("presets", "teams"):
            raise BadSettingsError(f"{key}: unknown key, expected one of presets, teams")
    presets = _table(document, "presets")
    for name in presets:
        if name not in PRESET_NAMES:
            expected = ", ".join(PRESET_NAMES)
            raise BadSettingsError(f"presets.{name}: unknown key, expected one of {expected}")
    teams = _table(document, "teams")
    if len(teams) > MAX_TEAMS:
        raise BadSettingsError(f"teams: {len(teams)} entries, expected at most {MAX_TEAMS}")
    return Config(
        preset_by_name={name: parse_preset(name, presets.get(name, {})) for name in PRESET_NAMES},
        quota_by_team={name: _parse_quota(name, table) for name, table in teams.items()},
    )


def _table(document, key):
    table = document.get(key, {})
    if not isinstance(table, dict):
        raise BadSettingsError(f"{key} = {table!r}: expected tables [{key}.<name>]")
    return table


def _parse_quota(team, table):
    key = f"teams.{team}"
    if not 1 <= len(team) <= MAX_TEAM_NAME_LENGTH:
        raise BadSettingsError(f"{key}: expected a name of 1 to {MAX_TEAM_NAME_LENGTH} characters")
    if not isinstance(table, dict):
        raise BadSettingsError(f"{key} = {table!r}: expected a table [{key}]")
    for item in table:
        if item not in _MAX_QUOTA_BY_KEY:
            known = ", ".join(_MAX_QUOTA_BY_KEY)
            raise BadSettingsError(
                f"{key}.{item} = {table[item]!r}: unknown key, expected one of {known}"
            )
    for item in ("cpu_milli", "memory_mb"):
        if item not in table:
            raise BadSettingsError(
                f"{key}.{item}: missing, expected an integer from 0 to {_MAX_QUOTA_BY_KEY[item]}"
            )
    values = {
        item: check_number(table.get(item, 0), key=f"{key}.{item}", kind=int, low=0, high=high)
        for item, high in _MAX_QUOTA_BY_KEY.items()
    }
    return Quota(**values)
