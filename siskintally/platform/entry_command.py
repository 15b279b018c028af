"""Command ``platform-entry``: runs an entry on the users' platform.

>>> from siskintally.command import Registry
>>> from siskintally.platform.entry_command import register
>>> registry = Registry()
>>> register(registry)
>>> [command.name for command in registry]
['platform-entry']
"""

from siskintally.command import Command
from siskintally.counters import Counters
from siskintally.entry_node import EntryNode
from siskintally.flow_gateway import FlowGateway
from siskintally.platform.http import ClientApp, MetricsApp, ReadyApp
from siskintally.platform.process import define_flags, load_settings, run_node
from siskintally.platform.workers import PlatformAdviceService


def register(registry):
    """Register the command."""
    summary = "Run an entry on the users' platform."
    registry.add(Command(name="platform-entry", summary=summary, define=define_flags, start=start))


def start(values, arguments):
    """Run an entry until SIGTERM or SIGINT."""
    path, settings = load_settings(values, "entry")
    counters = Counters()
    node = EntryNode(
        settings=settings,
        advice=PlatformAdviceService(address=settings.advice),
        counters=counters,
    )
    gateway = FlowGateway(cache=node.cache, client=node.client, counters=counters)
    apps = (
        (ClientApp(gateway=gateway), settings.callers),
        (ReadyApp(is_ready=lambda: node.is_ready), settings.ready),
        (MetricsApp(counters=counters), settings.metrics_address),
    )
    return run_node(node, apps, path, counters)
