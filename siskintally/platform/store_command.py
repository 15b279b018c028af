"""Command ``platform-store``: runs a store on the users' platform.

>>> from siskintally.command import Registry
>>> from siskintally.platform.store_command import register
>>> registry = Registry()
>>> register(registry)
>>> [command.name for command in registry]
['platform-store']
"""

from siskintally.command import Command
from siskintally.control_node import ControlNode
from siskintally.counters import Counters
from siskintally.platform.http import ControlApp, MetricsApp
from siskintally.platform.process import define_flags, load_settings, run_node
from siskintally.platform.workers import PlatformAdviceService, PlatformWorkerDriver


def register(registry):
    """Register the command."""
    summary = "Run a store on the users' platform."
    registry.add(Command(name="platform-store", summary=summary, define=define_flags, start=start))


def start(values, arguments):
    """Run a store until SIGTERM or SIGINT."""
    path, settings = load_settings(values, "store")
    counters = Counters()
    node = ControlNode(
        settings=settings,
        driver=PlatformWorkerDriver(),
        advice=PlatformAdviceService(address=settings.advice),
        counters=counters,
    )
    apps = (
        (ControlApp(client=node.client), settings.control),
        (MetricsApp(counters=counters), settings.metrics_address),
    )
    return run_node(node, apps, path, counters)
