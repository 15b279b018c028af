"""Pool of outgoing links from one process to the known stores, by link address.

The name of a store is the address of its link port, so a process that knows a member can reach it.

>>> from siskintally.link_pool import LinkPool
>>> links = LinkPool(own_address="10.0.0.1:7000", hello=None, secret="s", handler=None)
>>> links.add_addresses(["10.0.0.1:7000"])
>>> list(links.addresses())
[]
"""

from functools import partial

from anyio import create_task_group, sleep_forever

from siskintally.errors import UnreachableError
from siskintally.link import Link
from siskintally.liveness import LinkTiming
from siskintally.log import get_logger

# Broken links must be detected and reopened well within the time in which a process has to be
# connected again after a disruption.
LINK_POOL_TIMING = LinkTiming(
    idle_ping_s=1.0, busy_ping_s=0.6, ping_timeout_s=0.9, connect_timeout_s=0.4, max_backoff_s=0.3
)
MAX_STORES = 64
# Cell name in the Hello message of every link.
CELL_NAME = "control"

log = get_logger("link-pool")


class LinkPool:
    """Outgoing links by address; each is opened when its address is added.

    :param own_address: link address of this process, empty if it accepts no links.
    :param hello: :class:`~siskintally.wire_pb2.Hello` of this process.
    :param handler: :class:`~siskintally.session.Handler` for calls and messages of peers.
    :param on_process_exit: function that is called with the address of a store whose process has
        exited, or None.
    """

    __slots__ = (
        "_handler",
        "_hello",
        "_link_by_address",
        "_on_process_exit",
        "_own_address",
        "_secret",
        "_tasks",
    )

    def __init__(self, *, own_address, hello, secret, handler, on_process_exit=None):
        self._own_address = own_address
        self._hello = hello
        self._secret = secret
        self._handler = handler
        self._on_process_exit = on_process_exit
        self._link_by_address = {}
        self._tasks = None

    def addresses(self):
        """Yield the known addresses except its own."""
        yield from self._link_by_address

    def add_addresses(self, addresses):
        """Open links to the addresses that are new."""
        for address in addresses:
            if address == self._own_address or address in self._link_by_address:
                continue
            if len(self._link_by_address) >= MAX_STORES:
                log.warning("store not linked: too many known stores", address=address)
                return
            host, _, port = address.rpartition(":")
            link = Link(
                host=host,
                port=int(port),
                hello=self._hello,
                secret=self._secret,
                handler=self._handler,
                timing=LINK_POOL_TIMING,
                on_peer_exit=partial(self._on_process_exit, address)
                if self._on_process_exit is not None
                else None,
            )
            self._link_by_address[address] = link
            log.info("store discovered", address=address)
            if self._tasks is not None:
                self._tasks.start_soon(link.run)

    async def run(self):
        """Keep all links open until cancelled."""
        async with create_task_group() as tasks:
            self._tasks = tasks
            for link in list(self._link_by_address.values()):
                tasks.start_soon(link.run)
            await sleep_forever()

    @property
    def has_open_link(self):
        """Whether the link to any store is open."""
        return any(link.is_open for link in self._link_by_address.values())

    def is_open(self, address):
        """Return whether the link to a store is open."""
        link = self._link_by_address.get(address)
        return link is not None and link.is_open

    def send(self, address, body):
        """Send a message without a reply.

        :returns: whether it was queued.
        """
        self.add_addresses([address])
        link = self._link_by_address.get(address)
        return link is not None and link.send(body)

    async def call(self, address, body, *, timeout):
        """Call a store; see :meth:`siskintally.session.Session.call`.

        :raises UnreachableError: the address is unknown or its link is not open.
        """
        link = self._link_by_address.get(address)
        if link is None:
            raise UnreachableError(f"store {address!r}: unknown address")
        return await link.call(body, timeout=timeout)
