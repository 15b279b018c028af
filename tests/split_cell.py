"""Network partitions between the locations (VMs or failure domains) of a cell."""

from re import search

from tests.forwarder import Forwarder
from tests.processes import free_ports


class SplitNetwork:
    """Forwarders on all links between locations, and one settings file for each location.

    In the settings file of a location, the addresses of processes elsewhere are those of
    forwarders.

    :param settings: path of the settings file with the real addresses.
    :param location_by_name: ``{process name: location}``; a process that is missing in the settings
        only opens connections.
    :param forwarder: factory, called as ``forwarder(port=..., target=...)``.
    """

    __slots__ = ("_folder", "_forwarder", "forwarder_by_route", "location_by_name")

    def __init__(self, *, settings, location_by_name, forwarder=Forwarder):
        self._folder = settings.parent
        self._forwarder = forwarder
        self.location_by_name = location_by_name
        self.forwarder_by_route = {}
        for location in sorted(set(location_by_name.values())):
            self._write_settings(location, settings.read_text())

    def _write_settings(self, location, text):
        for name, target_location in self.location_by_name.items():
            found = search(rf'name = "{name}"\n(?:\w+ = .*\n)*?link = "127.0.0.1:(\d+)"', text)
            if target_location == location or found is None:
                continue
            (port,) = free_ports(1)
            text = text.replace(f'"127.0.0.1:{found[1]}"', f'"127.0.0.1:{port}"')
            self.forwarder_by_route[location, name] = self._forwarder(
                port=port, target=int(found[1])
            )
        (self._folder / f"{location}.toml").write_text(text)

    def settings_for(self, name):
        """Return the path of the settings file of a process."""
        return self._folder / f"{self.location_by_name[name]}.toml"

    def cut(self, *locations, inbound=True, outbound=True):
        """Delay all bytes to (inbound) and from (outbound) the locations until :meth:`heal`."""
        for (source_location, name), forwarder in self.forwarder_by_route.items():
            source_is_cut = source_location in locations
            if source_is_cut == (self.location_by_name[name] in locations):
                continue
            if inbound:
                forwarder.block("to_client" if source_is_cut else "to_server")
            if outbound:
                forwarder.block("to_server" if source_is_cut else "to_client")

    def heal(self):
        """End all cuts and deliver the delayed bytes."""
        for forwarder in self.forwarder_by_route.values():
            forwarder.heal()
