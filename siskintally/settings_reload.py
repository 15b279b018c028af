"""Reload of the settings of a running process; settings that cannot be used change nothing.

>>> from siskintally.counters import Counters
>>> from siskintally.settings_reload import SettingsReload
>>> applied = []
>>> SettingsReload(load=lambda: "new", apply=applied.append, counters=Counters())()
>>> applied
['new']
"""

from siskintally.codes import Code
from siskintally.errors import SiskintallyError
from siskintally.log import get_logger

log = get_logger("settings-reload")

MAX_ERROR_CHARACTERS = 200


class SettingsReload:
    """Loads the settings again when it is called, and applies them if they can be used.

    :param load: function that returns the settings, or raises an error.
    :param apply: function that is called with the settings.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = ("_apply", "_counters", "_load")

    def __init__(self, *, load, apply, counters):
        self._load = load
        self._apply = apply
        self._counters = counters

    def __call__(self):
        """Reload once; an error leaves the settings in force and is logged and counted."""
        outcome = "failed"
        try:
            self._apply(self._load())
            outcome = "done"
        except SiskintallyError as error:
            text = str(error)[:MAX_ERROR_CHARACTERS]
            log.warning("settings not reloaded", code=int(error.code), error=text)
        except Exception:
            log.exception("settings not reloaded", code=int(Code.INTERNAL))
        self._counters.reloads.labels(outcome).inc()
