"""Owner of the workers of a domain group: runs on the leader, from election to loss of leadership.

>>> from siskintally.owner import Owner
>>> Owner.__mro__[1].__name__
'Handler'
"""

from time import monotonic

from anyio import Event, create_task_group, move_on_after, sleep

from siskintally.cell_sync import CellSync
from siskintally.codes import Code
from siskintally.dispatcher import Dispatcher
from siskintally.domain_state_pb2 import DomainCommand, DomainReply
from siskintally.errors import BadRequestError, NotLeaderError, OutcomeUnknownError, RefusedError
from siskintally.group_status_check import GroupStatusCheck
from siskintally.log import get_logger
from siskintally.owner_term import CONFIRM_WINDOW_S, OwnerTerm
from siskintally.session import Handler
from siskintally.wire_pb2 import (
    ConfigState,
    ConfigWatch,
    Done,
    LedgerBegin,
    LedgerFinish,
    LedgerRelease,
    WorkerBeat,
)
from siskintally.worker_service import WorkerService

MAX_CONFIG_WATCH_S = 30.0
# Part of the wait of a long poll that is kept for the quorum round that confirms the answer; the
# next heartbeat of the group carries the round.
CONFIRM_RESERVE_S = 0.5
RESTART_PAUSE_S = 0.1

_LEDGER_FIELDS = {
    LedgerBegin: "ledger_begin",
    LedgerFinish: "ledger_finish",
    LedgerRelease: "ledger_release",
}

log = get_logger("owner")


class Owner(Handler):
    """Places and supervises tasks while this process leads a domain group.

    Its state is an :class:`~siskintally.owner_term.OwnerTerm`, built from the committed state when
    leadership begins and dropped when it ends.

    :param group: :class:`~siskintally.group.Group` of the domain group.
    :param domain: its :class:`~siskintally.domain.Domain`.
    :param settings: settings of the cell.
    :param cell_call: ``async cell_call(body, timeout=seconds)`` to the leader of the cell group.
    :param metrics: :class:`~siskintally.metrics.Metrics`.
    :param clock: monotonic seconds.
    """

    __slots__ = (
        "_cell_call",
        "_clock",
        "_config_changed",
        "_domain",
        "_group",
        "_metrics",
        "_settings",
        "_status_check",
        "_window_s",
        "_worker_service",
        "owner_term",
    )

    def __init__(
        self,
        *,
        group,
        domain,
        settings,
        cell_call,
        metrics,
        clock=monotonic,
        window_s=CONFIRM_WINDOW_S,
    ):
        self.owner_term = None
        self._group = group
        self._domain = domain
        self._settings = settings
        self._cell_call = cell_call
        self._metrics = metrics
        self._clock = clock
        self._window_s = window_s
        self._worker_service = None
        self._config_changed = Event()
        self._status_check = GroupStatusCheck()

    async def run(self):
        """Act as the owner while this process leads, term after term, until cancelled."""
        async with create_task_group() as tasks:
            tasks.start_soon(self._run_status_check)
            await self._follow_leadership()

    async def _run_status_check(self):
        await self._status_check.run(
            group=self._group, domain=self._domain, cell_call=self._cell_call
        )

    async def _follow_leadership(self):
        with self._group.watch() as leaderships:
            leadership = await leaderships.receive()
            while True:
                if leadership.is_leader:
                    leadership = await self._lead(leadership, leaderships)
                else:
                    leadership = await leaderships.receive()

    async def _lead(self, leadership, leaderships):
        """Act as the owner for one term; return the leadership that follows it."""
        self._status_check.record_leader(monotonic())
        owner_term = OwnerTerm(
            group=self._group,
            domain=self._domain,
            clock=self._clock,
            status_check=self._status_check,
            window_s=self._window_s,
        )
        log.info("term as owner begins", group=self._group.name, term=owner_term.term)
        latest = leadership
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._run_term, owner_term, tasks.cancel_scope)
                while latest.is_leader and latest.term == leadership.term:
                    latest = await leaderships.receive()
                tasks.cancel_scope.cancel()
        finally:
            owner_term.is_over = True
            self.owner_term = self._worker_service = None
            self._handle_config_change()
            log.info("term as owner ends", group=self._group.name, term=owner_term.term)
        await sleep(RESTART_PAUSE_S)
        return latest

    async def _run_term(self, owner_term, scope):
        """Run the loops of a term; after an uncertain commit the next term reloads the state."""
        worker_service = WorkerService(
            owner_term=owner_term, domains=self._settings.group_by_name[self._group.name].domains
        )
        sync = CellSync(
            owner_term=owner_term, cell_call=self._cell_call, on_config=self._handle_config_change
        )
        dispatcher = Dispatcher(owner_term=owner_term, metrics=self._metrics)
        self.owner_term, self._worker_service = owner_term, worker_service
        async with create_task_group() as tasks:
            for loop in (
                dispatcher.run,
                worker_service.watch_leases,
                sync.run_sync,
                sync.run_reports,
            ):
                tasks.start_soon(_run_until_leadership_lost, loop, scope)

    def _handle_config_change(self):
        if self.owner_term is not None:
            self.owner_term.apply_preset()
            self.owner_term.request_pass()
        self._config_changed.set()
        self._config_changed = Event()

    async def handle_call(self, session, body):
        """Answer a request from a worker or an entry.

        :raises NotLeaderError: this process does not lead the group.
        :raises BadRequestError: a domain owner does not serve this request.
        """
        if self.owner_term is None:
            raise NotLeaderError(f"not the owner of {self._group.name}", leader=self._leader())
        if isinstance(body, WorkerBeat):
            return await self._worker_service.handle_call(session, body)
        if isinstance(body, ConfigWatch):
            return await self._answer_config_watch(body)
        if type(body) in _LEDGER_FIELDS:
            return await self._answer_ledger(body)
        raise BadRequestError(f"{type(body).__name__}: a domain owner does not serve this request")

    def handle_session_end(self, session):
        """Place no new tasks on the workers of a closed link."""
        if self._worker_service is not None:
            self._worker_service.handle_session_end(session)

    def _leader(self):
        return self._group.leader or ""

    async def _answer_config_watch(self, body):
        """Return the committed configuration when it differs from the known one or on timeout."""
        deadline = self._clock() + min(
            max(body.wait_s - CONFIRM_RESERVE_S, 0.0), MAX_CONFIG_WATCH_S
        )
        while not self._is_outdated(body) and self.owner_term is not None:
            remaining = deadline - self._clock()
            if remaining <= 0:
                break
            with move_on_after(remaining):
                await self._config_changed.wait()
        await self._group.confirm_leadership(urgent=self._is_outdated(body))
        state = ConfigState()
        state.CopyFrom(self._domain.config)
        state.drained.extend(self._domain.drained_endpoints())
        return state

    def _is_outdated(self, body):
        newer = self._domain.config.version > body.known_version
        return newer or list(body.known_drained) != self._domain.drained_endpoints()

    async def _answer_ledger(self, body):
        command_time = self.owner_term.command_time()
        body.ClearField("group")  # Saves log space: the group is known from its log.
        command = DomainCommand(at=command_time, **{_LEDGER_FIELDS[type(body)]: body})
        reply = DomainReply.FromString(await self._group.propose(command.SerializeToString()))
        if reply.code != Code.DONE:
            raise RefusedError(reply.message, code=Code(reply.code))
        return reply.ledger_begin if reply.HasField("ledger_begin") else Done()


async def _run_until_leadership_lost(loop, scope):
    try:
        await loop()
    except (NotLeaderError, OutcomeUnknownError) as error:
        log.info("leadership lost", error=str(error))
        scope.cancel()
