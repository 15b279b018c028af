"""What the commands of the platform have in common: settings, logs, and HTTP servers.

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
from siskintally.node_settings import load_node

SETTINGS_VARIABLE = "SISKINTALLY_SETTINGS"

log = get_logger("platform")


def define(values):
    """Add the flags of a platform command."""
    DEFINE_string("settings", None, "settings of this process (TOML)", flag_values=values)


def load(values, role):
    """Read the settings and set up logs; return the path and the settings.

    :raises BadSettingsError: the settings are missing or out of range.
    """
    path = values.settings or environ.get(SETTINGS_VARIABLE)
    if not path:
        raise BadSettingsError(f"--settings: missing, and {SETTINGS_VARIABLE} is not set")
    settings = load_node(path)
    configure_logging(process=settings.name, to_stdout=True)
    log.info(
        "start",
        role=role,
        seeds=settings.seeds,
        domain=settings.domain,
        founding=settings.founding,
    )
    return path, settings


def serve(node, apps, path):
    """Run a node with its HTTP servers until a signal; SIGHUP reads the seeds again.

    :param apps: pairs of an app and the address it listens on, which may be empty.
    """
    bound = [(app, address) for app, address in apps if address]
    servers = partial(_serve_all, bound, node)
    return serve_until_signal(
        partial(node.run, servers), node.stop, lambda: node.learn_seeds(load_node(path))
    )


async def _serve_all(apps, node):
    serve_one = partial(serve_http, stop_event=node.closing, graceful_s=node.last_requests_s)
    async with create_task_group() as tasks:
        for app, address in apps:
            tasks.start_soon(partial(serve_one, app, address=address))
