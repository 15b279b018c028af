"""A cell of store processes and an entry in the test's process, whose links have a low bandwidth.

The links of the entry lead through forwarders. Its HTTP clients and the stores are not limited.
"""

from functools import partial
from unittest.mock import patch

from anyio import Event, create_task_group, run
from grpclib.client import Channel
from httpx import AsyncClient

from siskintally.clock import now as steady
from siskintally.counters import Counters
from siskintally.entry_node import EntryNode
from siskintally.flow_gateway import FlowGateway
from siskintally.http_server import serve_http
from siskintally.node_settings import load_node_settings
from siskintally.platform.http import ClientApp
from siskintally.platform.workers import PlatformAdviceService
from siskintally.stub_pool import StubPool
from tests.forwarder import Forwarder
from tests.platform_worker import PlatformWorkerApp
from tests.processes import Processes, free_ports
from tests.test_platform_process import ENTRY, HOSTS, PlatformCell

# 2 Mbit/s, the users' bandwidth between an entry and the stores.
LINK_BYTES_PER_S = 250_000
GRACEFUL_S = 0.1
# Run time of a task that is not stopped; longer than a test.
RUN_S = 600.0


class SlowLinkCell(PlatformCell):
    """Three store processes, and an entry in this process."""

    def _start(self, host, command, own_settings):
        if command == "platform-store":
            super()._start(host, command, own_settings)
        else:
            self._write_settings(host, own_settings)

    async def run_entry(self, stop_event):
        """Run the entry and its forwarders until an event is set."""
        settings = load_node_settings(self.processes.folder / f"{ENTRY}.toml")
        forwarders = {
            host: Forwarder(
                port=port,
                target=settings.link_port,
                target_host=host,
                bytes_per_s=LINK_BYTES_PER_S,
            )
            for host, port in zip(HOSTS, free_ports(len(HOSTS)), strict=True)
        }

        def channel_through_forwarder(host, port, **arguments):
            assert port == settings.link_port
            return Channel("127.0.0.1", forwarders[host].port, **arguments)

        counters = Counters()
        advice = PlatformAdviceService(address=settings.advice)
        node = EntryNode(settings=settings, advice=advice, counters=counters)
        gateway = FlowGateway(cache=node.cache, client=node.client, counters=counters)
        serve = partial(
            serve_http,
            ClientApp(gateway=gateway),
            address=settings.callers,
            stop_event=stop_event,
            graceful_s=GRACEFUL_S,
        )
        # Stores name themselves by their link addresses, so the entry would bypass forwarders.
        with patch("siskintally.link.Channel", channel_through_forwarder):
            async with create_task_group() as tasks:
                for forwarder in forwarders.values():
                    tasks.start_soon(forwarder.run)
                await node.run(serve)
                tasks.cancel_scope.cancel()


def play(tmp_path, config, check):
    """Run a check against a cell with a first configuration and one worker."""

    async def main():
        with Processes(folder=tmp_path) as processes:
            cell = SlowLinkCell(processes=processes)
            cell.start()
            pool = StubPool(clock=steady, run_s=lambda task_id: RUN_S)
            worker = pool.add("i-1", cpu_milli=4000, memory_mb=4000)
            app = PlatformWorkerApp(worker=worker)
            address = f"127.0.0.1:{cell.worker_port}"
            stop_event = Event()
            stopped = Event()

            async def run_servers():
                async with create_task_group() as servers:
                    servers.start_soon(cell.run_entry, stop_event)
                    await serve_http(
                        app, address=address, stop_event=stop_event, graceful_s=GRACEFUL_S
                    )
                stopped.set()

            async with create_task_group() as tasks, AsyncClient() as cell.client:
                tasks.start_soon(run_servers)
                try:
                    await cell.control_call("POST", "/config/replace", json=config)
                    announcement = app.announcement(address)
                    await cell.control_call("POST", "/instances/i-1/heartbeat", json=announcement)
                    await check(cell, worker)
                finally:
                    # A cancelled HTTP server raises errors that would hide the one of the check.
                    stop_event.set()
                    await stopped.wait()

    run(main)
