"""Links of an entry to the other entries and to the stores.

Of two entries, the one with the smaller name opens the link, so each pair has one link.

>>> from siskintally.peers import opens_link
>>> opens_link("e1", "e2"), opens_link("e2", "e1")
(True, False)
"""

from siskintally.entry_summary import SummaryTable
from siskintally.errors import UnreachableError
from siskintally.link import Link


def opens_link(own, other):
    """Return whether an entry opens the link to another."""
    return own < other


class Peers:
    """Sessions with the other entries and the stores, by process name.

    :param settings: settings of the cell.
    :param process: settings of this entry.
    :param hello: Hello message that identifies this process.
    :param handler: :class:`~siskintally.session.Handler` of calls and messages from peers.
    :param server: :class:`~siskintally.link.LinkServer` of this process.
    """

    __slots__ = ("_by_name", "_links", "_process", "_server", "entries", "summaries")

    def __init__(self, *, settings, process, hello, handler, server):
        self._process = process
        self._server = server
        self.entries = {
            other.name: other for other in settings.entries() if other.name != process.name
        }
        self.summaries = SummaryTable(region=process.region)
        self._links = {
            other.name: Link(
                host=other.link.host,
                port=other.link.port,
                hello=hello,
                secret=settings.secret,
                handler=handler,
                tls=settings.tls(process.name),
            )
            for other in settings.process_by_name.values()
            if other.role == "store"
            or (other.name in self.entries and opens_link(process.name, other.name))
        }

    def links(self):
        """Yield (process name, link) of the links that this process opens."""
        yield from self._links.items()

    def session(self, name):
        """Return the open session with a process, or None."""
        if name in self._links:
            link = self._links[name]
            return link.session if link.is_open else None
        sessions = self._server.session_by_id.values()
        open_sessions = [
            session for session in sessions if session.peer.name == name and not session.closed
        ]
        return open_sessions[-1] if open_sessions else None

    async def call(self, name, body, *, timeout):
        """Call a process; see :meth:`siskintally.session.Session.call`.

        :raises UnreachableError: there is no open session with it.
        """
        session = self.session(name)
        if session is None:
            raise UnreachableError(f"no link to {name}")
        return await session.call(body, timeout=timeout)

    def open_entries(self, *, own_domain):
        """Yield (process settings, session) of the reachable entries.

        :param own_domain: whether to yield those of the own failure domain or the others.
        """
        for name, process in self.entries.items():
            if (process.domain == self._process.domain) == own_domain:
                session = self.session(name)
                if session is not None:
                    yield process, session

    def choose(self, service, *, avoid="", need_free=False):
        """Choose an entry of another domain; see :meth:`SummaryTable.choose`."""
        reachable = {
            process.name: process.region for process, _ in self.open_entries(own_domain=False)
        }
        return self.summaries.choose(
            service, open_peers=reachable, avoid=avoid, need_free=need_free
        )

    def is_other_region(self, name):
        """Return whether an entry is in another region."""
        return self.entries[name].region != self._process.region


def incarnation_id(hello):
    """Return name and incarnation of a process, which differ after a restart."""
    return f"{hello.name}/{hello.incarnation}"
