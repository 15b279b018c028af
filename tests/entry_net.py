"""Entries and endpoint stubs as real processes."""

from contextlib import asynccontextmanager

from httpx import AsyncClient, HTTPError

from tests.processes import Processes, free_ports, wait_until

CELL_SETTINGS = '[cell]\nname = "demo"\nsecret = "0123456789abcdef"\n'
TOKEN = "operator-token-of-astrid"
REGION_BY_DOMAIN = {
    f"{region}-{letter}": region for region in ("jylland", "fjeld") for letter in "abc"
}


class EntryNetwork:
    """Entries without stores, and endpoint stubs.

    :param processes: :class:`~tests.processes.Processes`.
    :param entries: ``{entry name: failure domain}``.
    :param extra: additional settings as TOML.
    """

    __slots__ = ("client", "entries", "folder", "processes", "settings", "url_by_name")

    def __init__(self, *, processes, entries, extra=""):
        self.processes = processes
        self.entries = entries
        self.folder = processes.folder
        self.url_by_name = {}
        self.client = None
        text = CELL_SETTINGS + f'[[operator]]\nname = "astrid"\ntoken = "{TOKEN}"\n'
        for name, domain in entries.items():
            link, http = free_ports(2)
            text += (
                f'[[process]]\nname = "{name}"\nrole = "entry"\ndomain = "{domain}"\n'
                f'region = "{REGION_BY_DOMAIN[domain]}"\nlink = "127.0.0.1:{link}"\n'
                f'http = "127.0.0.1:{http}"\n'
            )
            self.url_by_name[name] = f"http://127.0.0.1:{http}"
        self.settings = self.folder / "cell.toml"
        self.settings.write_text(text + extra)

    def start_entry(self, name, *flags):
        """Start a standalone entry."""
        self.processes.start(
            name, "entry", "--settings", self.settings, "--name", name, "--standalone", *flags
        )

    def start_stub(self, name, *flags, entries=None, domain="jylland-a"):
        """Start an endpoint stub that announces itself to the given entries, by default to all."""
        (port,) = free_ports(1)
        self.url_by_name[name] = f"http://127.0.0.1:{port}"
        urls = ",".join(self.url_by_name[target] for target in entries or self.entries)
        self.processes.start(
            name,
            "stub-endpoint",
            *("--name", name, "--domain", domain, "--http", f"127.0.0.1:{port}"),
            *("--entries", urls, "--record", self.record(name)),
            *flags,
        )

    def record(self, name):
        """Return the path of a stub's record file."""
        return self.folder / f"{name}.record"

    async def call(self, entry, path="boarding", *, body=b"x", timeout=30.0, **headers):
        """Send a request; ``_`` in a header name stands for ``-``.

        :returns: the httpx response, or None if there was none.
        """
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"{self.url_by_name[entry]}/call/seat-count/{path}"
        try:
            return await self.client.post(url, content=body, headers=names, timeout=timeout)
        except HTTPError:
            return None

    async def health(self, entry):
        """Return the health report of an entry, or None if there was no response."""
        try:
            return (await self.client.get(f"{self.url_by_name[entry]}/v1/health")).json()
        except HTTPError:
            return None

    async def set_behaviour(self, stub, **fields):
        """Change the behaviour of an endpoint stub, such as its fault."""
        await self.client.post(f"{self.url_by_name[stub]}/control", json=fields)

    async def wait_endpoints(self, count, *entries):
        """Wait until each of the entries, by default all, lists ``count`` endpoints."""
        for entry in entries or self.entries:
            await wait_until(
                lambda entry=entry: self.lists_endpoints(entry, count),
                f"{entry} lists {count} endpoints",
            )

    async def wait_serving(self, entry):
        """Wait until an entry answers a request with code 1000."""

        async def is_serving():
            response = await self.call(entry)
            return response is not None and code(response) == 1000

        await wait_until(is_serving, f"{entry} serves")

    async def lists_endpoints(self, entry, count):
        """Return whether an entry lists ``count`` endpoints."""
        report = await self.health(entry)
        return report is not None and report["endpoints"] == count


def code(response):
    """Return the result code of a response."""
    return int(response.headers["siskintally-code"])


@asynccontextmanager
async def running_network(folder, *, entries=None, extra=""):
    """Yield a :class:`Net` whose entries have been started."""
    with Processes(folder=folder) as processes:
        net = EntryNetwork(processes=processes, entries=entries or {"e1": "jylland-a"}, extra=extra)
        async with AsyncClient(timeout=30.0) as net.client:
            for name in net.entries:
                net.start_entry(name)
            yield net
