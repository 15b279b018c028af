"""Configuration document: every error names key, value, and range."""

import pytest

from siskintally.config import DEFAULT_DOCUMENT, parse_config
from siskintally.errors import BadSettingsError
from siskintally.preset import LIMITS

TEAM = "[teams.a]\ncpu_milli = 1\nmemory_mb = 1\n"


def test_default_document_is_valid():
    """Guards against a first configuration that the cell itself refuses."""
    config = parse_config(DEFAULT_DOCUMENT)
    assert config.preset("maintenance").place_deferrable is False
    assert config.quota_by_team["default"].cpu_milli == 64000


@pytest.mark.parametrize(
    ("document", "named"),
    [
        ("[presets.ordinary]\nlease_s = 9", ("presets.ordinary.lease_s", "9", "10 to 600")),
        ("[presets.peak]\nretry_ratio = nan", ("presets.peak.retry_ratio", "nan", "0 to 1")),
        ("[presets.peak]\npreempt = 1", ("presets.peak.preempt", "1", "true or false")),
        ("[presets.peak]\nqueue_limit_urgent = true", ("queue_limit_urgent", "True", "integer")),
        ("[presets.peak]\ndeadline_ms_normal = 1.5", ("deadline_ms_normal", "1.5", "integer")),
        ("[presets.rush]\n", ("presets.rush", "maintenance")),
        ("[presets.peak]\nqueue_limt = 1", ("presets.peak.queue_limt", "queue_limit_urgent")),
        ("presets = 3", ("presets = 3", "presets.<name>")),
        ("[teams.a]\ncpu_milli = 1", ("teams.a.memory_mb", "missing")),
        (TEAM + "disk = 1", ("teams.a.disk", "accelerators")),
        (TEAM + "accelerators = -1", ("teams.a.accelerators", "-1", "0 to 1000000")),
        ("teams.a = 5", ("teams.a", "5")),
        ("extra = 1", ("extra", "presets, teams")),
        ("[presets", ("not TOML",)),
        ("a = " + "[" * 5000, ("not TOML",)),
        ("#" * 300_000, ("300000", "262144")),
    ],
)
def test_errors_name_key_value_and_range(document, named):
    """Guards against a document that is accepted in part or refused without a usable message."""
    with pytest.raises(BadSettingsError) as caught:
        parse_config(document)
    for part in named:
        assert part in str(caught.value)


def test_defaults_are_within_their_ranges():
    """Guards against a default that an operator could not write into a document."""
    for limit in LIMITS:
        for value in limit.defaults:
            assert limit.check(value, key=limit.name) == value
