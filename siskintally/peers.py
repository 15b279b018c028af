"""Links of an entry to the other entries and to the stores.

Of two entries the one with the smaller name dials, so there is one link for each pair.

>>> from siskintally.peers import dials
>>> dials("e1", "e2"), dials("e2", "e1")
(True, False)
"""

from siskintally.entry_summary import SummaryTable
from siskintally.errors import UnreachableError
from siskintally.link import Link


def dials(own, other):
    """Tell whether an entry opens the link to another."""
    return own < other


class Peers:
    """Links by process name.

    :param settings: settings of the cell.
    :param process: the row of this entry.
    :param hello: what this process says of itself.
    :param handler: takes calls and messages of peers.
    :param server: :class:`~siskintally.link.LinkServer` of this process.
    """

    __slots__ = ("_by_name", "_links", "_process", "_server", "entries", "summaries")

    def __init__(self, *, settings, process, hello, handler, server):
        self._process = process
        self._server = server
        self.entries = {one.name: one for one in settings.entries() if one.name != process.name}
        self.summaries = SummaryTable(region=process.region)
        self._links = {
            one.name: Link(
                host=one.link.host,
                port=one.link.port,
                hello=hello,
                secret=settings.secret,
                handler=handler,
                tls=settings.tls(process.name),
            )
            for one in settings.process_by_name.values()
            if one.role == "store" or (one.name in self.entries and dials(process.name, one.name))
        }

    def links(self):
        """Yield (process name, link) of all links that this process opens."""
        yield from self._links.items()

    def session(self, name):
        """Return the open session with a process, or None."""
        if name in self._links:
            link = self._links[name]
            return link.session if link.is_open else None
        sessions = self._server.session_by_id.values()
        found = [one for one in sessions if one.peer.name == name and not one.closed]
        return found[-1] if found else None

    async def call(self, name, body, *, timeout):
        """Call a process; see :meth:`siskintally.session.Session.call`.

        :raises UnreachableError: there is no open link to it.
        """
        session = self.session(name)
        if session is None:
            raise UnreachableError(f"no link to {name}")
        return await session.call(body, timeout=timeout)

    def open_entries(self, *, own_domain):
        """Yield (entry process, session) of the entries that can be reached.

        :param own_domain: whether those of the own failure domain or the others.
        """
        for name, process in self.entries.items():
            if (process.domain == self._process.domain) == own_domain:
                session = self.session(name)
                if session is not None:
                    yield process, session

    def choose(self, service, *, avoid="", need_free=False):
        """Return the name of an entry of another domain that can serve a service, or None."""
        reachable = {
            process.name: process.region for process, _ in self.open_entries(own_domain=False)
        }
        return self.summaries.choose(
            service, open_peers=reachable, avoid=avoid, need_free=need_free
        )

    def is_other_region(self, name):
        """Tell whether an entry is in another region."""
        return self.entries[name].region != self._process.region


def identity(hello):
    """Return what tells two runs of a process apart."""
    return f"{hello.name}/{hello.incarnation}"
