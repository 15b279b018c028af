"""Commands ``platform-entry`` and ``platform-store``.

>>> from siskintally.command import Registry
>>> from siskintally.platform.commands import register
>>> registry = Registry()
>>> register(registry)
>>> [command.name for command in registry]
['platform-entry', 'platform-store']
"""

from functools import partial
from os import environ

from absl.flags import DEFINE_string
from anyio import create_task_group

from siskintally.command import Command
from siskintally.control_node import ControlNode
from siskintally.counters import Counters
from siskintally.daemon import serve_until_signal
from siskintally.entry_node import EntryNode
from siskintally.errors import BadSettingsError
from siskintally.flow_gateway import FlowGateway
from siskintally.http_server import serve_http
from siskintally.log import get_logger, set_up
from siskintally.node_settings import load_node
from siskintally.platform.http import ClientApp, ControlApp, MetricsApp, ReadyApp
from siskintally.platform.workers import PlatformAdvice, PlatformWorkers

SETTINGS_VARIABLE = "SISKINTALLY_SETTINGS"
METRICS_PORT = 9464

log = get_logger("platform")


def register(registry):
    """Add the commands of this family."""
    rows = (
        ("platform-entry", "Run an entry on the users' platform.", start_entry),
        ("platform-store", "Run a store on the users' platform.", start_store),
    )
    for name, summary, start in rows:
        registry.add(Command(name=name, summary=summary, define=_define, start=start))


def _define(values):
    DEFINE_string("settings", None, "settings of this process (TOML)", flag_values=values)


def _load(values):
    path = values.settings or environ.get(SETTINGS_VARIABLE)
    if not path:
        raise BadSettingsError(f"--settings: missing, and {SETTINGS_VARIABLE} is not set")
    return path, load_node(path)


def start_entry(values, arguments):
    """Run an entry until a signal."""
    path, settings = _load(values)
    set_up(process=settings.name, to_stdout=True)
    log.info("start", role="entry", seeds=settings.seeds, domain=settings.domain)
    counters = Counters()
    node = EntryNode(settings=settings, advice=PlatformAdvice(address=settings.advice))
    gateway = FlowGateway(book=node.book, calls=node.calls, counters=counters)
    serve = partial(
        _serve_all,
        (
            (ClientApp(gateway=gateway), settings.callers),
            (ReadyApp(is_ready=lambda: node.is_ready), settings.ready),
            (MetricsApp(counters=counters), f"{settings.ip}:{METRICS_PORT}"),
        ),
        node.closing,
        settings.grace_s - 3.0,
    )
    return serve_until_signal(
        partial(node.run, serve), node.stop, lambda: node.learn_seeds(load_node(path))
    )


def start_store(values, arguments):
    """Run a store until a signal."""
    path, settings = _load(values)
    set_up(process=settings.name, to_stdout=True)
    log.info(
        "start",
        role="store",
        seeds=settings.seeds,
        domain=settings.domain,
        founding=settings.founding,
    )
    counters = Counters()
    node = ControlNode(
        settings=settings,
        driver=PlatformWorkers(),
        advice=PlatformAdvice(address=settings.advice),
        counters=counters,
    )
    serve = partial(
        _serve_all,
        (
            (ControlApp(calls=node.calls), settings.control),
            (MetricsApp(counters=counters), f"{settings.ip}:{METRICS_PORT}"),
        ),
        node.closing,
        1.0,
    )
    return serve_until_signal(
        partial(node.run, serve), node.stop, lambda: node.learn_seeds(load_node(path))
    )


async def _serve_all(apps, until, graceful_s):
    async with create_task_group() as tasks:
        for app, address in apps:
            tasks.start_soon(
                partial(serve_http, app, address=address, until=until, graceful_s=graceful_s)
            )
