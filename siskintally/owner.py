"""Owner of the workers of a domain group: what its leader does, from election to deposition.

>>> from siskintally.owner import Owner
>>> Owner.__mro__[1].__name__
'Handler'
"""

from time import monotonic, time

from anyio import Event, create_task_group, move_on_after, sleep

from siskintally.cell_feed import CellFeed
from siskintally.codes import Code
from siskintally.dispatcher import Dispatcher
from siskintally.domain_state_pb2 import DomainCommand, DomainReply
from siskintally.errors import BadRequestError, NotLeaderError, OutcomeUnknownError, RefusedError
from siskintally.link import Handler
from siskintally.log import get_logger
from siskintally.tenure import CONFIRM_WINDOW_S, Tenure
from siskintally.wire_pb2 import (
    ConfigState,
    ConfigWatch,
    Done,
    LedgerBegin,
    LedgerFinish,
    LedgerRelease,
    WorkerBeat,
)
from siskintally.worker_desk import WorkerDesk

MAX_WATCH_S = 30.0
RESTART_S = 0.1

_LEDGER_FIELDS = {
    LedgerBegin: "ledger_begin",
    LedgerFinish: "ledger_finish",
    LedgerRelease: "ledger_release",
}

log = get_logger("owner")


class Owner(Handler):
    """Places and watches tasks while this process leads a domain group.

    All it knows is in a :class:`~siskintally.tenure.Tenure` that is built from the committed state
    when leadership begins and dropped when it ends.

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
        "_desk",
        "_domain",
        "_group",
        "_metrics",
        "_settings",
        "_window_s",
        "tenure",
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
        self.tenure = None
        self._group = group
        self._domain = domain
        self._settings = settings
        self._cell_call = cell_call
        self._metrics = metrics
        self._clock = clock
        self._window_s = window_s
        self._desk = None
        self._config_changed = Event()

    async def run(self):
        """Act as the owner whenever this process leads, until cancelled."""
        with self._group.watch() as leaderships:
            leadership = await leaderships.receive()
            while True:
                if leadership.is_leader:
                    leadership = await self._lead(leadership, leaderships)
                else:
                    leadership = await leaderships.receive()

    async def _lead(self, leadership, leaderships):
        """Hold one tenure; return the next leadership."""
        tenure = Tenure(
            group=self._group,
            domain=self._domain,
            clock=self._clock,
            window_s=self._window_s,
        )
        log.info("tenure begins", group=self._group.name, term=tenure.term)
        following = leadership
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._hold, tenure, tasks.cancel_scope)
                while following.is_leader and following.term == leadership.term:
                    following = await leaderships.receive()
                tasks.cancel_scope.cancel()
        finally:
            tenure.is_over = True
            self.tenure = self._desk = None
            self._change_config()
            log.info("tenure ends", group=self._group.name, term=tenure.term)
        await sleep(RESTART_S)
        return following

    async def _hold(self, tenure, scope):
        """Run the loops of a tenure; after a lost commit the next reads the state anew."""
        desk = WorkerDesk(
            tenure=tenure, domains=self._settings.group_by_name[self._group.name].domains
        )
        feed = CellFeed(tenure=tenure, cell_call=self._cell_call, on_config=self._change_config)
        dispatcher = Dispatcher(tenure=tenure, metrics=self._metrics)
        self.tenure, self._desk = tenure, desk
        async with create_task_group() as tasks:
            for loop in (dispatcher.run, desk.watch, feed.follow, feed.report):
                tasks.start_soon(_until_lost, loop, scope)

    def _change_config(self):
        if self.tenure is not None:
            self.tenure.configure()
            self.tenure.rouse()
        self._config_changed.set()
        self._config_changed = Event()

    async def answer(self, session, body):
        """Answer a call of a worker or an entry.

        :raises NotLeaderError: this process does not lead the group.
        :raises BadRequestError: no such call.
        """
        if self.tenure is None:
            raise NotLeaderError(f"not the owner of {self._group.name}", leader=self._leader())
        if isinstance(body, WorkerBeat):
            return await self._desk.answer(session, body)
        if isinstance(body, ConfigWatch):
            return await self._answer_watch(body)
        if type(body) in _LEDGER_FIELDS:
            return await self._answer_ledger(body)
        raise BadRequestError(f"{type(body).__name__}: no such call of a domain owner")

    def receive(self, session, body):
        """Take a message without a reply; an owner expects none."""

    def closed(self, session):
        """Give no new tasks to a worker whose link has ended."""
        if self._desk is not None:
            self._desk.closed(session)

    def _leader(self):
        return self._group.leader or ""

    async def _answer_watch(self, body):
        """Return the committed configuration, at once if it is newer than the known one."""
        deadline = self._clock() + min(max(body.wait_s, 0.0), MAX_WATCH_S)
        while not self._has_news(body) and self.tenure is not None:
            remaining = deadline - self._clock()
            if remaining <= 0:
                break
            with move_on_after(remaining):
                await self._config_changed.wait()
        await self._group.confirm()
        state = ConfigState()
        state.CopyFrom(self._domain.config)
        state.drained.extend(self._domain.drained_endpoints())
        return state

    def _has_news(self, body):
        newer = self._domain.config.version > body.known_version
        return newer or list(body.known_drained) != self._domain.drained_endpoints()

    async def _answer_ledger(self, body):
        command = DomainCommand(at=time(), **{_LEDGER_FIELDS[type(body)]: body})
        reply = DomainReply.FromString(await self._group.propose(command.SerializeToString()))
        if reply.code != Code.DONE:
            raise RefusedError(reply.message, code=Code(reply.code))
        return reply.ledger_begin if reply.HasField("ledger_begin") else Done()


async def _until_lost(loop, scope):
    try:
        await loop()
    except (NotLeaderError, OutcomeUnknownError) as error:
        log.info("leadership lost", error=str(error))
        scope.cancel()
