"""Bootstrap of groups: writes the first member's initial data, once in the life of a cell.

>>> from siskintally.bootstrap import AlreadyBootstrappedError
>>> int(AlreadyBootstrappedError.code)
4000
"""

from uuid import uuid4

from anyio import create_task_group, move_on_after

from siskintally.errors import BadRequestError, NotFoundError, SiskintallyError
from siskintally.link import Link
from siskintally.replicas import group_folder
from siskintally.session import Handler
from siskintally.wire_pb2 import Hello, JoinRequest

PEER_QUERY_TIMEOUT_S = 2.0


class AlreadyBootstrappedError(BadRequestError):
    """The group exists already; a second bootstrap would make a second group of that name."""


class _RefusingHandler(Handler):
    """Handler for links on which this process only makes calls."""

    __slots__ = ()

    async def handle_call(self, session, body):
        """Refuse any call."""
        raise NotFoundError("this process serves no calls, it only bootstraps a group")


def groups_to_bootstrap(settings, name):
    """Yield the groups whose first member is the store; only that member bootstraps a group.

    The other members join it. So a group is bootstrapped once even if `init` runs on every store.
    """
    for group in settings.groups_of_store(name):
        if group.members[0] == name:
            yield group


async def bootstrap_group(*, settings, process, group, bootstrap_replica):
    """Bootstrap a group in the data folder of a store.

    :param bootstrap_replica: :func:`siskintally.journal.bootstrap_replica`; writes the files.
    :raises AlreadyBootstrappedError: the folder is not empty, or a reachable peer has a log.
    """
    folder = group_folder(process.data, group.name)
    if folder.exists() and any(folder.iterdir()):
        raise AlreadyBootstrappedError(
            f"{folder}: not empty, the group {group.name!r} is already bootstrapped here"
        )
    peer = await find_bootstrapped_peer(settings=settings, process=process, group=group)
    if peer is not None:
        raise AlreadyBootstrappedError(
            f"group {group.name!r}: already bootstrapped, store {peer} has its log; "
            f"start this store to join it"
        )
    folder.parent.mkdir(parents=True, exist_ok=True)
    bootstrap_replica(folder, group=group.name, name=process.name)


async def find_bootstrapped_peer(*, settings, process, group):
    """Return the name of a reachable member that has a log of the group, or None."""
    bootstrapped_peers = []

    async def query_peer(name):
        peer = settings.process(name)
        hello = Hello(name=f"{process.name}/init", cell=settings.cell, incarnation=uuid4().hex)
        link = Link(
            host=peer.link.host,
            port=peer.link.port,
            hello=hello,
            secret=settings.secret,
            handler=_RefusingHandler(),
            tls=settings.tls(process.name),
        )
        async with create_task_group() as tasks:
            tasks.start_soon(link.run)
            with move_on_after(PEER_QUERY_TIMEOUT_S):
                await link.wait_open()
                try:
                    reply = await link.call(
                        JoinRequest(group=group.name), timeout=PEER_QUERY_TIMEOUT_S
                    )
                except SiskintallyError:
                    reply = None
                if reply is not None and reply.last_index:
                    bootstrapped_peers.append(name)
            tasks.cancel_scope.cancel()

    async with create_task_group() as tasks:
        for name in group.members:
            if name != process.name:
                tasks.start_soon(query_peer, name)
    return bootstrapped_peers[0] if bootstrapped_peers else None
