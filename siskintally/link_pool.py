"""Links of one process to all stores that it knows, by address.

A store is named by the address of its link port, so that whoever knows a member can reach it.

>>> from siskintally.link_pool import LinkPool
>>> links = LinkPool(own="10.0.0.1:7000", hello=None, secret="s", handler=None)
>>> links.learn(["10.0.0.1:7000"])
>>> list(links.addresses())
[]
"""

from functools import partial

from anyio import create_task_group, sleep_forever

from siskintally.errors import UnreachableError
from siskintally.link import Link
from siskintally.liveness import LinkTiming
from siskintally.log import get_logger

# A cut has to be noticed, and a healed one used, well within the time in which a process has to
# be in touch again.
LINK_POOL_TIMING = LinkTiming(
    idle_ping_s=1.0, busy_ping_s=0.6, ping_timeout_s=0.9, connect_timeout_s=0.4, max_backoff_s=0.3
)
MAX_STORES = 64
# Name of the cell in the greeting of every link.
CELL = "control"

log = get_logger("link-pool")


class LinkPool:
    """Outgoing links by address; each is opened when the address is learnt.

    :param own: address of this process, or an empty text.
    :param hello: what this process says of itself.
    :param handler: takes calls and messages of the other side.
    :param ended: called with the address of a process that has ended, or None.
    """

    __slots__ = ("_ended", "_handler", "_hello", "_link_by_address", "_own", "_secret", "_tasks")

    def __init__(self, *, own, hello, secret, handler, ended=None):
        self._own = own
        self._hello = hello
        self._secret = secret
        self._handler = handler
        self._ended = ended
        self._link_by_address = {}
        self._tasks = None

    def addresses(self):
        """Yield the addresses that are known, without the own one."""
        yield from self._link_by_address

    def learn(self, addresses):
        """Open links to addresses that are new."""
        for address in addresses:
            if address == self._own or address in self._link_by_address:
                continue
            if len(self._link_by_address) >= MAX_STORES:
                log.warning("store not linked: too many are known", address=address)
                return
            host, _, port = address.rpartition(":")
            link = Link(
                host=host,
                port=int(port),
                hello=self._hello,
                secret=self._secret,
                handler=self._handler,
                timing=LINK_POOL_TIMING,
                on_peer_exit=partial(self._ended, address) if self._ended is not None else None,
            )
            self._link_by_address[address] = link
            log.info("store learnt", address=address)
            if self._tasks is not None:
                self._tasks.start_soon(link.run)

    async def run(self):
        """Keep all links open until cancelled."""
        async with create_task_group() as tasks:
            self._tasks = tasks
            for link in list(self._link_by_address.values()):
                tasks.start_soon(link.run)
            await sleep_forever()

    def is_open(self, address):
        """Tell whether there is a session with a store."""
        link = self._link_by_address.get(address)
        return link is not None and link.is_open

    def send(self, address, body):
        """Send a message without a reply.

        :returns: whether it was queued.
        """
        self.learn([address])
        link = self._link_by_address.get(address)
        return link is not None and link.send(body)

    async def call(self, address, body, *, timeout):
        """Call a store; see :meth:`siskintally.session.Session.call`.

        :raises UnreachableError: the address is not known or its link is not open.
        """
        link = self._link_by_address.get(address)
        if link is None:
            raise UnreachableError(f"store {address!r}: not known")
        return await link.call(body, timeout=timeout)
