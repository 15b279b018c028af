"""Shared parts of the platform commands: settings, logs, and HTTP servers.

>>> from siskintally.platform.process import SETTINGS_VARIABLE
>>> SETTINGS_VARIABLE
'SISKINTALLY_SETTINGS'
"""

from functools import partial
from os import environ

from absl.flags import DEFINE_string
from anyio import create_task_group

from siskintally.daemon import serve_until_signal
from siskintally.errors import BadSettingsError
from siskintally.http_server import serve_http
from siskintally.log import configure_logging, get_logger
from siskintally.node_settings import load_node_settings
from siskintally.settings_reload import SettingsReload

SETTINGS_VARIABLE = "SISKINTALLY_SETTINGS"

log = get_logger("platform")


def define_flags(values):
    """Add the flags of a platform command."""
    DEFINE_string("settings", None, "settings of this process (TOML)", flag_values=values)


def load_settings(values, role):
    """Load the settings and set up logs; return the path and the settings.

    :raises BadSettingsError: the settings are missing or out of range.
    """
    path = values.settings or environ.get(SETTINGS_VARIABLE)
    if not path:
        raise BadSettingsError(f"--settings: missing, and {SETTINGS_VARIABLE} is not set")
    settings = load_node_settings(path)
    configure_logging(process=settings.name, to_stdout=True)
    log.info(
        "start",
        role=role,
        seeds=settings.seeds,
        domain=settings.domain,
        founding=settings.founding,
    )
    return path, settings


def run_node(node, apps, path, counters):
    """Run a node and its HTTP servers until SIGTERM or SIGINT; SIGHUP reloads the seeds.

    :param node: :class:`~siskintally.control_node.ControlNode` or
        :class:`~siskintally.entry_node.EntryNode`.
    :param apps: pairs of an app and its listen address; an app with an empty one is not served.
    :param counters: :class:`~siskintally.counters.Counters`.
    """
    served_apps = [(app, address) for app, address in apps if address]
    servers = partial(_serve_apps, served_apps, node)
    reload = SettingsReload(
        load=partial(load_node_settings, path), apply=node.add_seeds, counters=counters
    )
    return serve_until_signal(partial(node.run, servers), node.stop, reload)


async def _serve_apps(apps, node):
    serve_app = partial(serve_http, stop_event=node.closing, graceful_s=node.graceful_s)
    async with create_task_group() as tasks:
        for app, address in apps:
            tasks.start_soon(partial(serve_app, app, address=address))
