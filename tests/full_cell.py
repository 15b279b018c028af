"""A whole cell as real processes: stores, entries, endpoint stubs, worker stubs."""

from contextlib import asynccontextmanager
from json import JSONDecodeError, dumps, loads
from re import findall
from subprocess import run as run_process
from sys import executable
from time import monotonic

from anyio import create_task_group, sleep
from httpx import AsyncClient, HTTPError

from tests.checker import Answer
from tests.entry_net import REGION_BY_DOMAIN, TOKEN, EntryNetwork, code
from tests.forwarder import Forwarder
from tests.processes import Processes, free_ports, wait_until
from tests.split_cell import SplitNetwork

DOMAIN = "jylland-a"
GROUP = "jylland"
DOCUMENT = "[teams.ski]\ncpu_milli = 100000\nmemory_mb = 100000\n"
FINAL_CODES = (1000, 1001, 3001)
RETRY_INTERVAL_S = 0.3
IN_PROGRESS_LIMIT_S = 8.0


class Layout:
    """Stores, entries and groups of a cell.

    :param stores: ``{store: failure domain}``.
    :param entries: ``{entry: failure domain}``.
    :param members_by_group: ``{group: stores}``; the first one bootstraps the group.
    :param domains_by_group: ``{domain group: failure domains}``.
    """

    __slots__ = ("domains_by_group", "entries", "members_by_group", "stores")

    def __init__(self, *, stores, entries, members_by_group, domains_by_group):
        self.stores = stores
        self.entries = entries
        self.members_by_group = members_by_group
        self.domains_by_group = domains_by_group

    def domain_by_name(self):
        """Return ``{process name: failure domain}`` of stores and entries."""
        return self.stores | self.entries

    def settings_toml(self, folder):
        """Return the settings of the stores and groups as TOML."""
        text = ""
        for (name, domain), port in zip(
            self.stores.items(), free_ports(len(self.stores)), strict=True
        ):
            text += (
                f'[[process]]\nname = "{name}"\nrole = "store"\ndomain = "{domain}"\n'
                f'region = "{REGION_BY_DOMAIN[domain]}"\nlink = "127.0.0.1:{port}"\n'
                f'data = "{folder / name}"\n'
            )
        for group, members in self.members_by_group.items():
            text += f'[[group]]\nname = "{group}"\nmembers = {members}\n'
            if group in self.domains_by_group:
                text += f"domains = {self.domains_by_group[group]}\n"
        return text


def one_domain(entries):
    """Return a layout with one domain group; its three stores are the cell group as well."""
    stores = ["s1", "s2", "s3"]
    return Layout(
        stores=dict.fromkeys(stores, DOMAIN),
        entries=dict.fromkeys(entries, DOMAIN),
        members_by_group={"cell": stores, GROUP: stores},
        domains_by_group={GROUP: [DOMAIN]},
    )


class FullCell(EntryNetwork):
    """Stores of the cell group and of domain groups, and entries that use them.

    :param layout: :class:`Layout`.
    :param random: seeded random generator for the choices of callers and faults.
    """

    __slots__ = ("layout", "network", "random", "stores")

    def __init__(self, *, processes, layout, random):
        super().__init__(processes=processes, entries=layout.entries)
        self.random = random
        self.layout = layout
        self.stores = list(layout.stores)
        self.settings.write_text(self.settings.read_text() + layout.settings_toml(self.folder))
        self.network = None

    def add_forwarders(self, location_by_name, *, forwarder=Forwarder):
        """Route the links between locations through forwarders, which can cut them.

        Applies to processes that are started afterwards.

        :param location_by_name: ``{process name: location}``.
        :param forwarder: factory, called as ``forwarder(port=..., target=...)``.
        """
        self.network = SplitNetwork(
            settings=self.settings, location_by_name=location_by_name, forwarder=forwarder
        )

    @property
    def forwarders(self):
        """Forwarders between the locations; the test has to run them."""
        return list(self.network.forwarder_by_route.values()) if self.network else []

    def settings_for(self, name):
        """Return the path of the settings file of a process."""
        return self.network.settings_for(name) if self.network else self.settings

    def start_entry(self, name, *flags):
        """Start an entry that is connected to the stores."""
        self.processes.start(
            name, "entry", "--settings", self.settings_for(name), "--name", name, *flags
        )

    def start_store(self, name):
        """Start a store."""
        self.processes.start(name, "store", "--settings", self.settings_for(name), "--name", name)

    def start_workers(self, name, count, *flags, domain=DOMAIN):
        """Start one process with ``count`` worker stubs."""
        self.processes.start(
            name,
            "stub-worker",
            *("--settings", self.settings_for(name), "--name", name, "--domain", domain),
            *("--count", count, "--cpu_milli", 4000, "--memory_mb", 4000),
            *("--record", self.record(name), *flags),
        )

    def bootstrap(self):
        """Bootstrap each group on its first member."""
        for name in sorted({members[0] for members in self.layout.members_by_group.values()}):
            command = [executable, "-m", "siskintally.main", "init"]
            command += ["--settings", str(self.settings_for(name)), "--name", name]
            run_process(command, check=True, capture_output=True, timeout=60)

    async def operate(self, verb, arguments, *, request_id, entry="e1"):
        """Repeat an operator call until it is answered with code 1000; return the answer."""

        async def done():
            fields = await self.post(entry, verb, arguments, request_id)
            return fields if fields.get("code") == 1000 else None

        return (await wait_until(done, f"{verb} done"))["answer"]

    async def post(self, entry, verb, arguments, request_id):
        """Send an operator call once; return the fields of the reply, none if it was lost."""
        headers = {"authorization": f"Bearer {TOKEN}", "siskintally-request-id": request_id}
        url = f"{self.url_by_name[entry]}/v1/operator/{verb}"
        try:
            response = await self.client.post(url, content=dumps(arguments), headers=headers)
        except HTTPError:
            return {}
        return response.json()

    def _events(self, event, group):
        """Yield the fields of the log lines in which the stores record an event of a group."""
        for name in self.stores:
            for line in self.processes.log_text(name).splitlines():
                try:
                    fields = loads(line)
                except JSONDecodeError:
                    continue
                if fields.get("event") == event and fields.get("group") == group:
                    yield fields

    def owner(self, group=GROUP):
        """Return the store whose term as owner of a domain group started last, by the logs."""
        starts = self._events("term as owner begins", group)
        last = max(starts, key=lambda fields: int(fields["term"]), default={})
        return last.get("process")

    def acting_owners(self, group=GROUP):
        """Return the running stores that act as owner of a domain group now, by the logs."""
        terms = set()
        for event in ("term as owner begins", "term as owner ends"):
            for fields in self._events(event, group):
                update = terms.add if event.endswith("begins") else terms.discard
                update((fields["process"], fields["term"]))
        return {name for name, _ in terms if self.processes.is_running(name)}

    def voters(self, group):
        """Return ``{store: incarnation}`` of the voters in the latest committed member set."""
        changes = self._events("members", group)
        last = max(changes, key=lambda fields: fields["index"], default={"members": ""})
        found = findall(r"name='([\w-]+)', incarnation='(\w+)'\), voter=True", last["members"])
        return dict(found)

    async def wait_voters(self, *, without=()):
        """Wait until all members are voters in their groups.

        :param without: incarnations that must not be among the voters.
        :returns: ``{group: {store: incarnation}}``.
        """

        def all_vote():
            found = {group: self.voters(group) for group in self.layout.members_by_group}
            return (
                all(
                    set(voters) == set(self.layout.members_by_group[group])
                    and not set(voters.values()) & set(without)
                    for group, voters in found.items()
                )
                and found
            )

        return await wait_until(all_vote, "all stores are voters")

    async def place_order(self, key, answers, *, headers=None, limit_s=60.0):
        """Send a non-idempotent order through random entries until its outcome is final.

        Each attempt has the same idempotency key. Every answer is appended to ``answers``.

        :returns: final code; 3002 if the key stays in progress because its entry has failed.
        """
        started, in_progress_since = monotonic(), None
        body = f"order {key}".encode()
        while monotonic() - started < limit_s:
            entry = self.random.choice(list(self.entries))
            response = await self.call(entry, body=body, idempotency_key=key, **(headers or {}))
            # The HTTP library of a dying process may send a response of its own, without a code.
            if response is not None and "siskintally-code" in response.headers:
                answers.append(_answer(response, key, body))
                result_code = code(response)
                if result_code in FINAL_CODES:
                    return result_code
                in_progress_since = (
                    (in_progress_since or monotonic()) if result_code == 3002 else None
                )
                if in_progress_since and monotonic() - in_progress_since > IN_PROGRESS_LIMIT_S:
                    return result_code
            await sleep(RETRY_INTERVAL_S)
        raise AssertionError(f"order {key}: no final outcome in {limit_s} s")


def _answer(response, key, body):
    body_returned = (
        loads(response.content)["body"].encode() if code(response) in (1000, 1001) else b""
    )
    return Answer(
        request_id=response.headers["siskintally-request-id"],
        code=code(response),
        body=body_returned,
        expected=body,
        key=key,
    )


@asynccontextmanager
async def running_cell(folder, random, *, layout=None, location_by_name=None, document=DOCUMENT):
    """Yield a running :class:`FullCell` with a configuration in force.

    :param layout: :class:`Layout`, by default two entries in one domain.
    :param location_by_name: ``{process name: location}``; links between locations can be cut. By
        default none can.
    """
    layout = layout or one_domain(("e1", "e2"))
    with Processes(folder=folder) as processes:
        cell = FullCell(processes=processes, layout=layout, random=random)
        if location_by_name:
            cell.add_forwarders(location_by_name)
        cell.bootstrap()
        async with AsyncClient(timeout=30.0) as cell.client, create_task_group() as tasks:
            for forwarder in cell.forwarders:
                tasks.start_soon(forwarder.run)
            for name in cell.stores:
                cell.start_store(name)
            for name in cell.entries:
                cell.start_entry(name)
            change = {"document": document, "expect_version": 0}
            await cell.operate("config", change, request_id="first-config")
            await cell.wait_voters()
            yield cell
            tasks.cancel_scope.cancel()
