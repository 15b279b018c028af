"""Runs one replica of a Raft group: connects its core to timers, disk, links and state machine.

>>> from siskintally.group import Group
>>> group = Group(
...     name="cell", process="s1", bootstrap_members=("s1", "s2", "s3"), folder="data/cell",
...     state_machine=None, send=lambda process, body: False,
... )
>>> group.term, group.is_leader, group.leader, group.applied_index
(0, False, '', 0)
"""

from random import uniform

from anyio import Event

from siskintally.applier import Applier
from siskintally.clock import now as steady
from siskintally.effects import Effects
from siskintally.encoding import decode_message, encode_message
from siskintally.group_calls import GroupCalls
from siskintally.group_disk import GroupDisk
from siskintally.group_inputs import PeerExited, ReceivedMessage, Stop
from siskintally.handover import Handover
from siskintally.inbox import Inbox
from siskintally.leader_preference import TRANSFER_DELAY_S, LeaderPreference
from siskintally.leadership import LeadershipState
from siskintally.log import get_logger
from siskintally.member_changes import MemberChanges
from siskintally.messages import Leadership
from siskintally.replica import Replica
from siskintally.roster import FixedRoster
from siskintally.timing import Timing
from siskintally.waiters import Waiter
from siskintally.wire_pb2 import JoinReply, JoinRequest

INBOX_MESSAGES = 4096
BATCH_ITEMS = 1024
SNAPSHOT_ENTRIES = 5000
SNAPSHOT_BYTES = 16 * 1024 * 1024
KEPT_ENTRIES = 1000

log = get_logger("group")


class Group:
    """One replica of a Raft group.

    Only the task in :meth:`run` changes the replica. It processes all queued inputs, up to
    ``batch_items``, with one disk sync (group commit), in the event loop or in a worker thread;
    snapshots are always written in a worker thread.

    :param name: group name.
    :param process: name of this process.
    :param bootstrap_members: process names that the settings list for the group; the first one is
        the preferred leader.
    :param roster: :class:`~siskintally.roster.Roster`; by default the processes in the settings.
    :param folder: data folder of this replica alone.
    :param state_machine: :class:`~siskintally.state_machine.StateMachine` of the group.
    :param send: ``send(process_name, body) -> bool``; must not block.
    :param timing: :class:`~siskintally.timing.Timing`.
    :param snapshot_entries: applied entries after which a snapshot is taken.
    :param snapshot_bytes: applied bytes of commands after which a snapshot is taken.
    :param kept_entries: entries before a snapshot that stay in the log for slow followers.
    :param batch_items: maximum inputs that share one sync; 1 disables group commit.
    :param transfer_delay_s: seconds after the start of a term before leadership is transferred
        back to the preferred leader.
    :param sync_in_thread: sync in a worker thread, for disks that take milliseconds or hang; see
        :class:`~siskintally.group_disk.GroupDisk`.
    """

    __slots__ = (
        "_applier",
        "_batch",
        "_batch_items",
        "_calls",
        "_disk",
        "_handover",
        "_inbox",
        "_kept_entries",
        "_leader_preference",
        "_leadership",
        "_member_changes",
        "_replica",
        "_run_ended",
        "_send",
        "_timing",
        "bootstrap_members",
        "folder",
        "name",
        "process",
    )

    def __init__(
        self,
        *,
        name,
        process,
        bootstrap_members,
        folder,
        state_machine,
        send,
        timing=None,
        snapshot_entries=SNAPSHOT_ENTRIES,
        snapshot_bytes=SNAPSHOT_BYTES,
        kept_entries=KEPT_ENTRIES,
        batch_items=BATCH_ITEMS,
        transfer_delay_s=TRANSFER_DELAY_S,
        roster=None,
        sync_in_thread=False,
    ):
        self.name = name
        self.process = process
        self.bootstrap_members = tuple(bootstrap_members)
        self.folder = folder
        self._applier = Applier(
            state_machine=state_machine,
            snapshot_entries=snapshot_entries,
            snapshot_bytes=snapshot_bytes,
        )
        self._send = send
        self._timing = timing or Timing()
        self._kept_entries, self._batch_items = kept_entries, batch_items
        self._inbox = Inbox(max_messages=INBOX_MESSAGES)
        self._batch = []
        self._replica = None
        self._disk = GroupDisk(folder=folder, group=name, process=process, in_thread=sync_in_thread)
        roster = roster or FixedRoster(names=self.bootstrap_members)
        self._leadership = LeadershipState(process=process, roster=roster)
        self._calls = GroupCalls(group=name, process=process, leadership=self._leadership)
        self._member_changes = MemberChanges(group=name, process=process, roster=roster, send=send)
        self._handover = Handover()
        first = next(iter(self.bootstrap_members), "")
        self._leader_preference = LeaderPreference(
            group=name, preferred=first, transfer_delay_s=transfer_delay_s
        )
        self._run_ended = Event()

    @property
    def term(self):
        """Current term."""
        return self._leadership.current.term

    @property
    def is_leader(self):
        """Whether this replica leads and serves calls.

        A new leader does so once it has applied an entry of its term and the group counts as
        bootstrapped.
        """
        return self._leadership.current.is_leader

    @property
    def is_transferring(self):
        """Whether this replica is transferring leadership, so another one may lead at any time."""
        return self._replica is not None and self._replica.transfer_target is not None

    @property
    def leader(self):
        """Process name of the leader, empty if unknown."""
        return self._leadership.current.leader

    @property
    def applied_index(self):
        """Index of the last entry applied to the state machine."""
        return self._applier.index

    @property
    def members(self):
        """Current members, as :class:`~siskintally.messages.Member`."""
        return self._replica.log.members if self._replica else ()

    @property
    def identity(self):
        """Identity of this replica, None before :meth:`run`."""
        return self._replica.identity if self._replica else None

    async def propose(self, command):
        """Replicate and apply a command; return the reply of the state machine.

        :param command: bytes.
        :raises NotLeaderError: the command was not appended to the log.
        :raises OutcomeUnknownError: leadership was lost first; the command may still commit.
        """
        return await self._call(Waiter(command=command))

    async def confirm_leadership(self, *, urgent=True):
        """Confirm leadership with a read round, for linearizable reads (as in Raft ReadIndex).

        Returns once a quorum has replied to a round that started after the call. The state machine
        has then applied every entry that was committed before the call.

        :param urgent: False to use the next heartbeat (every 0.5 s), which costs no extra messages.
        :raises NotLeaderError: this replica does not lead, or lost leadership meanwhile.
        """
        await self._call(Waiter(urgent=urgent))

    def watch(self):
        """Return a receive stream of :class:`Leadership`, starting with the current one.

        A slow reader loses the oldest items, never the latest.
        """
        return self._leadership.watch()

    def receive(self, body):
        """Enqueue a Raft message or a join request from a link; drop it if the queue is full."""
        if body.group != self.name:
            return
        try:
            item = body if isinstance(body, JoinRequest) else decode_message(body)
        except (KeyError, ValueError) as error:
            log.warning("dropped invalid message", group=self.name, error=str(error))
            return
        # A reply that only shows that a peer is alive waits for the next input or timer, at the
        # latest the next heartbeat.
        is_keepalive = self._replica is not None and self._replica.is_keepalive(item)
        item = ReceivedMessage(message=item, received_at=steady() if is_keepalive else None)
        self._inbox.put_message(item, wakes=not is_keepalive)

    def record_peer_exit(self, name):
        """Record that a peer's process has exited; if it led, the next election starts sooner.

        :param name: process name.
        """
        self._inbox.put_message(PeerExited(name=name))

    async def handle_join_request(self, body):
        """Enqueue a request to join the group; return a JoinReply with the last log index.

        :param body: JoinRequest; one with an empty incarnation only queries the index.
        """
        self.receive(body)
        last_index = self._replica.log.last_index if self._replica else 0
        return JoinReply(group=self.name, last_index=last_index)

    async def stop(self):
        """Finish accepted calls, transfer leadership, and wait for :meth:`run` to return."""
        if not self._disk.is_open:
            return
        await self._inbox.put_call(Stop())
        await self._run_ended.wait()

    async def run(self):
        """Run the replica until :meth:`stop` or cancellation.

        :raises OSError: the disk failed; :meth:`run` may be called again.
        """
        self._run_ended = Event()
        self._open()
        try:
            await self._disk.run_with_writer(self._loop)
        finally:
            self._publish(Leadership(term=self.term, leader="", is_leader=False))
            self._calls.close(self._batch, self._inbox.drain())
            self._disk.close()
            self._run_ended.set()

    async def _call(self, waiter):
        if not self.is_leader or self._handover.is_requested:
            raise self._calls.not_leader_error()
        await self._inbox.put_call(waiter)
        return await waiter.wait()

    def _open(self):
        journal = self._disk.open(wake=self._inbox.wake)
        self._replica = Replica(
            identity=journal.identity,
            persistent_state=journal.persistent_state,
            timing=self._timing,
            election_timeout=self._election_timeout,
            now=steady(),
        )
        self._handover = Handover()
        self._applier.restore(journal.persistent_state.snapshot)

    def _election_timeout(self):
        timing = self._timing
        return timing.election_min_s + uniform(0.0, timing.election_spread_s)

    async def _loop(self):
        while not self._handover.is_finished(self._replica, steady()):
            self._batch = await self._inbox.wait_for_items(
                self._next_wakeup() - steady(), self._batch_items
            )
            now = steady()
            effects = Effects()
            self._disk.poll(self._replica, now, effects)
            waiters = self._process_inputs(self._batch, now, effects)
            if self.is_leader:
                self._calls.start(waiters, self._replica, now, effects)
            else:
                self._calls.reject(waiters)
            self._handover.advance(self._replica, now, effects, is_idle=self._calls.is_empty)
            if now >= self._replica.next_tick():
                effects.extend(self._replica.tick(now))
            self._member_changes.advance(self._replica, now, effects)
            # Pending reads do not delay a transfer: a busy owner always has some, and they fail
            # with NotLeaderError, which is safe to retry.
            if not self._handover.is_requested and not self._calls.has_proposals:
                self._leader_preference.advance(self._replica, now, effects)
            await self._execute(effects)
            await self._snapshot_if_due()

    def _next_wakeup(self):
        replica = self._replica
        return min(
            replica.next_tick(),
            self._member_changes.request_due_at(replica),
            self._handover.deadline,
        )

    def _process_inputs(self, items, now, effects):
        """Process messages and events; return the calls."""
        waiters = []
        for item in items:
            if isinstance(item, Waiter):
                waiters.append(item)
            elif isinstance(item, Stop):
                self._handover.request(now)
            elif isinstance(item, PeerExited):
                self._replica.record_process_exit(item.name, now)
            elif isinstance(item.message, JoinRequest):
                self._member_changes.record_request(item.message, now)
            else:
                received_at = now if item.received_at is None else item.received_at
                effects.extend(self._replica.receive(item.message, received_at))
        return waiters

    async def _execute(self, effects):
        replica = self._replica
        if self._disk.can_write_behind(effects, replica):
            self._disk.write_behind(effects, replica)
            self._complete(effects)
            return
        while effects.must_sync:
            last = (replica.log.last_index, replica.log.last_term)
            await self._disk.write(effects, replica)
            self._complete(effects)
            effects = replica.mark_synced(*last, steady())
        self._complete(effects)

    def _complete(self, effects):
        """Send messages, apply entries and complete calls, after the sync that they depend on."""
        for to, message in effects.messages:
            self._send(to.name, encode_message(message, group=self.name))
        if effects.restore is not None:
            self._applier.restore(effects.restore)
        for entry in effects.committed:
            self._calls.complete_proposal(entry, self._applier.apply(entry))
        if effects.confirmed_round:
            self._calls.complete_reads(effects.confirmed_round)
        if effects.committed or effects.leadership:
            self._publish(self._leadership.leadership_of(self._replica))
        self._member_changes.log_committed(self._replica)

    def _publish(self, leadership):
        if self._leadership.publish(leadership):
            self._calls.fail_all()

    async def _snapshot_if_due(self):
        """Take a snapshot and compact the log, if enough was applied since the last one."""
        applier = self._applier
        if not applier.is_snapshot_due(self._replica.log.snapshot.index):
            return
        effects = self._replica.compact(applier.index, applier.snapshot(), keep=self._kept_entries)
        await self._execute(effects)
