"""Network partitions between the places (VMs or failure domains) of a cell."""

from re import search

from tests.forwarder import Forwarder
from tests.processes import free_ports


class Places:
    """Forwarders on all links between places, and one settings file for each place.

    In the settings file of a place, the addresses of processes elsewhere are those of forwarders.

    :param settings: path of the settings file with the real addresses.
    :param place_by_name: ``{process name: place}``; a process that is missing in the settings only
        opens connections.
    :param forwarder: factory, called as ``forwarder(port=..., target=...)``.
    """

    __slots__ = ("_folder", "_forwarder", "forwarder_by_way", "place_by_name")

    def __init__(self, *, settings, place_by_name, forwarder=Forwarder):
        self._folder = settings.parent
        self._forwarder = forwarder
        self.place_by_name = place_by_name
        self.forwarder_by_way = {}
        for place in sorted(set(place_by_name.values())):
            self._write_view(place, settings.read_text())

    def _write_view(self, place, text):
        for name, other in self.place_by_name.items():
            found = search(rf'name = "{name}"\n(?:\w+ = .*\n)*?link = "127.0.0.1:(\d+)"', text)
            if other == place or found is None:
                continue
            (port,) = free_ports(1)
            text = text.replace(f'"127.0.0.1:{found[1]}"', f'"127.0.0.1:{port}"')
            self.forwarder_by_way[place, name] = self._forwarder(port=port, target=int(found[1]))
        (self._folder / f"{place}.toml").write_text(text)

    def view(self, name):
        """Return the path of the settings file of a process."""
        return self._folder / f"{self.place_by_name[name]}.toml"

    def cut(self, *places, inbound=True, outbound=True):
        """Delay all bytes to (inbound) and from (outbound) the places until :meth:`heal`."""
        for (start, name), forwarder in self.forwarder_by_way.items():
            starts_there = start in places
            if starts_there == (self.place_by_name[name] in places):
                continue
            if inbound:
                forwarder.block("to_client" if starts_there else "to_server")
            if outbound:
                forwarder.block("to_server" if starts_there else "to_client")

    def heal(self):
        """End all cuts and deliver the delayed bytes."""
        for forwarder in self.forwarder_by_way.values():
            forwarder.heal()
