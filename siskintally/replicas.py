"""Replicas on a store: one per group it is a member of, with the services on top.

>>> from siskintally.replicas import group_folder
>>> str(group_folder("data/s1", "cell"))
'data/s1/group-cell'
"""

from pathlib import Path

from siskintally.audit import AuditFile
from siskintally.cell import Cell
from siskintally.cell_service import CellService
from siskintally.domain import Domain
from siskintally.errors import BadSettingsError, NotFoundError, NotLeaderError
from siskintally.group import Group
from siskintally.owner import Owner
from siskintally.recorded_cell import RecordedCell
from siskintally.settings import CELL_GROUP
from siskintally.wire_pb2 import WorkerBeat

AUDIT_FILE = "audit.log"


def group_folder(data, group):
    """Return the folder of a group's replica inside the data folder of a store."""
    return Path(data) / f"group-{group}"


class Replicas:
    """Replicas of one store, and the cell service or owner that runs on each.

    :param process: this store's :class:`~siskintally.settings.Process`.
    :param links: :class:`~siskintally.store_links.StoreLinks`.
    :param cell_call: ``async cell_call(body, *, timeout)`` calls the leader of the cell group.
    """

    __slots__ = (
        "_audit_file",
        "_cell_call",
        "_links",
        "_metrics",
        "_process",
        "_settings",
        "cell_service",
        "group_by_name",
        "owner_by_group",
    )

    def __init__(self, *, settings, process, links, cell_call, metrics):
        self._settings = settings
        self._process = process
        self._links = links
        self._cell_call = cell_call
        self._metrics = metrics
        self._audit_file = None
        self.group_by_name = {}
        self.cell_service = None
        self.owner_by_group = {}
        groups = list(settings.groups_of_store(process.name))
        if not groups:
            raise BadSettingsError(f"group.members: no group has the store {process.name!r}")
        for group in groups:
            if group.name == CELL_GROUP:
                self._add_cell(group)
            else:
                self._add_domain(group)

    def _make_group(self, group, state_machine):
        folder = group_folder(self._process.data, group.name)
        folder.parent.mkdir(parents=True, exist_ok=True)
        created = Group(
            name=group.name,
            process=self._process.name,
            bootstrap_members=group.members,
            folder=folder,
            state_machine=state_machine,
            send=self._links.send,
        )
        self.group_by_name[group.name] = created
        return created

    def _add_cell(self, group):
        folder = Path(self._process.data)
        folder.mkdir(parents=True, exist_ok=True)
        self._audit_file = AuditFile.recover(path=folder / AUDIT_FILE)
        state_machine = RecordedCell(cell=Cell(), audit_file=self._audit_file)
        self.cell_service = CellService(
            group=self._make_group(group, state_machine),
            state_machine=state_machine,
            settings=self._settings,
        )

    def _add_domain(self, group):
        domain = Domain(group=group.name)
        self.owner_by_group[group.name] = Owner(
            group=self._make_group(group, domain),
            domain=domain,
            settings=self._settings,
            cell_call=self._cell_call,
            metrics=self._metrics,
        )

    def close(self):
        """Close the audit file; the groups close their own files."""
        if self._audit_file is not None:
            self._audit_file.close()

    def children(self):
        """Yield (name, async function) of each task that the store has to supervise."""
        for name, group in self.group_by_name.items():
            yield f"group {name}", group.run
        for name, owner in self.owner_by_group.items():
            yield f"owner {name}", owner.run

    def owner_for(self, body):
        """Return the owner that a call is addressed to.

        :param body: WorkerBeat, which names its failure domain, or a call that names a domain
            group. If the name is empty, the call is for the only domain group of this store.
        :raises NotLeaderError: the store is not a member of any domain group.
        :raises NotFoundError: the store is not a member of the named group.
        """
        if not self.owner_by_group:
            raise NotLeaderError("this store is not a member of any domain group")
        name = self._domain_group_name(body)
        if name not in self.owner_by_group:
            raise NotFoundError(f"domain group {name[:100]!r}: no replica on this store")
        return self.owner_by_group[name]

    def _domain_group_name(self, body):
        if isinstance(body, WorkerBeat):
            for name in self.owner_by_group:
                if body.domain in self._settings.group_by_name[name].domains:
                    return name
            raise NotFoundError(
                f"failure domain {body.domain[:100]!r}: not owned by a group of this store"
            )
        if not body.group and len(self.owner_by_group) == 1:
            return next(iter(self.owner_by_group))
        return body.group

    async def handle_join_request(self, body):
        """Handle a request to join a group, or a query whether the group has a log.

        :param body: JoinRequest; one with an empty incarnation is a query.

        :raises NotFoundError: this store is not a member of the group.
        """
        group = self.group_by_name.get(body.group)
        if group is None:
            raise NotFoundError(f"group {body.group[:100]!r}: no replica on this store")
        return await group.handle_join_request(body)
