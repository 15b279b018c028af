"""Command ``platform-store``.

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
from siskintally.platform.process import define, load, serve
from siskintally.platform.workers import PlatformAdvice, PlatformWorkers


def register(registry):
    """Add the command."""
    summary = "Run a store on the users' platform."
    registry.add(Command(name="platform-store", summary=summary, define=define, start=start))


def start(values, arguments):
    """Run a store until a signal."""
    path, settings = load(values, "store")
    counters = Counters()
    node = ControlNode(
        settings=settings,
        driver=PlatformWorkers(),
        advice=PlatformAdvice(address=settings.advice),
        counters=counters,
    )
    apps = (
        (ControlApp(calls=node.calls), settings.control),
        (MetricsApp(counters=counters), settings.metrics),
    )
    return serve(node, apps, path)
