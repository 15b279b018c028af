"""Store daemon: runs replicas of the cell group and of domain groups, and serves calls to them.

>>> from siskintally.store import destination_of
>>> from siskintally.wire_pb2 import SyncRequest, VoteRequest
>>> destination_of(VoteRequest()), destination_of(SyncRequest())
('consensus', 'cell')
"""

from uuid import uuid4

from anyio import create_task_group, fail_after, move_on_after

from siskintally.codes import Code
from siskintally.errors import (
    BadSettingsError,
    NotFoundError,
    NotLeaderError,
    OutcomeUnknownError,
    RefusedError,
    SiskintallyError,
    UnreachableError,
)
from siskintally.leader_client import LeaderClient
from siskintally.link import LinkServer
from siskintally.log import get_logger
from siskintally.metrics import Metrics
from siskintally.replicas import Replicas
from siskintally.session import Handler
from siskintally.settings import CELL_GROUP
from siskintally.store_links import StoreLinks
from siskintally.supervisor import Supervisor
from siskintally.wire_pb2 import Hello, JobReport, JoinRequest, OperatorCall, SyncRequest

# Less than the 5 s that an entry waits for a store, so that the entry receives the store's own
# reply instead of timing out.
OPERATOR_TIMEOUT_S = 4.5
OPERATOR_ATTEMPT_TIMEOUT_S = 2.0
STOP_TIMEOUT_S = 10.0
_CONSENSUS_MESSAGES = (
    "VoteRequest",
    "VoteReply",
    "AppendRequest",
    "AppendReply",
    "SnapshotChunk",
    "SnapshotReply",
    "TransferLeadership",
    "JoinRequest",
)
_CELL_CALLS = ("SyncRequest", "JobReport", "OperatorCall")
_OWNER_CALLS = ("ConfigWatch", "LedgerBegin", "LedgerFinish", "LedgerRelease", "WorkerBeat")

log = get_logger("store")


def destination_of(body):
    """Return the part of a store that handles a message: consensus, cell, owner, or none."""
    name = type(body).__name__
    if name in _CONSENSUS_MESSAGES:
        return "consensus"
    if name in _CELL_CALLS:
        return "cell"
    if name in _OWNER_CALLS:
        return "owner"
    return "none"


class Store(Handler):
    """One store process; handles the frames of all its links.

    :param settings: settings of the cell.
    :param process: this store's :class:`~siskintally.settings.Process`.
    """

    __slots__ = (
        "_cell_client",
        "_links",
        "_process",
        "_replicas",
        "_server",
        "_settings",
        "_stopping",
        "_supervisor",
    )

    def __init__(self, *, settings, process):
        if CELL_GROUP not in settings.group_by_name:
            raise BadSettingsError(f"group: expected one named {CELL_GROUP!r}")
        self._settings = settings
        self._process = process
        self._stopping = False
        hello = Hello(name=process.name, cell=settings.cell, incarnation=uuid4().hex)
        tls = settings.tls(process.name)
        self._server = LinkServer(hello=hello, secret=settings.secret, handler=self, tls=tls)
        self._links = StoreLinks(
            settings=settings, process=process, hello=hello, handler=self, server=self._server
        )
        self._cell_client = LeaderClient(
            group=CELL_GROUP,
            members=settings.group_by_name[CELL_GROUP].members,
            call=self._call_store,
        )
        self._replicas = Replicas(
            settings=settings,
            process=process,
            links=self._links,
            cell_call=self.cell_call,
            metrics=Metrics(address=settings.statsd, prefix=f"siskintally.{process.name}"),
        )
        self._supervisor = Supervisor(name="store")

    async def run(self):
        """Serve until :meth:`stop` is called.

        :raises SiskintallyError: the data folder is damaged, or a supervised task failed too often.
        """
        self._supervisor.add("server", self._serve)
        for name, link in self._links.links():
            self._supervisor.add(f"link {name}", link.run)
        for name, start in self._replicas.children():
            self._supervisor.add(name, start)
        try:
            await self._supervisor.run()
        finally:
            self._replicas.close()

    async def _serve(self):
        address = self._process.link
        log.info("serving", address=str(address), groups=list(self._replicas.group_by_name))
        await self._server.serve(host=address.host, port=address.port)

    async def stop(self):
        """Transfer the leadership of all groups, within 10 s, and stop."""
        self._stopping = True
        with move_on_after(STOP_TIMEOUT_S):
            async with create_task_group() as tasks:
                for group in self._replicas.group_by_name.values():
                    tasks.start_soon(group.stop)
        self._supervisor.stop()

    async def handle_call(self, session, body):
        """Handle a call from another process."""
        self._links.record_session(session)
        if self._stopping:
            # Nothing has been proposed, so the caller can safely call the next leader.
            raise NotLeaderError(f"store {self._process.name} is stopping")
        destination = destination_of(body)
        if isinstance(body, JoinRequest):
            return await self._replicas.handle_join_request(body)
        if destination == "owner":
            return await self._replicas.owner_for(body).handle_call(session, body)
        if destination != "cell":
            raise NotFoundError(f"a store does not serve {type(body).__name__} calls")
        if isinstance(body, OperatorCall) and not self._is_from_store(session):
            return await self._cell_client.call(
                body,
                timeout=OPERATOR_TIMEOUT_S,
                attempt_timeout=OPERATOR_ATTEMPT_TIMEOUT_S,
                idempotent=True,
            )
        return await self._handle_cell_call(body)

    def handle_message(self, session, body):
        """Handle a message without a reply from another process."""
        self._links.record_session(session)
        if destination_of(body) == "consensus":
            group = self._replicas.group_by_name.get(body.group)
            if group is not None:
                group.receive(body)

    def handle_session_end(self, session):
        """Remove an ended session and notify the owners."""
        self._links.remove_session(session)
        for owner in self._replicas.owner_by_group.values():
            owner.handle_session_end(session)

    def _is_from_store(self, session):
        process = self._settings.process_by_name.get(session.peer.name)
        return process is not None and process.role == "store"

    async def _handle_cell_call(self, body):
        """Answer a call to the cell group locally, without forwarding it to another store."""
        service = self._replicas.cell_service
        if service is None:
            raise NotLeaderError("this store is not a member of the cell group")
        if isinstance(body, SyncRequest):
            return await service.sync(body)
        if isinstance(body, JobReport):
            return await service.report(body)
        return await service.operator(body)

    async def cell_call(self, body, *, timeout):
        """Call the leader of the cell group, which may be this process.

        :param body: SyncRequest, JobReport, or OperatorCall; all are idempotent.
        :param timeout: seconds.
        :raises NotLeaderError: no leader was found; the call had no effect.
        :raises OutcomeUnknownError: the effect is not known.
        :raises RefusedError: the leader replied with an error code.
        """
        return await self._cell_client.call(body, timeout=timeout, idempotent=True)

    async def _call_store(self, name, body, *, timeout):
        try:
            if name != self._process.name:
                return await self._links.call(name, body, timeout=timeout)
            with fail_after(timeout):
                return await self._handle_cell_call(body)
        except TimeoutError as error:
            raise OutcomeUnknownError(f"no reply in {timeout} s") from error
        except SiskintallyError as error:
            if error.code == Code.OUTCOME_UNKNOWN:
                raise OutcomeUnknownError(str(error)) from error
            if isinstance(error, RefusedError | UnreachableError):
                raise
            leader = getattr(error, "leader", "")
            raise RefusedError(str(error), code=error.code, leader=leader) from error
