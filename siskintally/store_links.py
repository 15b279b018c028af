"""Links between a store and the other stores.

Of two stores, the one with the smaller name opens the link; the other uses the accepted session.

>>> from siskintally.store_links import opens_link
>>> opens_link("s1", "s2"), opens_link("s2", "s1")
(True, False)
"""

from siskintally.errors import UnreachableError
from siskintally.link import Link


def opens_link(own, other):
    """Return whether a store opens the link to another one."""
    return own < other


class StoreLinks:
    """Open sessions with the other stores, by process name.

    :param process: this store's :class:`~siskintally.settings.Process`.
    :param hello: :class:`~siskintally.wire_pb2.Hello` that identifies this process.
    :param handler: :class:`~siskintally.session.Handler` for calls and messages of peers.
    :param server: :class:`~siskintally.link.LinkServer` of this process.
    """

    __slots__ = ("_accepted_by_name", "_link_by_name", "_server")

    def __init__(self, *, settings, process, hello, handler, server):
        self._server = server
        self._accepted_by_name = {}
        self._link_by_name = {
            peer.name: Link(
                host=peer.link.host,
                port=peer.link.port,
                hello=hello,
                secret=settings.secret,
                handler=handler,
                tls=settings.tls(process.name),
            )
            for peer in settings.process_by_name.values()
            if peer.role == "store" and opens_link(process.name, peer.name)
        }

    def links(self):
        """Yield (process name, link) of the links that this store opens."""
        yield from self._link_by_name.items()

    def record_session(self, session):
        """Use the session that a frame came from for later frames to its process.

        When a connection is lost silently, the peer opens a new link while the old session still
        looks open here.
        """
        if session.peer.name not in self._link_by_name:
            self._accepted_by_name[session.peer.name] = session

    def remove_session(self, session):
        """Remove a session that has ended."""
        if self._accepted_by_name.get(session.peer.name) is session:
            del self._accepted_by_name[session.peer.name]

    def session(self, name):
        """Return the open session with a process, or None."""
        link = self._link_by_name.get(name)
        if link is not None:
            return link.session if link.is_open else None
        session = self._accepted_by_name.get(name)
        if session is not None and not session.closed:
            return session
        for session in reversed(self._server.session_by_id.values()):
            if session.peer.name == name and not session.closed:
                self._accepted_by_name[name] = session
                return session
        return None

    def send(self, name, body):
        """Send a message without a reply.

        :returns: whether it was queued.
        """
        session = self.session(name)
        return session is not None and session.send(body)

    async def call(self, name, body, *, timeout):
        """Call a process; see :meth:`siskintally.session.Session.call`.

        :raises UnreachableError: there is no open session with the process.
        """
        session = self.session(name)
        if session is None:
            raise UnreachableError(f"no open link to {name}")
        return await session.call(body, timeout=timeout)
