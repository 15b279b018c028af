r"""Long poll of the configuration in force from the leader of the own domain group.

>>> from siskintally.config_follower import read_limits
>>> read_limits("[presets.peak]\nretry_ratio = 0.05", "peak").retry_ratio
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
WAIT_S = 2.0
ATTEMPT_TIMEOUT_S = 3.0
TIMEOUT_S = 10.0
PAUSE_S = 0.2

log = get_logger("config-follower")


class ConfigFollower:
    """Follows the configuration and the drained endpoints of the own domain group.

    :param client: :class:`~siskintally.leader_client.LeaderClient` of that group.
    :param changed: called with the new :class:`~siskintally.limits.EntryLimits`.
    :param drained: called with the names of the endpoints that must get no new work.
    """

    __slots__ = ("_changed", "_client", "_drained", "_known_drained", "preset", "version")

    def __init__(self, *, client, changed, drained):
        self._client = client
        self._changed = changed
        self._drained = drained
        self._known_drained = []
        self.version = 0
        self.preset = ""

    async def run(self):
        """Poll until cancelled."""
        while True:
            body = ConfigWatch(
                known_version=self.version,
                wait_s=WAIT_S,
                known_drained=self._known_drained,
                group=self._client.group,
            )
            try:
                state = await self._client.call(
                    body, timeout=TIMEOUT_S, attempt_timeout=ATTEMPT_TIMEOUT_S, idempotent=True
                )
            except SiskintallyError as error:
                log.info("configuration poll failed", error=str(error))
                await sleep(PAUSE_S)
                continue
            if not self.take(state):
                # Prevents a busy loop with a store that answers at once without a change.
                await sleep(PAUSE_S)

    def take(self, state):
        """Apply a configuration if it is newer, and a changed set of drained endpoints.

        :returns: whether anything changed.
        """
        drained = list(state.drained)
        is_drain_news = drained != self._known_drained and state.version >= self.version
        if is_drain_news:
            self._known_drained = drained
            self._drained(frozenset(drained))
            log.info("endpoints drained", names=drained)
        if state.version <= self.version:
            return is_drain_news
        try:
            limits = read_limits(state.document, state.preset)
        except BadSettingsError as error:
            log.error("configuration rejected", version=state.version, error=str(error))
            return False
        self.version = state.version
        self.preset = state.preset
        log.info("configuration in force", version=state.version, preset=state.preset)
        self._changed(limits)
        return True


def read_limits(document, preset):
    """Return the entry limits of a preset in a configuration document.

    :param document: TOML.
    :raises BadSettingsError: the document or the preset is not valid.
    """
    return EntryLimits.of(parse_config(document).preset(preset))
