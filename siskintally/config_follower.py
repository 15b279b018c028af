r"""Long poll of the configuration in force from the leader of the own domain group.

>>> from siskintally.config_follower import parse_limits
>>> parse_limits("[presets.peak]\nretry_ratio = 0.05", "peak").retry_ratio
0.05
"""

from anyio import sleep

from siskintally.config import parse_config
from siskintally.errors import BadSettingsError, SiskintallyError
from siskintally.limits import EntryLimits
from siskintally.log import get_logger
from siskintally.wire_pb2 import ConfigWatch

# Length of a long poll. A change is sent at once, so the length only limits how long a dead
# connection goes unnoticed.
LONG_POLL_S = 2.0
ATTEMPT_TIMEOUT_S = 3.0
CALL_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2

log = get_logger("config-follower")


class ConfigFollower:
    """Follows the configuration and the drained endpoints of the own domain group.

    :param client: :class:`~siskintally.leader_client.LeaderClient` of that group.
    :param on_limits: called with the new :class:`~siskintally.limits.EntryLimits`.
    :param on_drained: called with the names of the endpoints that must get no new work.
    """

    __slots__ = ("_client", "_known_drained", "_on_drained", "_on_limits", "preset", "version")

    def __init__(self, *, client, on_limits, on_drained):
        self._client = client
        self._on_limits = on_limits
        self._on_drained = on_drained
        self._known_drained = []
        self.version = 0
        self.preset = ""

    async def run(self):
        """Poll until cancelled."""
        while True:
            poll = ConfigWatch(
                known_version=self.version,
                wait_s=LONG_POLL_S,
                known_drained=self._known_drained,
                group=self._client.group,
            )
            try:
                state = await self._client.call(
                    poll, timeout=CALL_TIMEOUT_S, attempt_timeout=ATTEMPT_TIMEOUT_S, idempotent=True
                )
            except SiskintallyError as error:
                log.info("configuration poll failed", error=str(error))
                await sleep(RETRY_DELAY_S)
                continue
            if not self.apply(state):
                # Prevents a busy loop with a store that answers at once without a change.
                await sleep(RETRY_DELAY_S)

    def apply(self, state):
        """Apply a configuration if it is newer, and a changed set of drained endpoints.

        :returns: whether anything changed.
        """
        drained = list(state.drained)
        drained_changed = drained != self._known_drained and state.version >= self.version
        if drained_changed:
            self._known_drained = drained
            self._on_drained(frozenset(drained))
            log.info("endpoints drained", names=drained)
        if state.version <= self.version:
            return drained_changed
        try:
            limits = parse_limits(state.document, state.preset)
        except BadSettingsError as error:
            log.error("configuration rejected", version=state.version, error=str(error))
            return False
        self.version = state.version
        self.preset = state.preset
        log.info("configuration in force", version=state.version, preset=state.preset)
        self._on_limits(limits)
        return True


def parse_limits(document, preset):
    """Return the entry limits of a preset in a configuration document.

    :param document: TOML.
    :raises BadSettingsError: the document or the preset is not valid.
    """
    return EntryLimits.from_preset(parse_config(document).preset(preset))
