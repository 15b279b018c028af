"""Stores as real processes; the test calls them over links, as an entry does."""

from json import dumps, loads
from subprocess import run as run_process
from sys import executable

from anyio import create_task_group
from anyio import run as run_async

from siskintally.errors import SiskintallyError
from siskintally.link import Link
from siskintally.session import Handler
from siskintally.wire_pb2 import Hello, OperatorCall
from tests.processes import Processes, free_ports, wait_until

SECRET = "0123456789abcdef"
TOKEN = "ana-0123456789abcdef"
ENTRY_SETTINGS = f"""
[[process]]
name = "e1"
role = "entry"
domain = "fjeld-a"
region = "fjeld"
link = "127.0.0.1:{{}}"
http = "127.0.0.1:{{}}"
[[group]]
name = "fjeld"
members = ["s1", "s2", "s3"]
domains = ["fjeld-a"]
[[operator]]
name = "ana"
token = "{TOKEN}"
"""
DOCUMENT = "[teams.ski]\ncpu_milli = 4000\nmemory_mb = 4000\n"


class _RefusingHandler(Handler):
    __slots__ = ()

    async def handle_call(self, session, body):
        """Refuse every call, because the test process serves none."""
        raise SiskintallyError("not served")


class Stores:
    """Stores s1, s2 and s3, which are members of the cell group.

    :param folder: directory for settings, data and logs.
    :param with_entry: whether the stores also form a domain group and an entry e1 runs.
    """

    __slots__ = (
        "_link_by_name",
        "entry_port",
        "entry_settings",
        "folder",
        "names",
        "ports",
        "processes",
        "settings_path",
    )

    def __init__(self, *, folder, with_entry=False):
        self.folder = folder
        self.names = ["s1", "s2", "s3"]
        *ports, entry_link, self.entry_port = free_ports(5)
        self.ports = dict(zip(self.names, ports, strict=True))
        self.entry_settings = (
            ENTRY_SETTINGS.format(entry_link, self.entry_port) if with_entry else ""
        )
        self.settings_path = folder / "cell.toml"
        self.settings_path.write_text(self._settings())
        self.processes = None
        self._link_by_name = {}

    def _settings(self):
        lines = ["[cell]", 'name = "demo"', f'secret = "{SECRET}"']
        for name, port in self.ports.items():
            lines += [
                "[[process]]",
                f'name = "{name}"',
                'role = "store"',
                'domain = "fjeld-a"',
                'region = "fjeld"',
                f'link = "127.0.0.1:{port}"',
                f'data = "{self.folder / name}"',
            ]
        lines += ["[[group]]", 'name = "cell"', f"members = {self.names}"]
        return "\n".join([*lines, self.entry_settings])

    def run_command(self, *arguments):
        """Run a ``siskintally`` command to its end; return (exit status, output)."""
        command = [executable, "-m", "siskintally.main", *arguments]
        result = run_process(command, capture_output=True, text=True, timeout=60, check=False)
        return result.returncode, result.stdout + result.stderr

    def init(self, name):
        """Run ``init`` for a store."""
        return self.run_command("init", f"--settings={self.settings_path}", f"--name={name}")

    def operate(self, *arguments):
        """Run an operator command through the entry; return (exit status, answer)."""
        url = f"http://127.0.0.1:{self.entry_port}"
        status, text = self.run_command(*arguments, f"--entry={url}", f"--token={TOKEN}", "--json")
        lines = [line for line in text.splitlines() if line.startswith("{")]
        return status, loads(lines[-1])["answer"]

    def start(self, *names):
        """Start the named stores, by default all."""
        for name in names or self.names:
            self.processes.start(name, "store", f"--settings={self.settings_path}", "--name", name)

    def run(self, check):
        """Bootstrap the group, start all stores, and run ``await check(self)``."""

        async def main():
            async with create_task_group() as tasks:
                for name, port in self.ports.items():
                    hello = Hello(name="e1", cell="demo", incarnation="1")
                    link = Link(
                        host="127.0.0.1",
                        port=port,
                        hello=hello,
                        secret=SECRET,
                        handler=_RefusingHandler(),
                    )
                    self._link_by_name[name] = link
                    tasks.start_soon(link.run)
                await check(self)
                tasks.cancel_scope.cancel()

        with Processes(folder=self.folder) as self.processes:
            assert self.init(self.names[0])[0] == 0
            self.start()
            if self.entry_settings:
                arguments = (f"--settings={self.settings_path}", "--name=e1")
                self.processes.start("e1", "entry", *arguments)
            run_async(main)

    async def call_operator(self, name, verb, arguments=None, *, request_id="read"):
        """Send an operator call to a store; return (code, answer), or None if there is no reply."""
        body = OperatorCall(
            request_id=request_id,
            operator="ana",
            verb=verb,
            arguments=dumps(arguments or {}).encode(),
        )
        try:
            reply = await self._link_by_name[name].call(body, timeout=6)
        except SiskintallyError:
            return None
        return reply.code, loads(reply.answer)

    async def send_change(self, name, verb, arguments, *, request_id):
        """Send a change, repeatedly with the same request id, until it is answered."""

        async def answered():
            return await self.call_operator(name, verb, arguments, request_id=request_id)

        return await wait_until(answered, f"{verb} answered")

    async def wait_leader(self, names=None):
        """Wait until the stores, by default all, report the same leader and return its name."""
        names = names or self.names

        async def agreed_leader():
            replies = [await self.call_operator(name, "status") for name in names]
            leaders = {reply[1]["leader"] for reply in replies if reply and reply[0] == 1000}
            return leaders.pop() if len(leaders) == 1 and None not in replies else None

        return await wait_until(agreed_leader, f"leader of {names}")

    async def wait_all_voters(self):
        """Wait until all stores are voters, so that any one can be lost, and return the leader."""

        async def all_vote():
            reply = await self.call_operator(self.names[0], "status")
            return reply and reply[0] == 1000 and len(reply[1]["voters"]) == len(self.names)

        await wait_until(all_vote, "all stores vote")
        return await self.wait_leader()
