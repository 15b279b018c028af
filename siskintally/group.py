"""The task that runs one replica of a group: timers, disk, messages, machine.

>>> from siskintally.group import Group
>>> group = Group(
...     name="cell", process="s1", founding_members=("s1", "s2", "s3"), folder="data/cell",
...     machine=None, send=lambda process, body: False,
... )
>>> group.term, group.is_leader, group.leader, group.applied_index
(0, False, '', 0)
"""

from random import uniform
from time import monotonic

from anyio import Event
from anyio.to_thread import run_sync

from siskintally.applier import Applier
from siskintally.effects import Effects
from siskintally.encoding import decode, encode
from siskintally.errors import DamagedDataError, NotLeaderError, OutcomeUnknownError
from siskintally.inbox import Inbox
from siskintally.joins import Joins
from siskintally.journal import Journal, set_aside
from siskintally.log import get_logger
from siskintally.membership import quorum
from siskintally.messages import Leadership
from siskintally.preference import STABLE_S, Preference
from siskintally.replica import Replica
from siskintally.timing import Timing
from siskintally.waiters import Waiter, Waiters
from siskintally.watchers import Watchers
from siskintally.wire_pb2 import JoinReply, JoinRequest

INBOX_MESSAGES = 4096
BATCH_ITEMS = 1024
SNAPSHOT_ENTRIES = 5000
SNAPSHOT_BYTES = 16 * 1024 * 1024
KEPT_ENTRIES = 1000
STOP_TIMEOUT_S = 4.0

log = get_logger("group")


class _Stop:
    """Asks the task to hand over leadership and end."""

    __slots__ = ()


class Group:
    """One replica of a replicated group.

    Nothing but the task of :meth:`run` changes the replica. All inputs at hand are handled with one
    sync in the event loop; snapshots are written by a worker thread.

    :param name: group name.
    :param process: name of this process.
    :param founding_members: process names that may have a replica.
    :param folder: data folder of this replica alone.
    :param machine: :class:`~siskintally.machine.Machine` that entries are applied to.
    :param send: ``send(process_name, body) -> bool``; must not block.
    :param timing: :class:`~siskintally.timing.Timing`.
    :param snapshot_entries: entries between two snapshots.
    :param snapshot_bytes: bytes of commands between two snapshots.
    :param stable_s: least time between a term's beginning and the return of leadership to the first
        founding member, seconds.
    :param batch_items: inputs that share one sync; 1 turns group commit off.
    """

    __slots__ = (
        "_applier",
        "_batch",
        "_batch_items",
        "_ended",
        "_inbox",
        "_is_handed_over",
        "_joins",
        "_journal",
        "_kept_entries",
        "_leadership",
        "_members_index",
        "_preference",
        "_replica",
        "_send",
        "_stop_at",
        "_timing",
        "_waiters",
        "_watchers",
        "folder",
        "founding_members",
        "name",
        "process",
    )

    def __init__(
        self,
        *,
        name,
        process,
        founding_members,
        folder,
        machine,
        send,
        timing=None,
        snapshot_entries=SNAPSHOT_ENTRIES,
        snapshot_bytes=SNAPSHOT_BYTES,
        kept_entries=KEPT_ENTRIES,
        batch_items=BATCH_ITEMS,
        stable_s=STABLE_S,
    ):
        self.name = name
        self.process = process
        self.founding_members = tuple(founding_members)
        self.folder = folder
        self._applier = Applier(
            machine=machine, snapshot_entries=snapshot_entries, snapshot_bytes=snapshot_bytes
        )
        self._send = send
        self._timing = timing or Timing()
        self._kept_entries = kept_entries
        self._batch_items = batch_items
        self._inbox = Inbox(max_messages=INBOX_MESSAGES)
        self._batch = []
        self._journal = None
        self._replica = None
        self._leadership = Leadership(term=0, leader="", is_leader=False)
        self._watchers = Watchers()
        self._waiters = Waiters()
        self._joins = Joins(group=name, process=process, founding_members=self.founding_members)
        self._stop_at = None
        self._is_handed_over = False
        self._members_index = None
        self._preference = Preference(preferred=self.founding_members[0], stable_s=stable_s)
        self._ended = Event()

    @property
    def term(self):
        """Present term."""
        return self._leadership.term

    @property
    def is_leader(self):
        """Whether this replica leads and its machine has applied an entry of the term."""
        return self._leadership.is_leader

    @property
    def leader(self):
        """Name of the process that leads, empty if unknown."""
        return self._leadership.leader

    @property
    def applied_index(self):
        """Index of the last entry that the machine has applied."""
        return self._applier.index

    @property
    def members(self):
        """Members in force, as :class:`~siskintally.messages.Member`."""
        return self._replica.log.members if self._replica else ()

    @property
    def identity(self):
        """Identity of this replica, None before :meth:`run`."""
        return self._replica.identity if self._replica else None

    async def propose(self, command):
        """Commit a command and return the reply of the machine.

        :param command: bytes.
        :raises NotLeaderError: nothing was appended.
        :raises OutcomeUnknownError: leadership was lost before the commit was seen.
        """
        return await self._ask(Waiter(command=command))

    async def confirm(self, *, urgent=True):
        """Return once a quorum has answered a round that began after the call.

        The machine has then applied every entry that was committed before the call.

        :param urgent: False to wait for the next heartbeat (0.5 s), which costs no messages.
        :raises NotLeaderError: this replica does not lead, or lost leadership meanwhile.
        """
        await self._ask(Waiter(urgent=urgent))

    def watch(self):
        """Return a receive stream of :class:`Leadership`, starting with the present state.

        A slow reader loses the oldest messages, never the latest.
        """
        return self._watchers.add(self._leadership)

    def receive(self, body):
        """Take a consensus message or a join request of a link; dropped if the queue is full."""
        if body.group != self.name:
            return
        try:
            item = body if isinstance(body, JoinRequest) else decode(body)
        except (KeyError, ValueError) as error:
            log.warning("message dropped", group=self.name, error=str(error))
            return
        self._inbox.drop_or_put(item)

    async def join_request(self, body):
        """Admit a new incarnation, if this replica leads, and say how far its log goes.

        :param body: JoinRequest; with an empty incarnation it is only a question.
        """
        self.receive(body)
        last_index = self._replica.log.last_index if self._replica else 0
        return JoinReply(group=self.name, last_index=last_index)

    async def stop(self):
        """Finish accepted calls, hand leadership over, and end :meth:`run`."""
        if self._journal is None:
            return
        await self._inbox.put(_Stop())
        await self._ended.wait()

    async def run(self):
        """Run the replica until :meth:`stop` or cancellation.

        :raises OSError: the disk failed; the group can be run again.
        """
        self._ended = Event()
        self._open()
        try:
            await self._loop()
        finally:
            self._publish(Leadership(term=self.term, leader="", is_leader=False))
            self._fail_queued()
            self._journal.close()
            self._journal = None
            self._ended.set()

    def _fail_queued(self):
        """End the calls that were not begun, or whose batch was cut short by an error."""
        for item in self._batch:
            if isinstance(item, Waiter):
                item.fail(OutcomeUnknownError(f"group {self.name}: the replica ended"))
        for item in self._inbox.drain():
            if isinstance(item, Waiter):
                item.fail(self._not_leader())

    async def _ask(self, waiter):
        if not self.is_leader or self._stop_at is not None:
            raise self._not_leader()
        await self._inbox.put(waiter)
        return await waiter.wait()

    def _not_leader(self):
        leader = self.leader if self.leader != self.process else ""
        return NotLeaderError(f"{self.process} does not lead group {self.name}", leader=leader)

    def _open(self):
        try:
            self._journal = Journal.open(self.folder, group=self.name, name=self.process)
        except DamagedDataError as error:
            kept = set_aside(self.folder)
            log.error("data folder damaged", group=self.name, error=str(error), kept=str(kept))
            self._journal = Journal.open(self.folder, group=self.name, name=self.process)
        stable = self._journal.stable
        self._replica = Replica(
            identity=self._journal.identity,
            stable=stable,
            timing=self._timing,
            timeout=lambda: uniform(self._timing.election_min_s, self._timing.election_max_s),
            now=monotonic(),
        )
        self._stop_at = None
        self._is_handed_over = False
        self._applier.restore(stable.snapshot)

    async def _loop(self):
        while not self._is_over():
            self._batch = await self._inbox.gather(
                self._next_time() - monotonic(), self._batch_items
            )
            now = monotonic()
            effects = Effects()
            waiters = self._take(self._batch, now, effects)
            self._begin(waiters, now, effects)
            self._hand_over(now, effects)
            if now >= self._replica.next_tick():
                effects.extend(self._replica.tick(now))
            self._manage_members(now, effects)
            self._prefer_leader(now, effects)
            await self._carry_out(effects)
            await self._take_snapshot()

    def _next_time(self):
        times = [self._replica.next_tick(), self._joins.due(self._replica)]
        if self._stop_at is not None:
            times.append(self._stop_at)
        return min(times)

    def _take(self, items, now, effects):
        """Hand messages to the replica; return the calls."""
        waiters = []
        for item in items:
            if isinstance(item, Waiter):
                waiters.append(item)
                continue
            if isinstance(item, _Stop):
                self._stop_at = now + STOP_TIMEOUT_S
                continue
            if isinstance(item, JoinRequest):
                self._joins.note(item, now)
            else:
                effects.extend(self._replica.receive(item, now))
        return waiters

    def _begin(self, waiters, now, effects):
        """Begin the entries and the read round of new calls."""
        if not self.is_leader:
            for waiter in waiters:
                waiter.fail(self._not_leader())
            return
        proposals = [waiter for waiter in waiters if waiter.command is not None]
        reads = [waiter for waiter in waiters if waiter.command is None]
        try:
            if proposals:
                commands = [waiter.command for waiter in proposals]
                effects.extend(self._replica.propose_batch(commands, now))
                self._waiters.add_proposals(proposals, effects.index)
                proposals = []
            if reads:
                urgent = any(waiter.urgent for waiter in reads)
                effects.extend(self._replica.confirm(now, urgent=urgent))
                self._waiters.add_reads(reads, effects.round)
                reads = []
        except NotLeaderError:
            for waiter in (*proposals, *reads):
                waiter.fail(self._not_leader())

    def _hand_over(self, now, effects):
        """Transfer leadership once, after all accepted calls have ended."""
        if self._stop_at is None or self._is_handed_over:
            return
        if self._replica.is_leader and self._waiters.is_empty:
            self._is_handed_over = True
            effects.extend(self._replica.transfer(now))

    def _prefer_leader(self, now, effects):
        """Transfer leadership to the preferred member while no proposal waits.

        Reads may wait: at a busy owner some always do, and they fail as not run.
        """
        if self._stop_at is None and not self._waiters.has_proposals:
            target = self._preference.target(self._replica, now)
            if target is not None:
                log.info("leadership goes to the preferred member", group=self.name, to=target.name)
                effects.extend(self._replica.transfer(now, to=target))

    def _is_over(self):
        """Whether a stop is asked for and leadership is handed over, or cannot be."""
        if self._stop_at is None:
            return False
        if monotonic() >= self._stop_at or not self._replica.is_leader:
            return True
        return self._is_handed_over and self._replica.transfer_to is None

    def _manage_members(self, now, effects):
        """Ask to be admitted, or as the leader admit others in single steps."""
        replica = self._replica
        if now >= self._joins.due(replica):
            for process, body in self._joins.ask(replica.identity.incarnation, now):
                self._send(process, body)
        change = self._joins.next_change(replica, now)
        if change is not None:
            log.info("member change proposed", group=self.name, members=str(change))
            effects.extend(replica.propose_members(change, now))

    async def _carry_out(self, effects):
        replica = self._replica
        while effects.must_sync:
            last = (replica.log.last_index, replica.log.last_term)
            # Measured: a sync of a few records costs less CPU and less time in the event loop than
            # the change to a worker thread and back. A snapshot is larger and must not block.
            if effects.snapshot is not None:
                await run_sync(self._journal.write, effects, lambda: replica.stable)
            else:
                self._journal.write(effects, lambda: replica.stable)
            self._finish(effects)
            effects = replica.synced(*last, monotonic())
        self._finish(effects)

    def _finish(self, effects):
        """Send, apply, and answer what a sync has made safe."""
        for to, message in effects.messages:
            self._send(to.name, encode(message, group=self.name))
        if effects.restore is not None:
            self._applier.restore(effects.restore)
        for entry in effects.committed:
            self._waiters.applied(entry.index, self._applier.apply(entry))
        if effects.confirmed:
            self._waiters.confirmed(effects.confirmed)
        if effects.committed or effects.leadership:
            self._publish(self._present_leadership())
        self._log_members()

    def _log_members(self):
        """Log a committed member set once; a proposed one may never be in force."""
        raft_log = self._replica.log
        index = raft_log.members_index
        if index != self._members_index and index <= self._replica.commit:
            self._members_index = index
            log.info("members", group=self.name, index=index, members=str(raft_log.members))

    def _present_leadership(self):
        replica = self._replica
        if not replica.is_leader:
            leader = replica.leader.name if replica.leader else ""
            return Leadership(term=replica.term, leader=leader, is_leader=False)
        # Until a majority of the founding members are voters, a commit could be on one disk only.
        names = {voter.name for voter in replica.voters} & set(self.founding_members)
        is_ready = replica.is_settled and len(names) >= quorum(len(self.founding_members))
        leader = self.process if is_ready else ""
        return Leadership(term=replica.term, leader=leader, is_leader=is_ready)

    def _publish(self, leadership):
        if leadership == self._leadership:
            return
        if self._leadership.is_leader:
            self._waiters.fail(
                proposals=lambda: OutcomeUnknownError(f"group {self.name}: leadership was lost"),
                reads=self._not_leader,
            )
        self._leadership = leadership
        self._watchers.publish(leadership)

    async def _take_snapshot(self):
        """Replace the applied part of the log, if it has grown enough."""
        applier = self._applier
        if not applier.is_snapshot_due(self._replica.log.snapshot.index):
            return
        effects = self._replica.compact(applier.index, applier.snapshot(), keep=self._kept_entries)
        await self._carry_out(effects)
